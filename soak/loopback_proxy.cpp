#include "soak/loopback_proxy.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>

namespace auburnspring::soak {

namespace {

using asio::ip::tcp;

constexpr Duration LinkDelay = std::chrono::milliseconds(60);
constexpr std::size_t BufferBytes = 16 << 10;

tcp::endpoint addressOf(const Endpoint &endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

void reset(tcp::socket *socket) {
  asio::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

} // namespace

/// One connection through the proxy, copied both ways.
class LoopbackProxy::Pipe : public std::enable_shared_from_this<Pipe> {
public:
  Pipe(LoopbackProxy *proxy, tcp::socket client)
      : proxy_(proxy), ways_{Way(proxy->io_), Way(proxy->io_)} {
    ways_[0].source = std::move(client);
  }

  void start() {
    ways_[1].source.async_connect(
        proxy_->target_, [self = shared_from_this()](asio::error_code error) {
          if (error)
            return self->abort();
          self->pump(0);
          self->pump(1);
        });
  }

  void abort() {
    if (ended_)
      return;
    ended_ = true;
    for (Way &way : ways_) {
      way.timer.cancel();
      reset(&way.source);
    }
    if (proxy_ != nullptr)
      proxy_->pipes_.erase(shared_from_this());
  }

  void silence() { silent_ = true; }
  void detach() { proxy_ = nullptr; }

  /// The state of the link has changed.
  void resume() {
    for (std::size_t way = 0; way < ways_.size(); ++way)
      if (ways_[way].isHeld)
        forward(way);
  }

private:
  struct Way {
    explicit Way(asio::io_context &io) : source(io), timer(io) {}
    tcp::socket source;
    asio::steady_timer timer;
    std::array<char, BufferBytes> buffer{};
    std::size_t filled = 0;
    bool isHeld = false;
  };

  bool isCut(std::size_t way) const {
    const LinkState state = proxy_->state_;
    return silent_ || state == LinkState::Cut ||
           state == (way == 0 ? LinkState::CutForward : LinkState::CutBack);
  }

  void pump(std::size_t way) {
    ways_[way].source.async_read_some(
        asio::buffer(ways_[way].buffer),
        [self = shared_from_this(), way](asio::error_code error,
                                         std::size_t bytes) {
          if (self->ended_ || self->proxy_ == nullptr)
            return;
          if (error && error != asio::error::eof)
            return self->abort();
          self->ways_[way].filled = bytes;
          self->forward(way);
        });
  }

  void forward(std::size_t way) {
    Way &from = ways_[way];
    from.isHeld = isCut(way);
    if (from.isHeld)
      return;
    if (proxy_->state_ != LinkState::Delayed)
      return write(way);
    from.timer.expires_after(LinkDelay);
    from.timer.async_wait(
        [self = shared_from_this(), way](asio::error_code error) {
          if (!error && !self->ended_)
            self->write(way);
        });
  }

  void write(std::size_t way) {
    tcp::socket &to = ways_[1 - way].source;
    if (ways_[way].filled == 0) {
      // The source has closed its side.
      asio::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      if (++closedWays_ == ways_.size())
        abort();
      return;
    }
    asio::async_write(
        to, asio::buffer(ways_[way].buffer.data(), ways_[way].filled),
        [self = shared_from_this(), way](asio::error_code error, std::size_t) {
          if (self->ended_ || self->proxy_ == nullptr)
            return;
          error ? self->abort() : self->pump(way);
        });
  }

  LoopbackProxy *proxy_;
  /// Toward the target, and back.
  std::array<Way, 2> ways_;
  std::size_t closedWays_ = 0;
  bool silent_ = false;
  bool ended_ = false;
};

LoopbackProxy::LoopbackProxy(asio::io_context &io, const Endpoint &target)
    : io_(io), target_(addressOf(target)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
}

LoopbackProxy::~LoopbackProxy() {
  for (const auto &pipe : std::exchange(pipes_, {})) {
    pipe->detach();
    pipe->abort();
  }
}

Endpoint LoopbackProxy::endpoint() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void LoopbackProxy::accept() {
  acceptor_.async_accept([this](asio::error_code error, tcp::socket client) {
    if (error)
      return;
    if (state_ == LinkState::Reset) {
      reset(&client);
    } else {
      const auto pipe = std::make_shared<Pipe>(this, std::move(client));
      pipes_.insert(pipe);
      pipe->start();
    }
    accept();
  });
}

void LoopbackProxy::setState(LinkState state) {
  state_ = state;
  if (state == LinkState::Reset)
    return resetOpen();
  for (const auto &pipe : std::unordered_set(pipes_))
    pipe->resume();
}

void LoopbackProxy::resetOpen() {
  for (const auto &pipe : std::unordered_set(pipes_))
    pipe->abort();
}

void LoopbackProxy::silenceOpen() {
  for (const auto &pipe : pipes_)
    pipe->silence();
}

} // namespace auburnspring::soak
