#include "soak/loopback_proxy.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <iterator>

namespace auburnspring::soak {

namespace {

using asio::ip::tcp;

constexpr Duration LinkDelay = std::chrono::milliseconds(60);
constexpr std::size_t BufferBytes = 16 << 10;

tcp::endpoint toTcpEndpoint(const Endpoint &endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

void reset(tcp::socket *socket) {
  asio::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

} // namespace

/// One connection through the proxy, copied in both directions.
class LoopbackProxy::Pipe : public std::enable_shared_from_this<Pipe> {
public:
  Pipe(LoopbackProxy *proxy, tcp::socket client)
      : proxy_(proxy), directions_{Direction(proxy->io_),
                                   Direction(proxy->io_)} {
    directions_[0].source = std::move(client);
  }

  void start() {
    directions_[1].source.async_connect(
        proxy_->target_, [self = shared_from_this()](asio::error_code error) {
          if (error)
            return self->abort();
          self->read(0);
          self->read(1);
        });
  }

  void abort() {
    if (ended_)
      return;
    ended_ = true;
    for (Direction &direction : directions_) {
      direction.timer.cancel();
      reset(&direction.source);
    }
    if (proxy_ != nullptr)
      proxy_->pipes_.erase(shared_from_this());
  }

  void blackhole() { blackholed_ = true; }
  void silence(bool isOneWay) {
    directions_[0].isSilent = true;
    directions_[1].isSilent = directions_[1].isSilent || !isOneWay;
  }
  bool isSilent() const { return directions_[0].isSilent; }
  void detach() { proxy_ = nullptr; }

  /// Forwards held bytes after a change of the link's state.
  void resume() {
    for (std::size_t direction = 0; direction < directions_.size(); ++direction)
      if (directions_[direction].isBlocked)
        forward(direction);
  }

private:
  struct Direction {
    explicit Direction(asio::io_context &io) : source(io), timer(io) {}
    tcp::socket source;
    asio::steady_timer timer;
    std::array<char, BufferBytes> buffer{};
    std::size_t bufferedBytes = 0;
    bool isBlocked = false;
    /// What comes is swallowed.
    bool isSilent = false;
  };

  bool isCut(std::size_t direction) const {
    const LinkState state = proxy_->state_;
    return blackholed_ || state == LinkState::Cut ||
           state ==
               (direction == 0 ? LinkState::CutForward : LinkState::CutBack);
  }

  void read(std::size_t direction) {
    directions_[direction].source.async_read_some(
        asio::buffer(directions_[direction].buffer),
        [self = shared_from_this(), direction](asio::error_code error,
                                               std::size_t bytes) {
          if (self->ended_ || self->proxy_ == nullptr)
            return;
          if (error && error != asio::error::eof)
            return self->abort();
          self->directions_[direction].bufferedBytes = bytes;
          self->forward(direction);
        });
  }

  void forward(std::size_t direction) {
    Direction &from = directions_[direction];
    if (from.isSilent)
      return from.bufferedBytes == 0 ? abort() : read(direction);
    from.isBlocked = isCut(direction);
    if (from.isBlocked)
      return;
    if (proxy_->state_ != LinkState::Delayed)
      return write(direction);
    from.timer.expires_after(LinkDelay);
    from.timer.async_wait(
        [self = shared_from_this(), direction](asio::error_code error) {
          if (!error && !self->ended_)
            self->write(direction);
        });
  }

  void write(std::size_t direction) {
    tcp::socket &to = directions_[1 - direction].source;
    if (directions_[direction].bufferedBytes == 0) {
      // The source has closed its side.
      asio::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      if (++closedDirections_ == directions_.size())
        abort();
      return;
    }
    asio::async_write(to,
                      asio::buffer(directions_[direction].buffer.data(),
                                   directions_[direction].bufferedBytes),
                      [self = shared_from_this(),
                       direction](asio::error_code error, std::size_t) {
                        if (self->ended_ || self->proxy_ == nullptr)
                          return;
                        error ? self->abort() : self->read(direction);
                      });
  }

  LoopbackProxy *proxy_;
  /// Toward the target, and from it.
  std::array<Direction, 2> directions_;
  std::size_t closedDirections_ = 0;
  bool blackholed_ = false;
  bool ended_ = false;
};

LoopbackProxy::LoopbackProxy(asio::io_context &io, const Endpoint &target)
    : io_(io), target_(toTcpEndpoint(target)),
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
    return resetConnections();
  for (const auto &pipe : std::unordered_set(pipes_))
    pipe->resume();
}

void LoopbackProxy::resetConnections() {
  for (const auto &pipe : std::unordered_set(pipes_))
    pipe->abort();
}

void LoopbackProxy::blackholeConnections() {
  for (const auto &pipe : pipes_)
    pipe->blackhole();
}

void LoopbackProxy::silenceOneConnection(std::mt19937_64 *random,
                                         bool isOneWay) {
  if (pipes_.empty())
    return;
  std::uniform_int_distribution<std::size_t> any(0, pipes_.size() - 1);
  (*std::next(pipes_.begin(), static_cast<std::ptrdiff_t>(any(*random))))
      ->silence(isOneWay);
}

void LoopbackProxy::resetSilentConnections() {
  for (const auto &pipe : std::unordered_set(pipes_))
    if (pipe->isSilent())
      pipe->abort();
}

} // namespace auburnspring::soak
