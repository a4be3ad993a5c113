#include "soak/soak_caller.h"

#include "auburnspring/base/clock.h"
#include "platform/names.h"

#include <absl/strings/numbers.h>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace auburnspring::soak {

namespace {

namespace names = platform::names;
using asio::ip::tcp;

constexpr std::size_t MaxHeadBytes = 16 << 10;
constexpr Duration MaxThinkTime = std::chrono::milliseconds(150);
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// How long a caller waits past its deadline, to detect late responses.
constexpr Duration LateResponseTime = std::chrono::milliseconds(1500);
/// Share of requests whose caller disconnects early, and when.
constexpr double AbandonShare = 0.03;
constexpr Duration AbandonAfter = std::chrono::milliseconds(30);
/// Requests that resume a stream at most, and the time that it must have left.
constexpr int MaxResumptions = 2;
constexpr Duration MinResumeTime = std::chrono::milliseconds(500);
/// Part of the time left that a caller waits at most when asked to.
constexpr int MaxDelayDivisor = 3;

bool isStream(CallKind kind) {
  return kind == CallKind::Stream || kind == CallKind::AtMostOnceStream;
}

const char *pathOf(const SentCall &call) {
  switch (call.kind) {
  case CallKind::AtMostOnce:
    return "/book/x";
  case CallKind::Retryable:
    return "/look/x";
  case CallKind::Stream:
    return call.isSingleAttempt ? "/stream/single/x" : "/stream/draft/x";
  case CallKind::AtMostOnceStream:
    return "/stream/query/x";
  }
  return "/";
}

} // namespace

SoakCaller::SoakCaller(LoadGenerator *generator, asio::io_context &io)
    : generator_(generator), socket_(io), timer_(io) {}

void SoakCaller::scheduleNext() {
  std::uniform_int_distribution<std::int64_t> pause(0, MaxThinkTime.count());
  timer_.expires_after(resumption_ ? resumption_->delay
                                   : Duration(pause(generator_->random_)));
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (error || self->generator_->isStopped())
      return;
    self->socket_.is_open() ? self->send() : self->connect();
  });
}

void SoakCaller::close() {
  ++connectionId_;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void SoakCaller::connect() {
  host_ = generator_->pickHost();
  if (host_ == nullptr)
    return scheduleNext();
  const Endpoint at = host_->callerLink->endpoint();
  const std::uint64_t connection = ++connectionId_;
  timer_.expires_after(ConnectTimeout);
  timer_.async_wait(
      [self = shared_from_this(), connection](asio::error_code error) {
        if (error || connection != self->connectionId_)
          return;
        self->close();
        self->scheduleNext();
      });
  socket_.async_connect(
      tcp::endpoint(asio::ip::make_address(at.ip), at.port),
      [self = shared_from_this(), connection](asio::error_code error) {
        if (connection != self->connectionId_)
          return;
        self->timer_.cancel();
        if (error) {
          self->close();
          return self->scheduleNext();
        }
        self->incarnation_ = self->host_->incarnation;
        self->read();
        self->send();
      });
}

void SoakCaller::send() {
  if (resumption_ && resumption_->deadline < steadyNow() + MinResumeTime)
    resumption_.reset();
  call_ = resumption_ ? generator_->resumingCall(host_, *resumption_)
                      : generator_->nextCall(host_);
  call_->incarnation = incarnation_;
  events_.reset();
  if (isStream(call_->kind))
    events_.emplace(call_->id, call_->lastEventId);
  drawDrop();
  body_.clear();
  messageEnded_ = false;
  reader_ = std::make_unique<http::MessageReader>(
      http::MessageKind::Response, MaxHeadBytes,
      http::MessageReader::Callbacks{
          [] {}, [this](std::string_view bytes) { body_.append(bytes); },
          [this] { messageEnded_ = true; }});
  outgoing_ = encodeRequest();
  generator_->checker_->onSent(*call_);
  const bool abandons =
      std::bernoulli_distribution(AbandonShare)(generator_->random_);
  timer_.expires_after(abandons ? AbandonAfter
                                : call_->deadline + LateResponseTime -
                                      call_->sentAt);
  timer_.async_wait([self = shared_from_this(),
                     connection = connectionId_](asio::error_code error) {
    if (!error && connection == self->connectionId_)
      self->cancelCall();
  });
  asio::async_write(socket_, asio::buffer(outgoing_),
                    [self = shared_from_this()](asio::error_code, std::size_t) {
                      // A failed write also ends the pending read.
                    });
}

void SoakCaller::drawDrop() {
  dropAfterEvent_ = 0;
  const ClusterOptions &options = generator_->cluster_->options();
  const int first = call_->lastEventId + 1;
  if (options.droppedStreamShare == 0 || call_->kind != CallKind::Stream ||
      first >= options.eventsPerStream)
    return;
  std::bernoulli_distribution drops(options.droppedStreamShare);
  std::uniform_int_distribution<int> any(first, options.eventsPerStream - 1);
  if (drops(generator_->random_))
    dropAfterEvent_ = any(generator_->random_);
}

void SoakCaller::dropConnection() {
  close();
  CallOutcome outcome;
  outcome.isAbandoned = true;
  finishCall(outcome);
  scheduleNext();
}

std::string SoakCaller::encodeRequest() const {
  const std::string versionPath = fmt::format("/v/{}/x", call_->version);
  http::RequestHead head{
      "POST", call_->version > 0 ? versionPath : pathOf(*call_), {}};
  head.headers.add("Host", "shop");
  head.headers.add(names::RequestId, call_->id);
  head.headers.add(
      names::TimeRemaining,
      fmt::format("{:.0f}", toMillis(call_->deadline - call_->sentAt)));
  head.headers.add(names::Authorization,
                   call_->version > 0
                       ? fmt::format("Bearer k1-{}", call_->version)
                       : "Bearer k1");
  if (call_->kind == CallKind::Stream) {
    head.headers.add(names::StagePieces, "2,3");
    head.headers.add(names::PieceKey, call_->id);
  }
  if (!call_->resumedId.empty()) {
    head.headers.add(names::LastEventId, std::to_string(call_->lastEventId));
    head.headers.add(names::ResumedRequestId, call_->resumedId);
  }
  if (!call_->prompt.empty()) {
    head.headers.add(names::PromptPrefix, call_->prompt);
    head.headers.add(names::TokenUsage, "400,80");
  }
  head.headers.add("Content-Length", "4");
  return http::encodeHead(head) + "body";
}

void SoakCaller::read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this(),
       connection = connectionId_](asio::error_code error, std::size_t bytes) {
        if (connection != self->connectionId_)
          return;
        if (error)
          return self->onClosed();
        self->onBytes({self->buffer_.data(), bytes});
        if (connection == self->connectionId_)
          self->read();
      });
}

void SoakCaller::onBytes(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!call_) {
      generator_->checker_->reportViolation(
          "MIXED", "bytes from " + host_->name + " with no request in flight");
      close();
      return scheduleNext();
    }
    const absl::StatusOr<std::size_t> consumed = reader_->feed(bytes);
    if (!consumed.ok()) {
      generator_->checker_->reportViolation(
          "MIXED", call_->id + " got bytes that are no HTTP response");
      return onClosed();
    }
    bytes.remove_prefix(*consumed);
    readEvents();
    if (messageEnded_)
      onMessage();
    else if (dropAfterEvent_ > 0 && events_->lastEventId() >= dropAfterEvent_)
      return dropConnection();
  }
}

bool SoakCaller::bodyMatchesRequest() const {
  const std::string suffix = " to " + call_->id;
  if (call_->kind == CallKind::AtMostOnce || call_->kind == CallKind::Retryable)
    return body_.rfind("answer of ", 0) == 0 && body_.size() > suffix.size() &&
           body_.substr(body_.size() - suffix.size()) == suffix;
  return events_->isWhole(body_,
                          generator_->cluster_->options().eventsPerStream);
}

void SoakCaller::readEvents() {
  if (!events_ || !reader_->hasHead() || reader_->status() != 200)
    return;
  events_->read(body_, [this](int number, std::string_view version) {
    generator_->checker_->onEvent(call_->id, number, version);
    if (number == 1)
      firstVersion_ = version;
  });
}

void SoakCaller::onMessage() {
  CallOutcome outcome;
  outcome.status = reader_->status();
  outcome.isComplete = true;
  outcome.bodyMatches = bodyMatchesRequest();
  outcome.isSigned = reader_->headers().find(names::Signature) != nullptr;
  const bool keepAlive = reader_->shouldKeepAlive();
  finishCall(outcome);
  if (!keepAlive || resumption_)
    close();
  scheduleNext();
}

void SoakCaller::onClosed() {
  close();
  if (call_) {
    CallOutcome outcome;
    outcome.status = reader_->hasHead() ? reader_->status() : 0;
    finishCall(outcome);
  }
  scheduleNext();
}

void SoakCaller::cancelCall() {
  close();
  if (call_) {
    CallOutcome outcome;
    outcome.isAbandoned = true;
    finishCall(outcome);
  }
  scheduleNext();
}

void SoakCaller::finishCall(CallOutcome outcome) {
  timer_.cancel();
  const SentCall call = *std::exchange(call_, std::nullopt);
  generator_->checker_->onOutcome(call.id, outcome, steadyNow());
  updateResumption(call, outcome);
}

void SoakCaller::updateResumption(const SentCall &call,
                                  const CallOutcome &outcome) {
  const int tries = resumption_ ? resumption_->tries + 1 : 0;
  const bool mayRetry = !outcome.isComplete || outcome.status >= 500 ||
                        outcome.status == 429 || outcome.status == 408;
  const bool isBroken = call.kind == CallKind::Stream &&
                        (!outcome.isAbandoned || dropAfterEvent_ > 0) &&
                        mayRetry && events_->lastEventId() > 0;
  if (!isBroken || tries >= MaxResumptions)
    return resumption_.reset();
  resumption_ = StreamResumption{call.streamId(),
                                 firstVersion_,
                                 call.isSingleAttempt,
                                 events_->lastEventId(),
                                 tries,
                                 call.deadline,
                                 requestedDelay(call.deadline - steadyNow())};
}

Duration SoakCaller::requestedDelay(Duration left) const {
  const std::string *retryAfter =
      reader_->hasHead() ? reader_->headers().find(names::RetryAfter) : nullptr;
  double seconds = 0;
  if (retryAfter == nullptr || !absl::SimpleAtod(*retryAfter, &seconds))
    return Duration(0);
  const Duration asked(static_cast<std::int64_t>(seconds * 1e6));
  return std::clamp(asked, Duration(0),
                    std::max(left, Duration(0)) / MaxDelayDivisor);
}

} // namespace auburnspring::soak
