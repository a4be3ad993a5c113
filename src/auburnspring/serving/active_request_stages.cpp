#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/request_name.h"
#include "auburnspring/decision/request_value.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Bounds of the Retry-After of a request whose stages could not run. It
/// follows the backlog, with random jitter so that callers do not retry all at
/// once.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(3000);
constexpr double RetryAfterSpread = 0.5;
/// Time that a stage waits for its batch, plus the round trips.
constexpr Duration StageOverhead = std::chrono::milliseconds(70);
/// Least expected time from the end of the stages to the first event, without
/// prefill.
constexpr Duration MinFirstEventTime = std::chrono::milliseconds(80);
/// Total size of inputs or results, in bytes, from which a stage prefers the
/// data centre that holds or needs them.
constexpr std::int64_t LargeResultBytes = 100000;

const char *jobStatusName(JobStatus status) {
  switch (status) {
  case JobStatus::Done:
    return "done";
  case JobStatus::InputsGone:
    return "inputs_gone";
  case JobStatus::Unattainable:
    return "hopeless";
  case JobStatus::Failed:
    return "failed";
  }
  return "unknown";
}

} // namespace

void ActiveRequest::startStages() {
  if (route_->stages.empty())
    return dispatch();
  // The stages would run for nothing.
  if (context_->registry.isEvacuated(poolName_, steadyNow(), softwareVersion_))
    return refuseWithoutUpstream();
  plan_ = StagePlan(route_->stages, request_.stagePieces);
  submitReadyStages();
}

void ActiveRequest::submitReadyStages() {
  // Unless a second attempt needs them, stages that ran for it are left as they
  // are while the first attempt goes on.
  if (hasLiveAttempt() && !hedgeAwaitsStages_) {
    if (plan_.isDone())
      releaseResults(plan_.takeHeldResults());
    return;
  }
  for (const std::uint32_t stage : plan_.takeReady()) {
    const TimePoint now = steadyNow();
    const std::string pool = plan_.stages()[stage].pool;
    context_->pieceDispatcher->submit(
        makeJob(stage), handlers_.bind([this, pool, now](JobOutcome outcome) {
          onStageOutcome(std::move(outcome), pool, now);
        }));
  }
  if (!plan_.isDone())
    return;
  hedgeAwaitsStages_ = false;
  stagesDoneAt_ = steadyNow();
  dispatch();
}

Duration ActiveRequest::expectedStageTime(std::uint32_t stage) const {
  const std::string &name = plan_.stages()[stage].pool;
  const ServedPool *pool = table_->pool(name);
  if (pool == nullptr || !pool->batches || plan_.pieces(stage) == 0)
    return Duration(0);
  const BatchLimits &limits = *pool->batches;
  return std::max(limits.callTime + StageOverhead +
                      limits.itemTime * (limits.batch / 3),
                  context_->stageDurations.estimate(name, steadyNow()));
}

Duration ActiveRequest::expectedTimeAfter(std::uint32_t stage) const {
  const Duration prefill = engineSpeed().prefillDuration(request_.promptTokens);
  const Duration firstEvent =
      std::max(MinFirstEventTime,
               context_->firstEventDelays.estimate(poolName_, steadyNow()));
  // The longest chain of stages that depend on this one.
  std::vector<Duration> ends(plan_.stages().size(), Duration(0));
  Duration longest(0);
  for (std::uint32_t i = stage + 1; i < plan_.stages().size(); ++i) {
    const std::vector<std::uint32_t> &dependencies =
        plan_.stages()[i].dependencies;
    bool follows = false;
    for (const std::uint32_t before : dependencies)
      if (before == stage || ends[before] > Duration(0)) {
        follows = true;
        ends[i] = std::max(ends[i], ends[before]);
      }
    if (!follows)
      continue;
    ends[i] += expectedStageTime(i);
    longest = std::max(longest, ends[i]);
  }
  return longest + prefill + firstEvent;
}

double ActiveRequest::valueDensity(std::uint32_t stage) const {
  double seconds = 0;
  for (std::uint32_t i = stage; i < plan_.stages().size(); ++i) {
    const ServedPool *pool = table_->pool(plan_.stages()[i].pool);
    if (plan_.isStageDone(i) || pool == nullptr || !pool->batches)
      continue;
    const BatchLimits &limits = *pool->batches;
    const double secondsPerPiece =
        (toMillis(limits.itemTime) +
         toMillis(limits.callTime) / static_cast<double>(limits.batch)) /
        1000;
    seconds += secondsPerPiece * plan_.pieces(i);
  }
  const double value = requestValue(request_.promptTokens,
                                    request_.outputTokens, route_->priority);
  return value / std::max(seconds, 1e-3);
}

std::string ActiveRequest::preferredDataCentre(std::uint32_t stage) {
  const std::vector<PieceStage> &stages = plan_.stages();
  std::int64_t inputBytes = 0;
  for (const std::uint32_t before : stages[stage].dependencies)
    inputBytes += stages[before].resultBytes * plan_.pieces(before);
  // Each piece fetches all inputs.
  if (inputBytes * plan_.pieces(stage) >= LargeResultBytes) {
    const std::vector<std::string> inputs = plan_.inputsOf(stage);
    const auto endpoint = context_->dialect->resultEndpoint(inputs.front());
    const UpstreamStatePtr producer =
        endpoint ? context_->registry.byEndpoint(*endpoint) : nullptr;
    return producer == nullptr ? "" : producer->entry.dataCentre;
  }
  const bool isLast = plan_.longestPathFrom(stage) == 1;
  if (!isLast ||
      stages[stage].resultBytes * plan_.pieces(stage) < LargeResultBytes)
    return "";
  const UpstreamStatePtr engine = selectUpstream({}).engine;
  return engine == nullptr ? "" : engine->entry.dataCentre;
}

StageJob ActiveRequest::makeJob(std::uint32_t stage) {
  StageJob job;
  job.requestId = request_.id;
  job.name = stageName(requestName_, stage);
  job.stage = stage;
  job.attempt = plan_.attempt(stage);
  job.pool = plan_.stages()[stage].pool;
  job.pieces = plan_.pieces(stage);
  job.key = request_.pieceKey;
  job.inputs = plan_.inputsOf(stage);
  job.preferredDataCentre = preferredDataCentre(stage);
  job.hasExclusiveInputs = plan_.hasExclusiveInputs(stage);
  job.resultBytes = plan_.stages()[stage].resultBytes;
  const Duration timeAfter = expectedTimeAfter(stage);
  job.targetTime = targetTime_ - timeAfter;
  job.deadline = deadline_ - timeAfter;
  job.valueDensity = valueDensity(stage);
  return job;
}

Duration ActiveRequest::retryAfterFor(Duration backlog) const {
  return jittered(std::clamp(backlog * 2, MinRetryAfter, MaxRetryAfter));
}

Duration ActiveRequest::jittered(Duration duration) const {
  std::uniform_real_distribution<double> spread(1, 1 + RetryAfterSpread);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * spread(context_->random)));
}

void ActiveRequest::onStageOutcome(JobOutcome outcome, const std::string &pool,
                                   TimePoint since) {
  const TimePoint now = steadyNow();
  context_->metrics.observeStage(pool, now - since);
  context_->stageDurations.observe(pool, now - since, now);
  const auto giveUp = [this, &outcome](std::string_view reason) {
    hedgeAwaitsStages_ = false;
    if (hasLiveAttempt())
      return plan_.onStageFailed(outcome.stage, outcome.attempt);
    streamStarted_ ? abortStream(reason)
                   : refuse(possibleRuns_ > 0 ? 502 : 503, reason,
                            retryAfterFor(outcome.backlog));
  };
  if (outcome.status != JobStatus::Done)
    logEvent(
        LogLevel::Info, "stage_given_up",
        {{"id", request_.id},
         {"pool", pool},
         {"stage", static_cast<unsigned long>(outcome.stage)},
         {"verdict", jobStatusName(outcome.status)},
         {"waited_ms", toMillis(now - since)},
         {"backlog_ms", toMillis(outcome.backlog)},
         {"goal_in_ms", toMillis(targetTime_ - now)},
         {"pace_ms", toMillis(context_->stageDurations.estimate(pool, now))}});
  switch (outcome.status) {
  case JobStatus::Done:
    releaseResults(plan_.onStageDone(outcome.stage, outcome.attempt,
                                     std::move(outcome.results)));
    return submitReadyStages();
  case JobStatus::InputsGone:
    if (!plan_.onInputsGone(outcome.stage, outcome.attempt))
      return giveUp("stage_inputs_gone");
    return submitReadyStages();
  case JobStatus::Unattainable:
    return giveUp(context_->registry.isEvacuated(pool, now) ? "stage_evacuated"
                                                            : "stage_hopeless");
  case JobStatus::Failed:
    return giveUp("stage_failed");
  }
}

void ActiveRequest::releaseResults(const std::vector<std::string> &results) {
  if (results.empty() || context_->pieceDispatcher == nullptr)
    return;
  context_->pieceDispatcher->releaseByPool(results);
}

} // namespace auburnspring
