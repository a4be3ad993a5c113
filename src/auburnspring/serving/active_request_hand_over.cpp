#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

namespace auburnspring {

bool ActiveRequest::mustHandOver() const {
  // One hop: what a peer has handed over is served here or refused.
  if (isFromPeer())
    return false;
  const bool isVersionElsewhere = streamStarted_ && !softwareVersion_;
  return isVersionElsewhere ||
         context_->reach->mustHandOver(poolName_, softwareVersion_);
}

bool ActiveRequest::mayHandOver() const {
  // A second attempt beside one in progress stays here.
  return !isFromPeer() && !hasLiveAttempt() &&
         context_->reach->mayHandOver(triedUpstreams_, poolName_);
}

void ActiveRequest::handOver() {
  const UpstreamStatePtr helper =
      context_->reach->chooseHelper(triedUpstreams_, poolName_);
  if (helper == nullptr) {
    if (hasLiveAttempt())
      return;
    if (streamStarted_)
      return abortStream("no_reach");
    return refuse(possibleRuns_ > 0 ? 502 : 503, "no_reach", DefaultRetryAfter);
  }
  logEvent(LogLevel::Info, "request_handed_over",
           {{"id", request_.id},
            {"route", route_->name},
            {"helper", helper->entry.id},
            {"last_event", static_cast<long>(lastEventId_.value_or(-1))},
            {"left_ms", toMillis(timeLeft())}});
  context_->metrics.countHandOver("sent");
  // An attempt in progress here records its origin again if it comes first.
  if (!streamStarted_ && route_->isStream)
    context_->streamOrigins->disown(request_.id);
  Attempt *attempt = addAttempt(helper, {});
  attempt->setHandOver();
  http::RequestHead head = context_->dialect->handOverHead(
      exchange_->head, forwardingParams(*helper), request_.id,
      exchange_->body.size());
  head.headers.set(PeerKeyHeader, context_->peerKey);
  attempt->start(head, exchange_->body, request_.id, steadyNow());
}

bool ActiveRequest::hasPeerReply(const Attempt &attempt) const {
  const bool isStream = route_->isStream && attempt.head().status == 200;
  return attempt.isHandOver() && isComplete(*attempt.verdict()) && !isStream;
}

void ActiveRequest::relayFromPeer(Attempt *attempt) {
  if (*attempt->verdict() != AttemptVerdict::Unusable)
    return relay(attempt);
  const int status = attempt->head().status;
  // It may have run, and has been tried as often as its route allows.
  refuse(status >= 400 && status != 503 ? status : 502, "helper_refused");
}

} // namespace auburnspring
