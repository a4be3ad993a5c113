#include "auburnspring/serving/caller_run.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/decision/request_value.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
/// Wait for a batch to form and the way there and back, for each stage.
constexpr Duration StageWait = std::chrono::milliseconds(70);
/// From the end of the stages to the first event, without reading the prompt.
constexpr Duration FirstEventTime = std::chrono::milliseconds(80);
/// Prompt tokens that an engine reads in a millisecond.
constexpr std::int64_t PrefillTokensPerMilli = 100;

} // namespace

void CallerRun::startStages() {
  if (route_->stages.empty())
    return dispatch();
  plan_ = StagePlan(route_->stages, request_.stagePieces);
  submitReady();
}

void CallerRun::submitReady() {
  for (const std::uint32_t stage : plan_.takeReady()) {
    const TimePoint now = steadyNow();
    const std::string pool = plan_.stages()[stage].pool;
    context_->pieces->submit(jobFor(stage), [weak = weak_from_this(), pool,
                                             now](PieceOutcome outcome) {
      if (const auto self = weak.lock())
        self->onStage(std::move(outcome), pool, now);
    });
  }
  if (!plan_.isDone())
    return;
  stagesDoneAt_ = steadyNow();
  dispatch();
}

Duration CallerRun::restAfter(std::uint32_t stage) const {
  Duration rest =
      FirstEventTime +
      std::chrono::milliseconds(request_.promptTokens / PrefillTokensPerMilli);
  const auto later = static_cast<std::int64_t>(plan_.chainFrom(stage)) - 1;
  const ServedPool *pool = table_->pool(plan_.stages()[stage].pool);
  if (pool != nullptr && pool->batches)
    rest += (pool->batches->callTime + StageWait +
             pool->batches->itemTime * (pool->batches->batch / 3)) *
            later;
  return rest;
}

double CallerRun::density(std::uint32_t stage) const {
  double seconds = 0;
  for (std::uint32_t i = stage; i < plan_.stages().size(); ++i) {
    const ServedPool *pool = table_->pool(plan_.stages()[i].pool);
    if (plan_.isStageDone(i) || pool == nullptr || !pool->batches)
      continue;
    const BatchLimits &limits = *pool->batches;
    const double eachSeconds =
        (toMillis(limits.itemTime) +
         toMillis(limits.callTime) / static_cast<double>(limits.batch)) /
        1000;
    seconds += eachSeconds * plan_.pieces(i);
  }
  const double worth = requestWorth(request_.promptTokens,
                                    request_.outputTokens, route_->priority);
  return worth / std::max(seconds, 1e-3);
}

PieceJob CallerRun::jobFor(std::uint32_t stage) const {
  PieceJob job;
  job.requestId = request_.id;
  job.stage = stage;
  job.round = plan_.round(stage);
  job.pool = plan_.stages()[stage].pool;
  job.pieces = plan_.pieces(stage);
  job.key = request_.pieceKey;
  job.inputs = plan_.inputsOf(stage);
  job.resultBytes = plan_.stages()[stage].resultBytes;
  const Duration rest = restAfter(stage);
  job.goalAt = exchange_->receivedAt + route_->goal - rest;
  job.deadline = deadline_ - rest;
  job.density = density(stage);
  return job;
}

void CallerRun::onStage(PieceOutcome outcome, const std::string &pool,
                        TimePoint since) {
  if (done_)
    return;
  context_->metrics.observeStage(pool, steadyNow() - since);
  const auto giveUp = [this](std::string_view reason) {
    streamBegun_ ? abortStream(reason)
                 : refuse(ran_ > 0 ? 502 : 503, reason, DefaultRetryAfter);
  };
  switch (outcome.verdict) {
  case PieceVerdict::Done:
    releaseResults(
        plan_.onDone(outcome.stage, outcome.round, std::move(outcome.results)));
    return submitReady();
  case PieceVerdict::InputsGone:
    if (!plan_.onInputsGone(outcome.stage, outcome.round))
      return giveUp("stage_inputs_gone");
    return submitReady();
  case PieceVerdict::Hopeless:
    return giveUp("stage_hopeless");
  case PieceVerdict::Failed:
    return giveUp("stage_failed");
  }
}

void CallerRun::releaseResults(const std::vector<std::string> &results) {
  if (results.empty() || context_->pieces == nullptr)
    return;
  std::map<std::string, std::vector<std::string>> byPool;
  for (const std::string &result : results)
    if (const auto endpoint = context_->dialect->resultEndpoint(result))
      if (const ServedUpstreamPtr maker = context_->registry.at(*endpoint))
        byPool[maker->entry.pool].push_back(result);
  for (auto &entry : byPool)
    context_->pieces->release(entry.first, std::move(entry.second));
}

} // namespace auburnspring
