#include "auburnspring/decision/worker_choice.h"

#include "auburnspring/base/digest.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr double SmoothingShare = 0.2;
constexpr double DefaultServiceMicros = 50000;
constexpr double ReportHalfLifeMicros = 2e6;
constexpr std::int64_t SlowStartMicros = 10000000;
constexpr double SlowStartPenalty = 2;
constexpr double FailurePenalty = 4;
// A worker that holds the prompt's prefix skips its prefill.
constexpr double PrefixAdvantage = 0.8;
constexpr double OtherDataCentrePenalty = 1.1;
constexpr std::size_t PrefixBytes = 256;
constexpr int MaxDraws = 8;
constexpr std::int32_t FailuresToEject = 3;
constexpr std::int32_t FailureMillionthsToEject = 500000;
constexpr std::int64_t FirstEjectionMicros = 1000000;
constexpr std::int32_t MaxEjectionDoublings = 5;

bool servesModel(const Worker &worker, absl::string_view model) {
  const auto &models = worker.listed.models;
  if (model.empty() || models.empty())
    return true;
  return std::any_of(models.begin(), models.end(),
                     [model](const std::string &m) { return m == model; });
}

bool isEjected(const Worker &worker, TimePoint now) {
  return worker.ejectedUntilMicros.load(std::memory_order_relaxed) >
         toMicros(now);
}

bool isAvoided(const Worker &worker, const ChoiceRequest &request) {
  return std::find(request.avoid.begin(), request.avoid.end(),
                   worker.listed.name) != request.avoid.end();
}

bool isFit(const Worker &worker, const ChoiceRequest &request) {
  return worker.takesNewWork() && servesModel(worker, request.model);
}

bool isPreferred(const Worker &worker, const ChoiceRequest &request,
                 TimePoint now) {
  return isFit(worker, request) && !isEjected(worker, now) &&
         !isAvoided(worker, request);
}

// Two preferred workers by rejection sampling, which on a healthy pool takes
// two draws at any size.
std::size_t drawTwo(absl::Span<const WorkerPtr> workers,
                    const ChoiceRequest &request, TimePoint now,
                    std::mt19937_64 *random, const Worker *out[2]) {
  std::uniform_int_distribution<std::size_t> index(0, workers.size() - 1);
  std::size_t found = 0;
  for (int draw = 0; draw < MaxDraws && found < 2; ++draw) {
    const Worker *worker = workers[index(*random)].get();
    if (found == 1 && out[0] == worker)
      continue;
    if (isPreferred(*worker, request, now))
      out[found++] = worker;
  }
  return found;
}

// The full look at a pool of which few are preferred. When more than half of
// the fit workers are ejected, the fault is rather the pool's or our own, and
// ejections are disregarded.
std::size_t scanTwo(absl::Span<const WorkerPtr> workers,
                    const ChoiceRequest &request, TimePoint now,
                    std::mt19937_64 *random, const Worker *out[2]) {
  std::vector<const Worker *> fit;
  std::vector<const Worker *> preferred;
  std::size_t ejected = 0;
  for (const WorkerPtr &worker : workers) {
    if (!isFit(*worker, request))
      continue;
    fit.push_back(worker.get());
    if (isEjected(*worker, now))
      ++ejected;
    else if (!isAvoided(*worker, request))
      preferred.push_back(worker.get());
  }
  const bool panic = ejected * 2 > fit.size();
  std::vector<const Worker *> &from =
      panic || preferred.empty() ? fit : preferred;
  std::shuffle(from.begin(), from.end(), *random);
  const std::size_t found = std::min<std::size_t>(2, from.size());
  std::copy_n(from.begin(), found, out);
  return found;
}

const Worker *prefixHolder(absl::Span<const WorkerPtr> workers,
                           const ChoiceRequest &request, TimePoint now) {
  const std::uint64_t prefix =
      stableHash(request.prompt.substr(0, PrefixBytes));
  const Worker *best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const WorkerPtr &worker : workers) {
    if (!isPreferred(*worker, request, now))
      continue;
    const std::uint64_t weight = stableHash(worker->listed.name, prefix);
    if (best != nullptr && weight <= bestWeight)
      continue;
    best = worker.get();
    bestWeight = weight;
  }
  return best;
}

double score(const Worker &worker, const ChoiceRequest &request,
             const Worker *holder, TimePoint now) {
  double value = static_cast<double>(expectedFinish(worker, now).count());
  if (&worker == holder)
    value *= PrefixAdvantage;
  if (worker.listed.dataCentre != request.dataCentre)
    value *= OtherDataCentrePenalty;
  const auto age = toMicros(now) - worker.firstSeenMicros;
  if (age < SlowStartMicros)
    value *=
        1 + SlowStartPenalty * (1 - static_cast<double>(age) / SlowStartMicros);
  const double failures = worker.failureMillionths * 1e-6;
  return value * (1 + FailurePenalty * failures);
}

WorkerPtr owned(absl::Span<const WorkerPtr> workers, const Worker *chosen) {
  for (const WorkerPtr &worker : workers)
    if (worker.get() == chosen)
      return worker;
  return nullptr;
}

} // namespace

Duration expectedFinish(const Worker &worker, TimePoint now) {
  const std::int64_t smoothed = worker.smoothedMicros;
  const double service =
      smoothed > 0 ? static_cast<double>(smoothed) : DefaultServiceMicros;
  const double age =
      static_cast<double>(toMicros(now) - worker.reportedAtMicros);
  const double others =
      std::max(0, worker.reportedLoad - worker.inFlightAtReport) *
      std::exp2(-age / ReportHalfLifeMicros);
  const double load = worker.inFlight + others;
  const double slots =
      static_cast<double>(std::max<std::int64_t>(worker.listed.slots, 1));
  const double waiting = std::max(0.0, load + 1 - slots) / slots;
  const double crowding = 0.25 * load / slots;
  return Duration(
      static_cast<std::int64_t>(service * (1 + waiting + crowding)));
}

WorkerPtr chooseWorker(absl::Span<const WorkerPtr> workers,
                       const ChoiceRequest &request, TimePoint now,
                       std::mt19937_64 *random) {
  if (workers.empty())
    return nullptr;
  const Worker *candidates[3] = {};
  std::size_t count = drawTwo(workers, request, now, random, candidates);
  if (count == 0)
    count = scanTwo(workers, request, now, random, candidates);
  if (count == 0)
    return nullptr;
  const Worker *holder = nullptr;
  if (!request.prompt.empty())
    holder = prefixHolder(workers, request, now);
  if (holder != nullptr)
    candidates[count++] = holder;
  const Worker *best = candidates[0];
  double bestScore = score(*best, request, holder, now);
  for (std::size_t i = 1; i < count; ++i) {
    const double value = score(*candidates[i], request, holder, now);
    const bool tie = value == bestScore && ((*random)() & 1) == 0;
    if (value > bestScore || (value == bestScore && !tie))
      continue;
    best = candidates[i];
    bestScore = value;
  }
  return owned(workers, best);
}

void noteSuccess(Worker *worker, Duration took) {
  const std::int64_t old = worker->smoothedMicros;
  const double sample = static_cast<double>(took.count());
  const double mixed = old == 0
                           ? sample
                           : static_cast<double>(old) * (1 - SmoothingShare) +
                                 sample * SmoothingShare;
  worker->smoothedMicros = std::max<std::int64_t>(1, std::llround(mixed));
  worker->failuresInARow = 0;
  if (worker->ejections > 0)
    --worker->ejections;
  worker->failureMillionths = static_cast<std::int32_t>(
      worker->failureMillionths * (1 - SmoothingShare));
}

void noteFailure(Worker *worker, TimePoint now) {
  const std::int32_t inARow = ++worker->failuresInARow;
  const double mixed =
      worker->failureMillionths * (1 - SmoothingShare) + 1e6 * SmoothingShare;
  worker->failureMillionths = static_cast<std::int32_t>(mixed);
  const bool outlier = inARow >= FailuresToEject ||
                       worker->failureMillionths > FailureMillionthsToEject;
  if (!outlier || isEjected(*worker, now))
    return;
  const std::int32_t doublings =
      std::min(worker->ejections++, MaxEjectionDoublings);
  worker->ejectedUntilMicros =
      toMicros(now) + (FirstEjectionMicros << doublings);
  // The share of failures starts afresh when the worker is tried again.
  worker->failureMillionths = 0;
  worker->failuresInARow = FailuresToEject - 1;
}

} // namespace auburnspring
