#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/stall_policy.h"
#include "auburnspring/decision/upstream_health.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// The hedge delay is this multiple of the upstream's smoothed latency, at
/// least MinHedgeDelay, and otherwise at most half the latency target and a
/// third of the time left.
constexpr std::int64_t HedgeFactor = 3;
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(45);
/// Once a second upstream of a stream has sent its head, it runs the request:
/// the first one is left after this time, unless it brings an event.
constexpr Duration MaxStreamOverlap = std::chrono::milliseconds(250);

} // namespace

void ActiveRequest::armHedgeTimer() {
  if (!route_->isRetryable() || route_->maxAttempts < 2 || attempts_.size() > 1)
    return;
  const Duration usualDelay =
      attempts_.back()->upstream().latency * HedgeFactor;
  const Duration maxDelay = std::max(
      MinHedgeDelay, std::min(route_->targetLatency / 2, timeLeft() / 3));
  progressTimer_.startAfter(
      std::max(MinHedgeDelay, std::min(maxDelay, usualDelay)),
      [this] { onHedge(); });
}

void ActiveRequest::onHedge() {
  if (!hasLiveAttempt() || possibleRuns_ >= route_->maxAttempts)
    return;
  // A request that may crash upstreams is not sent to two at a time.
  if (context_->partGuard->hasCrashed(requestName_) || !takeRetry())
    return;
  dispatch();
}

void ActiveRequest::armStallTimer() {
  if (!route_->isResumable)
    return;
  progressTimer_.startAfter(stallTimeout(*route_, streamStarted_),
                            [this] { onStall(); });
}

void ActiveRequest::onStall() {
  Attempt *silent = liveAttempt();
  // A peer hedges what it serves for this host.
  if (silent == nullptr || silent->isHandOver())
    return;
  isStalled_ = true;
  UpstreamState *upstream = silent->mutableUpstream();
  const bool hedges = mayHedgeStream() && takeRetry();
  logEvent(LogLevel::Info, "stream_stalled",
           {{"id", request_.id},
            {"upstream", upstream->entry.id},
            {"last_event", static_cast<long>(lastEventId_.value_or(-1))},
            {"hedged", hedges}});
  // Silence alone ends no response: the upstream may go on.
  armStallTimer();
  if (!hedges)
    return;
  recordUpstreamFailure(upstream, steadyNow());
  hedgeStream();
}

bool ActiveRequest::needsStagesAgain() const {
  return !plan_.stages().empty() && !plan_.holdsFinalResults();
}

bool ActiveRequest::mayHedgeStream() {
  const auto attemptCount = static_cast<std::int64_t>(triedUpstreams_.size());
  return !hedgeAwaitsStages_ && possibleRuns_ < route_->maxAttempts &&
         attemptCount < MaxAttemptsPerRequest && timeLeft() > MinAttemptTime &&
         (!needsStagesAgain() || plan_.canRestartFinalStages()) &&
         selectUpstream({}).engine != nullptr;
}

void ActiveRequest::hedgeStream() {
  if (!needsStagesAgain())
    return dispatch();
  if (!restartStages())
    return;
  hedgeAwaitsStages_ = true;
  submitReadyStages();
}

void ActiveRequest::retryHedge(Attempt *attempt) {
  if (attempt->responseInfo().areInputsGone)
    releaseResults(plan_.takeHeldResults());
  if (mayHedgeStream() && takeRetry())
    hedgeStream();
}

void ActiveRequest::boundOverlap(Attempt *attempt) {
  // keepOnly(), which destroys attempts, stops the timer.
  overlapTimer_.startAfter(MaxStreamOverlap, [this, attempt] {
    if (!attempt->hasEnded())
      keepOnly(attempt);
  });
}

void ActiveRequest::keepOnly(Attempt *attempt) {
  isStalled_ = hedgeAwaitsStages_ = false;
  overlapTimer_.cancel();
  respondingUpstream_ = attempt->upstream().entry.id;
  const auto isOther = [attempt](const std::unique_ptr<Attempt> &other) {
    return other.get() != attempt;
  };
  for (const auto &other : attempts_)
    if (isOther(other) && !other->hasEnded())
      context_->metrics.countAttempt(poolName_, "superseded");
  attempts_.erase(std::remove_if(attempts_.begin(), attempts_.end(), isOther),
                  attempts_.end());
}

} // namespace auburnspring
