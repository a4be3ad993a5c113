#include "server_connection.h"

#include "auburnspring/base/clock.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace auburnspring::http {

namespace {

/// Limit on buffered bytes of pipelined requests.
constexpr std::size_t MaxPipelinedBytes = 64 << 10;
/// How long incoming data is read and discarded after the last response.
/// Closing at once would reset the connection, and the caller could lose the
/// response.
constexpr std::chrono::milliseconds CloseLinger(500);
/// A connection stays open this long after a response that announced no close:
/// the caller may already be sending its next request.
constexpr Duration MinIdleTime = std::chrono::milliseconds(500);
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

ServerConnection::ServerConnection(Server *server, asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      reader_(MessageKind::Request, server->limits().maxHeadBytes,
              {[this] { onHead(); },
               [this](std::string_view bytes) {
                 if (body_.size() + bytes.size() >
                     server_->limits().maxBodyBytes)
                   bodyTooLarge_ = true;
                 else
                   body_.append(bytes);
               },
               [this] { onRequest(); }}) {}

void ServerConnection::start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  beginIdle();
  read();
}

void ServerConnection::close() {
  if (closed_)
    return;
  closed_ = true;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  notifyDisconnect();
  server_->remove(this);
}

void ServerConnection::notifyDisconnect() {
  const std::shared_ptr<Exchange> exchange = std::move(exchange_);
  if (!exchange || exchange->disconnected_)
    return;
  exchange->disconnected_ = true;
  if (exchange->onDisconnect)
    exchange->onDisconnect();
}

void ServerConnection::closeWhenIdle(Duration linger) {
  if (!isIdle())
    return;
  const Duration idleTime = steadyNow() - idleSince_;
  armTimer(responded_ ? std::max(linger, MinIdleTime - idleTime) : linger);
}

void ServerConnection::beginIdle() {
  idleSince_ = steadyNow();
  idleTimeout_ = server_->limits().idleTimeout;
  armTimer(responded_ && server_->isDraining()
               ? std::max(server_->linger_, MinIdleTime)
               : idleTimeout_);
}

void ServerConnection::onLimitsChanged() {
  const Duration raised = server_->limits().idleTimeout;
  if (raised <= idleTimeout_ || server_->isDraining() || !isIdle())
    return;
  idleTimeout_ = raised;
  armTimer(idleTimeout_ - (steadyNow() - idleSince_));
}

bool ServerConnection::isIdle() const {
  return !exchange_ && !responseEnded_ && !lingering_ && !rejected_ &&
         !reader_.isInMessage() && unparsed_.empty();
}

void ServerConnection::read() {
  if (reading_ || closed_ || unparsed_.size() >= MaxPipelinedBytes)
    return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
        self->reading_ = false;
        if (self->closed_)
          return;
        if (error)
          return self->close();
        self->onRead(bytes);
      });
}

void ServerConnection::onRead(std::size_t bytes) {
  if (lingering_ || rejected_) {
    if (lingering_ && !rejected_)
      reportDiscard(bytes);
    return read();
  }
  unparsed_.append(buffer_.data(), bytes);
  parse();
  read();
}

void ServerConnection::reportDiscard(std::size_t bytes) {
  if (bytes > 0 && !std::exchange(reportedDiscard_, true))
    server_->reportClosedWithBytes("after_response", bytes);
}

void ServerConnection::parse() {
  while (!closed_ && !rejected_ && !lingering_ && !exchange_ &&
         !unparsed_.empty()) {
    if (!reader_.isInMessage()) {
      receivedAt_ = steadyNow();
      reader_.setMaxHeadBytes(server_->limits().maxHeadBytes);
      armTimer(server_->limits().headTimeout);
    }
    const std::string bytes = std::move(unparsed_);
    unparsed_.clear();
    const absl::StatusOr<std::size_t> consumed = reader_.feed(bytes);
    if (rejected_)
      return;
    if (!consumed.ok())
      return reject(reader_.isHeadTooLarge() ? 431 : 400);
    if (bodyTooLarge_)
      return reject(413);
    unparsed_.insert(0, bytes, *consumed, std::string::npos);
    if (*consumed == 0)
      return;
  }
}

void ServerConnection::onHead() {
  armTimer(server_->limits().headTimeout);
  const std::string *expect = reader_.headers().find("Expect");
  if (expect == nullptr || !equalsIgnoringCase(*expect, "100-continue"))
    return;
  outgoing_.append(ContinueResponse);
  write();
}

void ServerConnection::onRequest() {
  if (bodyTooLarge_)
    return reject(413);
  timer_.cancel();
  if (!reader_.shouldKeepAlive())
    closeAfterResponse_ = true;
  responseEnded_ = false;
  exchange_ = std::make_shared<Exchange>(weak_from_this());
  exchange_->head = reader_.takeRequest();
  exchange_->body = std::move(body_);
  exchange_->receivedAt = receivedAt_;
  isHeadRequest_ = exchange_->head.method == "HEAD";
  body_.clear();
  server_->handler_(exchange_);
}

void ServerConnection::reject(int status) {
  closeAfterResponse_ = true;
  rejected_ = true;
  exchange_ = std::make_shared<Exchange>(weak_from_this());
  unparsed_.clear();
  exchange_->respond({status, {}}, "");
}

void ServerConnection::writeHead(ResponseHead response, bool chunked) {
  chunked_ = chunked;
  // Further requests that have been read are answered, the last with a close.
  if (server_->isDraining() && unparsed_.empty())
    closeAfterResponse_ = true;
  if (chunked)
    response.headers.add("Transfer-Encoding", "chunked");
  if (closeAfterResponse_)
    response.headers.add("Connection", "close");
  outgoing_.append(encodeHead(response));
  write();
}

void ServerConnection::writeBody(std::string_view bytes) {
  if (bytes.empty() || isHeadRequest_)
    return;
  if (chunked_)
    outgoing_.append(encodeChunk(bytes));
  else
    outgoing_.append(bytes);
  write();
}

void ServerConnection::finishResponse() {
  if (chunked_ && !isHeadRequest_)
    outgoing_.append(FinalChunk);
  responseEnded_ = true;
  exchange_.reset();
  write();
  if (inFlightBytes_ > 0 || closed_)
    return;
  // All is written already: the response to a HEAD request on a stream.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_)
      self->onWritten();
  });
}

void ServerConnection::write() {
  if (inFlightBytes_ > 0 || outgoing_.empty() || closed_)
    return;
  writeBuffer_ = std::move(outgoing_);
  outgoing_.clear();
  inFlightBytes_ = writeBuffer_.size();
  asio::async_write(
      socket_, asio::buffer(writeBuffer_),
      [self = shared_from_this()](asio::error_code error, std::size_t) {
        self->inFlightBytes_ = 0;
        if (self->closed_)
          return;
        if (error)
          return self->close();
        self->onWritten();
      });
}

void ServerConnection::closeAfterFlush() {
  closeAfterFlush_ = true;
  if (inFlightBytes_ == 0 && outgoing_.empty())
    close();
}

void ServerConnection::onWritten() {
  if (!outgoing_.empty())
    return write();
  if (closeAfterFlush_)
    return close();
  if (!responseEnded_ || exchange_)
    return;
  responseEnded_ = false;
  if (closeAfterResponse_) {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    lingering_ = true;
    reportDiscard(unparsed_.size());
    unparsed_.clear();
    armTimer(CloseLinger);
    return read();
  }
  responded_ = true;
  beginIdle();
  parse();
  read();
}

void ServerConnection::armTimer(Duration span) {
  timer_.startAfter(span, [self = shared_from_this()] { self->onTimer(); });
}

void ServerConnection::onTimer() {
  if (exchange_)
    return;
  if (!lingering_ && reader_.isInMessage())
    return reject(408);
  asio::error_code ignored;
  // The event loop was busy: bytes of a request have arrived in time.
  if (!lingering_ && socket_.available(ignored) > 0)
    return armTimer(server_->limits().headTimeout);
  close();
}

// Exchange

void Exchange::respond(ResponseHead response, std::string_view content) {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  if (!connection || disconnected_)
    return;
  response.headers.set("Content-Length", std::to_string(content.size()));
  connection->writeHead(std::move(response), false);
  connection->writeBody(content);
  connection->finishResponse();
}

void Exchange::begin(ResponseHead response, BodyFraming framing) {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  if (!connection || disconnected_)
    return;
  if (framing == BodyFraming::Connection)
    connection->closeAfterResponse();
  connection->writeHead(std::move(response), framing == BodyFraming::Chunks);
}

void Exchange::write(std::string_view bytes) {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  if (connection && !disconnected_)
    connection->writeBody(bytes);
}

void Exchange::end() {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  if (connection && !disconnected_)
    connection->finishResponse();
}

void Exchange::abort() {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  if (!connection || disconnected_)
    return;
  disconnected_ = true;
  connection->close();
}

void Exchange::abortAfterFlush() {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  if (!connection || disconnected_)
    return;
  disconnected_ = true;
  connection->closeAfterFlush();
}

std::size_t Exchange::pendingBytes() const {
  const std::shared_ptr<ServerConnection> connection = connection_.lock();
  return connection ? connection->pendingBytes() : 0;
}

} // namespace auburnspring::http
