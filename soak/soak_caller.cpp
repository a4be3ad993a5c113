#include "soak/soak_caller.h"

#include "auburnspring/base/clock.h"
#include "platform/names.h"
#include "platform/testing/worker_stand_in.h"

#include <asio/write.hpp>
#include <fmt/format.h>

namespace auburnspring::soak {

namespace {

namespace names = platform::names;
using asio::ip::tcp;

constexpr std::size_t MaxHeadBytes = 16 << 10;
constexpr Duration LongestPause = std::chrono::milliseconds(150);
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// A caller waits this much longer than it says, to see late answers.
constexpr Duration Patience = std::chrono::milliseconds(1500);
/// Share of requests whose caller leaves early, and when.
constexpr double LeavingShare = 0.03;
constexpr Duration EarlyLeave = std::chrono::milliseconds(30);

const char *prefixOf(CallKind kind) {
  switch (kind) {
  case CallKind::Once:
    return "/book/x";
  case CallKind::Repeatable:
    return "/look/x";
  case CallKind::Stream:
    return "/stream/draft/x";
  case CallKind::OnceStream:
    return "/stream/query/x";
  }
  return "/";
}

} // namespace

SoakCaller::SoakCaller(CallerCrowd *crowd, asio::io_context &io)
    : crowd_(crowd), socket_(io), timer_(io) {}

void SoakCaller::rest() {
  std::uniform_int_distribution<std::int64_t> pause(0, LongestPause.count());
  timer_.expires_after(Duration(pause(crowd_->random_)));
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (error || self->crowd_->isStopped())
      return;
    self->socket_.is_open() ? self->send() : self->connect();
  });
}

void SoakCaller::close() {
  ++connection_;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void SoakCaller::connect() {
  host_ = crowd_->pickHost();
  if (host_ == nullptr)
    return rest();
  const Endpoint at = host_->callerLink->endpoint();
  const std::uint64_t own = ++connection_;
  timer_.expires_after(ConnectTimeout);
  timer_.async_wait([self = shared_from_this(), own](asio::error_code error) {
    if (error || own != self->connection_)
      return;
    self->close();
    self->rest();
  });
  socket_.async_connect(
      tcp::endpoint(asio::ip::make_address(at.ip), at.port),
      [self = shared_from_this(), own](asio::error_code error) {
        if (own != self->connection_)
          return;
        self->timer_.cancel();
        if (error) {
          self->close();
          return self->rest();
        }
        self->life_ = self->host_->life;
        self->read();
        self->send();
      });
}

void SoakCaller::send() {
  call_ = crowd_->nextCall(host_);
  call_->life = life_;
  body_.clear();
  messageEnded_ = false;
  reader_ = std::make_unique<http::MessageReader>(
      http::MessageKind::Response, MaxHeadBytes,
      http::MessageReader::Callbacks{
          [] {}, [this](std::string_view bytes) { body_.append(bytes); },
          [this] { messageEnded_ = true; }});
  outgoing_ = requestText();
  crowd_->book_->onSent(*call_);
  const bool leaves =
      std::bernoulli_distribution(LeavingShare)(crowd_->random_);
  timer_.expires_after(leaves ? EarlyLeave
                              : call_->deadline + Patience - call_->sentAt);
  timer_.async_wait(
      [self = shared_from_this(), own = connection_](asio::error_code error) {
        if (!error && own == self->connection_)
          self->leave();
      });
  asio::async_write(socket_, asio::buffer(outgoing_),
                    [self = shared_from_this()](asio::error_code, std::size_t) {
                      // A failed write shows as the end of the connection.
                    });
}

std::string SoakCaller::requestText() const {
  const std::string own = fmt::format("/v/{}/x", call_->version);
  http::RequestHead head{
      "POST", call_->version > 0 ? own : prefixOf(call_->kind), {}};
  head.headers.add("Host", "shop");
  head.headers.add(names::RequestId, call_->id);
  head.headers.add(
      names::TimeLeft,
      fmt::format("{:.0f}", toMillis(call_->deadline - call_->sentAt)));
  head.headers.add(names::Authorization,
                   call_->version > 0
                       ? fmt::format("Bearer k1-{}", call_->version)
                       : "Bearer k1");
  if (call_->kind == CallKind::Stream) {
    head.headers.add(names::StagePieces, "2,3");
    head.headers.add(names::PieceKey, call_->id);
  }
  head.headers.add("Content-Length", "4");
  return http::encodeHead(head) + "body";
}

void SoakCaller::read() {
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this(), own = connection_](
                              asio::error_code error, std::size_t bytes) {
                            if (own != self->connection_)
                              return;
                            if (error)
                              return self->onClosed();
                            self->onBytes({self->buffer_.data(), bytes});
                            if (own == self->connection_)
                              self->read();
                          });
}

void SoakCaller::onBytes(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!call_) {
      crowd_->book_->breach("MIXED", "bytes from " + host_->name +
                                         " with no request waiting");
      close();
      return rest();
    }
    const absl::StatusOr<std::size_t> taken = reader_->feed(bytes);
    if (!taken.ok()) {
      crowd_->book_->breach("MIXED",
                            call_->id + " got bytes that are no answer");
      return onClosed();
    }
    bytes.remove_prefix(*taken);
    if (messageEnded_)
      onMessage();
  }
}

bool SoakCaller::isOwnAnswer() const {
  const std::string suffix = " to " + call_->id;
  if (call_->kind == CallKind::Once || call_->kind == CallKind::Repeatable)
    return body_.rfind("answer of ", 0) == 0 && body_.size() > suffix.size() &&
           body_.substr(body_.size() - suffix.size()) == suffix;
  std::string whole;
  for (int i = 1; i <= platform::WorkerStandIn::EventsPerStream; ++i)
    whole += fmt::format("id: {}\ndata: piece {}{}\n\n", i, i, suffix);
  return body_ == whole;
}

void SoakCaller::onMessage() {
  CallAnswer answer;
  answer.status = reader_->status();
  answer.isWhole = true;
  answer.isOwnBody = isOwnAnswer();
  answer.isSigned = reader_->headers().find(names::Signature) != nullptr;
  const bool keeps = reader_->keepsAlive();
  finish(answer);
  if (!keeps)
    close();
  rest();
}

void SoakCaller::onClosed() {
  close();
  if (call_) {
    CallAnswer answer;
    answer.status = reader_->hasHead() ? reader_->status() : 0;
    finish(answer);
  }
  rest();
}

void SoakCaller::leave() {
  close();
  if (call_) {
    CallAnswer answer;
    answer.isAbandoned = true;
    finish(answer);
  }
  rest();
}

void SoakCaller::finish(CallAnswer answer) {
  timer_.cancel();
  const SentCall call = *std::exchange(call_, std::nullopt);
  crowd_->book_->onAnswer(call.id, answer, steadyNow());
}

} // namespace auburnspring::soak
