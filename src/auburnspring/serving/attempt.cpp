#include "auburnspring/serving/attempt.h"

#include "auburnspring/serving/response_end.h"

namespace auburnspring {

Attempt::Attempt(asio::io_context &io, const Dialect *dialect,
                 UpstreamStatePtr upstream, AttemptTokens tokens,
                 ExpectedBody expected, ResponseBudget *budget)
    : dialect_(dialect), upstream_(std::move(upstream)), tokens_(tokens),
      expected_(expected), share_(budget), io_(io) {}

Attempt::~Attempt() { releaseLoad(); }

void Attempt::start(const http::RequestHead &head, std::string_view body,
                    const std::string &requestId, TimePoint now) {
  startedAt_ = now;
  requestId_ = requestId;
  loadReleased_ = false;
  ++upstream_->inFlight;
  upstream_->prefillTokens += tokens_.prefill;
  upstream_->reservedTokens += tokens_.kvCache;
  http::CallOptions options;
  options.endpoint = upstream_->entry.endpoint;
  options.upstream = upstream_->entry.id;
  options.matchesRequest = [this](const http::ResponseHead &response) {
    const ResponseInfo responseInfo = dialect_->parseResponseHead(response);
    return responseInfo.id.empty() || responseInfo.id == requestId_;
  };
  http::ClientCallbacks callbacks;
  callbacks.onHead = [this](http::ResponseHead response) {
    responseInfo_ = dialect_->parseResponseHead(response);
    head_ = std::move(response);
    events_.onHead();
  };
  callbacks.onBody = [this](std::string_view bytes) { events_.onBody(bytes); };
  callbacks.onEnd = [this](http::CallStatus callStatus,
                           std::string_view reason) {
    end(callStatus, reason);
  };
  call_ = std::make_unique<http::ClientCall>(io_, std::move(options),
                                             std::move(callbacks));
  call_->start(head, body);
}

void Attempt::end(http::CallStatus callStatus, std::string_view reason) {
  const AttemptEvidence known = evidence(callStatus);
  verdict_ = judgeAttempt(known);
  failureReason_ = std::string(reason.empty() ? describe(known) : reason);
  if (!isComplete(*verdict_))
    discardBody();
  releaseLoad();
  events_.onEnd();
}

AttemptEvidence Attempt::evidence(http::CallStatus callStatus) const {
  AttemptEvidence evidence;
  evidence.end = responseEnd(callStatus, call_->isCloseDelimited());
  evidence.content = contentEnd();
  evidence.status = head_.status;
  evidence.isNotRun = responseInfo_.isNotRun;
  evidence.isGenuine = responseInfo_.isSigned && !responseInfo_.isEncoded;
  evidence.needsOk = expected_ == ExpectedBody::FurtherEvents;
  return evidence;
}

ContentEnd Attempt::contentEnd() const {
  if (!isEventStream())
    return ContentEnd::Opaque;
  if (splitter_.hasPartialEvent())
    return ContentEnd::InsideEvent;
  if (firstEventAt_)
    return ContentEnd::AtBoundary;
  return expected_ == ExpectedBody::FurtherEvents ? ContentEnd::NoFurtherEvent
                                                  : ContentEnd::NoEvent;
}

bool Attempt::isEventStream() const {
  return expected_ != ExpectedBody::Opaque && head_.status == 200 &&
         responseInfo_.isSigned && !responseInfo_.isEncoded;
}

bool Attempt::isUnframed() const { return call_ && call_->isCloseDelimited(); }

void Attempt::cancel() {
  if (call_)
    call_->cancel();
  discardBody();
  releaseLoad();
}

void Attempt::endUnbounded(std::string_view part, std::size_t bytes) {
  if (call_)
    call_->endUnbounded(part, bytes);
}

bool Attempt::appendBody(std::string_view bytes) {
  if (!share_.resize(body_.size() + bytes.size()))
    return false;
  body_.append(bytes);
  return true;
}

bool Attempt::splitEvents(std::string_view bytes,
                          std::vector<StreamEvent> *events) {
  *events = splitter_.feed(bytes);
  return share_.resize(splitter_.partialBytes());
}

void Attempt::discardBody() {
  body_ = std::string();
  share_.resize(0);
}

void Attempt::notePrefillDone() {
  if (prefillDone_ || loadReleased_)
    return;
  prefillDone_ = true;
  upstream_->prefillTokens -= tokens_.prefill;
}

bool Attempt::noteEvent(TimePoint at, Duration span) {
  firstEventAt_ = firstEventAt_.value_or(at);
  return at >= *firstEventAt_ + span;
}

void Attempt::releaseLoad() {
  if (loadReleased_)
    return;
  notePrefillDone();
  loadReleased_ = true;
  --upstream_->inFlight;
  upstream_->reservedTokens -= tokens_.kvCache;
  if (lease_)
    lease_->setEnd(permitEnd(verdict_, responseInfo_.isRejection()));
  lease_.reset();
}

} // namespace auburnspring
