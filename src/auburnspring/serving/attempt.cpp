#include "auburnspring/serving/attempt.h"

namespace auburnspring {

Attempt::Attempt(asio::io_context &io, const Dialect *dialect,
                 UpstreamStatePtr upstream, AttemptTokens tokens,
                 ResponseBudget *budget)
    : dialect_(dialect), upstream_(std::move(upstream)), tokens_(tokens),
      share_(budget), io_(io) {}

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
    ended_ = true;
    callStatus_ = callStatus;
    failureReason_ = std::string(reason);
    if (callStatus != http::CallStatus::Complete)
      discardBody();
    releaseLoad();
    events_.onEnd();
  };
  call_ = std::make_unique<http::ClientCall>(io_, std::move(options),
                                             std::move(callbacks));
  call_->start(head, body);
}

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

bool Attempt::hasLastedFor(Duration span, TimePoint lastEventAt) {
  firstEventAt_ = firstEventAt_.value_or(lastEventAt);
  return lastEventAt >= *firstEventAt_ + span;
}

void Attempt::releaseLoad() {
  if (loadReleased_)
    return;
  notePrefillDone();
  loadReleased_ = true;
  --upstream_->inFlight;
  upstream_->reservedTokens -= tokens_.kvCache;
  if (lease_ && responseInfo_.isRejection())
    lease_->setEnd(PermitEnd::Rejected);
  else if (lease_ && !ended_)
    lease_->setEnd(PermitEnd::Cancelled);
  lease_.reset();
}

AttemptReport Attempt::report() const {
  AttemptReport report;
  report.mayHaveBeenSent =
      !ended_ || callStatus_ != http::CallStatus::NotSent || head_.status != 0;
  report.isComplete = ended_ && callStatus_ == http::CallStatus::Complete;
  report.isNotRun = head_.status != 0 && responseInfo_.isNotRun;
  report.isSigned = responseInfo_.isSigned && !responseInfo_.isEncoded;
  report.status = head_.status;
  return report;
}

} // namespace auburnspring
