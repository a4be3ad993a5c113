// RequestRun: failed attempts, their retries, and hedges.
#include "auburnspring/decision/request_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnspring {

namespace {

// Without the replacements of silent attempts, which leave a part as many
// retries as it would have had.
constexpr std::uint32_t MaxAttempts = 4;
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(10);
constexpr double MinGenerateHedgeWeight = 0.8;

bool provesNotRun(FailureKind kind) {
  return kind == FailureKind::NotSent || kind == FailureKind::Refused ||
         kind == FailureKind::Leaving || kind == FailureKind::Rejected;
}

} // namespace

void RequestRun::setHedge(PartState *part, TimePoint now) const {
  part->hedgeAt = TimePoint::max();
  const double weight = route().attainmentWeight;
  const bool generate = stage().kind == StageKind::Generate;
  const bool hedgeAllowed =
      generate ? weight >= MinGenerateHedgeWeight : weight > 0;
  const bool first = part->attempts == 1;
  if (!first || !hedgeAllowed || isAtMostOnceStage() || arrived_.stream)
    return;
  const Duration tail = liveRoute_->stageLatencies[stage_]->quantile(0.95);
  const double delayFactor = 2 - weight;
  part->hedgeAt =
      now + std::max(MinHedgeDelay,
                     Duration(static_cast<std::int64_t>(
                         static_cast<double>(tail.count()) * delayFactor)));
}

void RequestRun::recordFailure(const LiveAttempt &attempt,
                               const AttemptFailed &event, Step *step) const {
  switch (event.kind) {
  case FailureKind::NotSent:
  case FailureKind::UpstreamFailed:
  case FailureKind::ResponseLost:
    recordAttemptFailure(attempt.upstream.get(), step->now.steady);
    break;
  case FailureKind::Refused:
    attempt.pool->limiter.recordOverload(step->now.steady);
    break;
  case FailureKind::Leaving:
    step->postEvent(LeavingDetected{
        {attempt.upstream->listed.name, attempt.upstream->listed.incarnation}});
    break;
  case FailureKind::Rejected:
  case FailureKind::Cancelled:
    break;
  }
}

void RequestRun::onFailed(const AttemptFailed &event, const RunContext &context,
                          Step *step) {
  LiveAttempt *live = findAttempt(event.attempt);
  if (live == nullptr)
    return;
  const LiveAttempt attempt = endAttempt(live, step);
  ++costOf(attempt.id).failures;
  recordCost(attempt, event.usage, false);
  recordFailure(attempt, event, step);
  if (provesNotRun(event.kind)) {
    --possiblyRunAttempts_;
    if (attempt.atMostOnce)
      atMostOnceMayHaveRun_ = false;
  }
  if (responded_ && attempt.atMostOnce)
    return settleClaim(context, step);
  const bool stillNeeded = !responded_ && !attempt.cancelled &&
                           attempt.id.stage == stage_ &&
                           !parts_[attempt.id.part].done;
  if (!stillNeeded)
    return;
  // The rejection of one attempt doesn't end a response on which another is at
  // work.
  if (event.kind == FailureKind::Rejected && liveAttempts(attempt.id.part) == 0)
    return reject(event.detail, context, step);
  if (attempt.atMostOnce && atMostOnceMayHaveRun_)
    return giveUp(absl::StrCat("the call to ", attempt.upstream->listed.name,
                               " failed: ", event.detail),
                  context, step);
  retryPart(attempt, context, step);
}

void RequestRun::retryPart(const LiveAttempt &attempt,
                           const RunContext &context, Step *step) {
  PartState &state = parts_[attempt.id.part];
  state.excludedUpstreams.push_back(attempt.upstream->listed.name);
  if (!attempt.hasGap && attempt.receivedText.size() > state.resumeText.size())
    state.resumeText = attempt.receivedText;
  if (liveAttempts(attempt.id.part) > 0)
    return;
  // In the queue for a slot the caller would wait in vain.
  if (state.version && !canContinue(state, context))
    return giveUp(noUpstreamReason(state), context, step);
  const bool allowed = state.attempts - state.replacements < MaxAttempts &&
                       !cannotFinish(step->now.steady, UnattainableQuantile) &&
                       stagePool_->budget.spend();
  if (!allowed)
    return giveUp(absl::StrCat("stage ", stage().name, " failed at ",
                               attempt.upstream->listed.name),
                  context, step);
  ++costOf(attempt.id).retries;
  requestSlot(attempt.id.part, context, step);
}

// Takes a slot and a retry of the budget for an attempt beside others.
bool RequestRun::takeExtraSlot(std::uint32_t part, Step *step) {
  if (!stagePool_->limiter.tryAcquire(slotRequest(part)))
    return false;
  if (stagePool_->budget.spend())
    return true;
  releaseSlot(stagePool_, arrived_.organisation, step);
  return false;
}

void RequestRun::hedge(std::uint32_t part, const RunContext &context,
                       Step *step) {
  PartState &state = parts_[part];
  state.hedgeAt = TimePoint::max();
  if (state.done || liveAttempts(part) != 1)
    return;
  if (!takeExtraSlot(part, step))
    return;
  for (const LiveAttempt &attempt : attempts_)
    if (attempt.id.stage == stage_ && attempt.id.part == part)
      state.excludedUpstreams.push_back(attempt.upstream->listed.name);
  ++liveRoute_->counters->stages[stage_].hedges;
  dispatch(part, context, step);
}

} // namespace auburnspring
