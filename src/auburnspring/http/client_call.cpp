#include "auburnspring/http/client_call.h"

#include "auburnspring/base/log.h"
#include "auburnspring/http/message_reader.h"
#include "auburnspring/http/timer.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

#include <array>

namespace auburnspring::http {

namespace {

/// The kernel closes the connection if sent data stays unacknowledged for this
/// long. Two round trips on a lossy link fit into it several times over.
constexpr int TcpUserTimeoutMs = 2500;
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(asio::ip::tcp::socket &socket, int level, int name, int value) {
  // On failure the system default stays in force, which is safe.
  setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void setKeepAliveOptions(asio::ip::tcp::socket &socket) {
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
}

} // namespace

class ClientCall::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &io, CallOptions options, ClientCallbacks callbacks)
      : socket_(io), timer_(io), options_(std::move(options)),
        callbacks_(std::move(callbacks)),
        reader_(MessageKind::Response, options_.maxHeadBytes,
                {[this] { onHead(); },
                 [this](std::string_view bytes) { onBody(bytes); },
                 [this] { onMessage(); }}) {}

  void start(const RequestHead &head, std::string_view body);
  void cancel();
  void endUnbounded(std::string_view part, std::size_t bytes);
  bool isCloseDelimited() const { return isCloseDelimited_; }
  bool mayHaveBeenSent() const { return mayHaveBeenSent_; }

private:
  void onConnected();
  void read();
  void onRead(std::size_t bytes);
  /// The upstream has closed the connection, as far as the read could see.
  void onEndOfStream();
  void onHead();
  void onBody(std::string_view bytes);
  void onMessage();
  /// Counts bytes of the current message; `bodyBytes` of them are its body.
  void count(std::size_t bytes, std::size_t bodyBytes);
  void end(CallStatus status, std::string_view reason);
  void closeSocket();

  asio::ip::tcp::socket socket_;
  Timer timer_;
  CallOptions options_;
  ClientCallbacks callbacks_;
  MessageReader reader_;
  std::string outgoing_;
  std::array<char, 16 << 10> buffer_{};
  bool mayHaveBeenSent_ = false;
  /// True until the whole request has been written.
  bool isWriting_ = false;
  /// True if the response ends with the connection and the write has to show
  /// whether that was orderly.
  bool awaitsWrite_ = false;
  std::size_t headBytes_ = 0;
  std::size_t bodyBytes_ = 0;
  std::size_t skippedBytes_ = 0;
  /// True within the body of a response that is skipped.
  bool skippingResponse_ = false;
  bool isInterim_ = false;
  /// Of the response that is passed on.
  bool isCloseDelimited_ = false;
  bool ended_ = false;
};

void ClientCall::Impl::start(const RequestHead &head, std::string_view body) {
  outgoing_ = encodeHead(head);
  outgoing_.append(body);
  asio::error_code error;
  const asio::ip::tcp::endpoint remoteEndpoint(
      asio::ip::make_address(options_.endpoint.ip, error),
      options_.endpoint.port);
  if (!error)
    socket_.open(remoteEndpoint.protocol(), error);
  if (error) {
    // Reported asynchronously, so that no callback runs before start() returns.
    timer_.startAfter(Duration(0),
                      [self = shared_from_this(), text = error.message()] {
                        self->end(CallStatus::NotSent, text);
                      });
    return;
  }
  setKeepAliveOptions(socket_);
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  timer_.startAfter(options_.connectTimeout, [self = shared_from_this()] {
    self->end(CallStatus::NotSent, "connect timeout");
  });
  socket_.async_connect(remoteEndpoint, [self = shared_from_this()](
                                            asio::error_code connectError) {
    if (self->ended_)
      return;
    if (connectError)
      return self->end(CallStatus::NotSent, connectError.message());
    self->onConnected();
  });
}

void ClientCall::Impl::onConnected() {
  timer_.cancel();
  mayHaveBeenSent_ = true;
  isWriting_ = true;
  read();
  asio::async_write(
      socket_, asio::buffer(outgoing_),
      [self = shared_from_this()](asio::error_code error, std::size_t written) {
        if (self->ended_)
          return;
        self->isWriting_ = false;
        // If the kernel accepted no bytes, none were sent.
        if (error)
          return self->end(written == 0 ? CallStatus::NotSent
                                        : CallStatus::Failed,
                           error.message());
        if (self->awaitsWrite_)
          self->onEndOfStream();
      });
}

void ClientCall::Impl::read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
        if (self->ended_)
          return;
        if (error == asio::error::eof)
          return self->onEndOfStream();
        if (error)
          return self->end(CallStatus::Failed, error.message());
        self->onRead(bytes);
      });
}

void ClientCall::Impl::onEndOfStream() {
  // The kernel reports a reset once. If a write took the report, a read finds
  // the same as at an orderly end.
  awaitsWrite_ = isWriting_ && reader_.isInMessage() &&
                 reader_.isCloseDelimited() && !skippingResponse_;
  if (awaitsWrite_)
    return;
  // This ends a response without length. If that one was skipped, no other
  // follows.
  reader_.finish().IgnoreError();
  if (!ended_)
    end(CallStatus::Failed, "End of file");
}

void ClientCall::Impl::onRead(std::size_t bytes) {
  std::string_view remaining(buffer_.data(), bytes);
  while (!remaining.empty() && !ended_) {
    const std::size_t bodyBytesBefore = bodyBytes_;
    const absl::StatusOr<std::size_t> consumed = reader_.feed(remaining);
    if (ended_)
      return;
    if (reader_.isHeadTooLarge())
      return endUnbounded("head", headBytes_ + remaining.size());
    if (!consumed.ok())
      return end(CallStatus::Failed, std::string(consumed.status().message()));
    count(*consumed, bodyBytes_ - bodyBytesBefore);
    remaining.remove_prefix(*consumed);
  }
  if (!ended_)
    read();
}

void ClientCall::Impl::count(std::size_t bytes, std::size_t bodyBytes) {
  if (skippingResponse_ && !isInterim_) {
    skippedBytes_ += bytes;
    if (skippedBytes_ > options_.maxSkippedBytes)
      endUnbounded("skipped", skippedBytes_);
  } else {
    headBytes_ += bytes - bodyBytes;
    if (headBytes_ >
        options_.maxHeadBytes + bodyBytes_ * FramingBytesPerBodyByte)
      endUnbounded("head", headBytes_);
  }
  if (!reader_.isInMessage())
    skippingResponse_ = false;
}

void ClientCall::Impl::onHead() {
  ResponseHead head{reader_.status(), reader_.headers()};
  isInterim_ = head.status / 100 == 1;
  skippingResponse_ =
      isInterim_ || (options_.matchesRequest && !options_.matchesRequest(head));
  if (skippingResponse_)
    return;
  isCloseDelimited_ = reader_.isCloseDelimited();
  if (callbacks_.onHead)
    callbacks_.onHead(std::move(head));
}

void ClientCall::Impl::onBody(std::string_view bytes) {
  if (ended_ || skippingResponse_)
    return;
  bodyBytes_ += bytes.size();
  if (bodyBytes_ > options_.maxBodyBytes)
    return endUnbounded("body", bodyBytes_);
  if (callbacks_.onBody)
    callbacks_.onBody(bytes);
}

void ClientCall::Impl::onMessage() {
  if (!ended_ && !skippingResponse_)
    end(CallStatus::Complete, "");
}

void ClientCall::Impl::end(CallStatus status, std::string_view reason) {
  if (ended_)
    return;
  // Keeps this object alive, since the callback may destroy the call.
  const std::shared_ptr<Impl> self = shared_from_this();
  ended_ = true;
  closeSocket();
  const auto onEnd = std::move(callbacks_.onEnd);
  if (onEnd)
    onEnd(status, reason);
}

void ClientCall::Impl::endUnbounded(std::string_view part, std::size_t bytes) {
  if (ended_)
    return;
  logEvent(LogLevel::Warning, "response_unbounded",
           {{"upstream", options_.upstream.empty() ? toString(options_.endpoint)
                                                   : options_.upstream},
            {"in", std::string(part)},
            {"bytes", static_cast<unsigned long>(bytes)}});
  end(CallStatus::Failed, "response without end");
}

void ClientCall::Impl::cancel() {
  ended_ = true;
  closeSocket();
}

void ClientCall::Impl::closeSocket() {
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

ClientCall::ClientCall(asio::io_context &io, CallOptions options,
                       ClientCallbacks callbacks)
    : impl_(std::make_shared<Impl>(io, std::move(options),
                                   std::move(callbacks))) {}
ClientCall::~ClientCall() { impl_->cancel(); }
void ClientCall::start(const RequestHead &head, std::string_view body) {
  impl_->start(head, body);
}
void ClientCall::cancel() { impl_->cancel(); }
void ClientCall::endUnbounded(std::string_view part, std::size_t bytes) {
  // The call may be destroyed in its last callback.
  const std::shared_ptr<Impl> impl = impl_;
  impl->endUnbounded(part, bytes);
}
bool ClientCall::isCloseDelimited() const { return impl_->isCloseDelimited(); }
bool ClientCall::mayHaveBeenSent() const { return impl_->mayHaveBeenSent(); }

} // namespace auburnspring::http
