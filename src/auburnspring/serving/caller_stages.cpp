#include "auburnspring/serving/caller_run.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/engine_speed.h"
#include "auburnspring/decision/request_value.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// When a caller may come back whose stages could not be run: after the
/// backlog, within these bounds, spread so that not all come back at once.
constexpr Duration SoonestReturn = std::chrono::milliseconds(500);
constexpr Duration LatestReturn = std::chrono::milliseconds(3000);
constexpr double ReturnSpread = 0.5;
/// Wait for a batch to form and the way there and back, for each stage.
constexpr Duration StageWait = std::chrono::milliseconds(70);
/// From the end of the stages to the first event, without reading the prompt.
constexpr Duration FirstEventTime = std::chrono::milliseconds(80);
/// Results of a stage that are larger than this in all are kept within a data
/// centre where that costs little time.
constexpr std::int64_t BytesThatMatter = 100000;

const char *verdictName(PieceVerdict verdict) {
  switch (verdict) {
  case PieceVerdict::Done:
    return "done";
  case PieceVerdict::InputsGone:
    return "inputs_gone";
  case PieceVerdict::Hopeless:
    return "hopeless";
  case PieceVerdict::Failed:
    return "failed";
  }
  return "unknown";
}

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

Duration CallerRun::stageTime(std::uint32_t stage) const {
  const std::string &name = plan_.stages()[stage].pool;
  const ServedPool *pool = table_->pool(name);
  if (pool == nullptr || !pool->batches || plan_.pieces(stage) == 0)
    return Duration(0);
  const BatchLimits &limits = *pool->batches;
  return std::max(limits.callTime + StageWait +
                      limits.itemTime * (limits.batch / 3),
                  context_->stagePace.expect(name, steadyNow()));
}

Duration CallerRun::restAfter(std::uint32_t stage) const {
  const Duration prefill = readingTime(request_.promptTokens);
  const Duration first = std::max(
      FirstEventTime, context_->firstEventPace.expect(poolName_, steadyNow()));
  // The longest chain of stages that come after this one.
  std::vector<Duration> ends(plan_.stages().size(), Duration(0));
  Duration longest(0);
  for (std::uint32_t i = stage + 1; i < plan_.stages().size(); ++i) {
    const std::vector<std::uint32_t> &after = plan_.stages()[i].after;
    bool follows = false;
    for (const std::uint32_t before : after)
      if (before == stage || ends[before] > Duration(0)) {
        follows = true;
        ends[i] = std::max(ends[i], ends[before]);
      }
    if (!follows)
      continue;
    ends[i] += stageTime(i);
    longest = std::max(longest, ends[i]);
  }
  return longest + prefill + first;
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

std::string CallerRun::dataCentreFor(std::uint32_t stage) {
  const std::vector<PieceStage> &stages = plan_.stages();
  std::int64_t inputBytes = 0;
  for (const std::uint32_t before : stages[stage].after)
    inputBytes += stages[before].resultBytes * plan_.pieces(before);
  // Each piece fetches all inputs.
  if (inputBytes * plan_.pieces(stage) >= BytesThatMatter) {
    const std::vector<std::string> inputs = plan_.inputsOf(stage);
    const auto endpoint = context_->dialect->resultEndpoint(inputs.front());
    const ServedUpstreamPtr maker =
        endpoint ? context_->registry.at(*endpoint) : nullptr;
    return maker == nullptr ? "" : maker->entry.dataCentre;
  }
  const bool isLast = plan_.chainFrom(stage) == 1;
  if (!isLast ||
      stages[stage].resultBytes * plan_.pieces(stage) < BytesThatMatter)
    return "";
  const ServedUpstreamPtr engine = place({});
  return engine == nullptr ? "" : engine->entry.dataCentre;
}

PieceJob CallerRun::jobFor(std::uint32_t stage) {
  PieceJob job;
  job.requestId = request_.id;
  job.stage = stage;
  job.round = plan_.round(stage);
  job.pool = plan_.stages()[stage].pool;
  job.pieces = plan_.pieces(stage);
  job.key = request_.pieceKey;
  job.inputs = plan_.inputsOf(stage);
  job.nearDataCentre = dataCentreFor(stage);
  job.ownsInputs = plan_.ownsInputs(stage);
  job.resultBytes = plan_.stages()[stage].resultBytes;
  const Duration rest = restAfter(stage);
  job.goalAt = goalAt_ - rest;
  job.deadline = deadline_ - rest;
  job.density = density(stage);
  return job;
}

Duration CallerRun::returnAfter(Duration backlog) const {
  const Duration base = std::clamp(backlog * 2, SoonestReturn, LatestReturn);
  std::uniform_real_distribution<double> spread(1, 1 + ReturnSpread);
  return Duration(static_cast<std::int64_t>(static_cast<double>(base.count()) *
                                            spread(context_->random)));
}

void CallerRun::onStage(PieceOutcome outcome, const std::string &pool,
                        TimePoint since) {
  if (done_)
    return;
  const TimePoint now = steadyNow();
  context_->metrics.observeStage(pool, now - since);
  context_->stagePace.observe(pool, now - since, now);
  const auto giveUp = [this, &outcome](std::string_view reason) {
    streamBegun_
        ? abortStream(reason)
        : refuse(ran_ > 0 ? 502 : 503, reason, returnAfter(outcome.backlog));
  };
  if (outcome.verdict != PieceVerdict::Done)
    logEvent(LogLevel::Info, "stage_given_up",
             {{"id", request_.id},
              {"pool", pool},
              {"stage", static_cast<unsigned long>(outcome.stage)},
              {"verdict", verdictName(outcome.verdict)},
              {"waited_ms", toMillis(now - since)},
              {"backlog_ms", toMillis(outcome.backlog)},
              {"goal_in_ms", toMillis(goalAt_ - now)},
              {"pace_ms", toMillis(context_->stagePace.expect(pool, now))}});
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
  context_->pieces->releaseWhereMade(results);
}

} // namespace auburnspring
