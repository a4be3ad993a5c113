// RequestRun: the final response to the caller.
#include "auburnspring/decision/request_run.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);

} // namespace

Duration RequestRun::retryAfterDelay(const RunContext &context) const {
  const Duration wait = std::max(MinRetryAfter, expectedWait(context));
  std::uniform_real_distribution<double> jitter(0.8, 1.6);
  return Duration(static_cast<std::int64_t>(static_cast<double>(wait.count()) *
                                            jitter(context.random)));
}

void RequestRun::giveUp(const std::string &reason, const RunContext &context,
                        Step *step) {
  RespondToCaller refusal;
  refusal.outcome = Outcome::NotRun;
  if (possiblyRunAttempts_ > 0)
    refusal.outcome = Outcome::Incomplete;
  if (atMostOnceMayHaveRun_ || otherHostMayHaveRun_ || mayHaveRunEarlier())
    refusal.outcome = Outcome::Unknown;
  refusal.reason = reason;
  refusal.retryAfter = retryAfterDelay(context);
  respond(std::move(refusal), context, step);
}

void RequestRun::reject(const std::string &reason, const RunContext &context,
                        Step *step) {
  RespondToCaller rejected;
  rejected.outcome = Outcome::Rejected;
  rejected.reason = reason;
  rejected.permanent = true;
  respond(std::move(rejected), context, step);
}

void RequestRun::respond(RespondToCaller response, const RunContext &context,
                         Step *step) {
  responded_ = true;
  phase_ = Phase::Finished;
  ledgerPollAt_ = TimePoint::max();
  if (claimPending_ && context.ledger.cancelClaim(arrived_.request, step))
    claimPending_ = false;
  if (stagePool_)
    stagePool_->limiter.removeQueued(arrived_.request);
  cancelAll(step);
  const bool atMostOnceLive =
      std::any_of(attempts_.begin(), attempts_.end(),
                  [](const LiveAttempt &a) { return a.atMostOnce; });
  if (!atMostOnceLive)
    settleClaim(context, step);
  ++liveRoute_->counters->outcomes[static_cast<std::size_t>(response.outcome)];
  response.request = arrived_.request;
  step->addAction(std::move(response));
}

} // namespace auburnspring
