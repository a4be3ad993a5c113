#include "auburnspring/decision/upstream_selection.h"

#include "auburnspring/base/digest.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr double SmoothingFactor = 0.2;
constexpr double DefaultServiceMicros = 50000;
constexpr double ReportHalfLifeMicros = 2e6;
constexpr std::int64_t SlowStartMicros = 10000000;
constexpr double SlowStartPenalty = 2;
constexpr double FailurePenalty = 4;
// An upstream that has the prompt's prefix cached skips its prefill.
constexpr double PrefixAdvantage = 0.8;
constexpr double OtherDataCentrePenalty = 1.1;
constexpr std::size_t PrefixBytes = 256;
constexpr int MaxSamples = 8;
constexpr std::int32_t FailuresToEject = 3;
constexpr std::int32_t FailureMillionthsToEject = 500000;
constexpr std::int64_t BaseEjectionMicros = 1000000;
constexpr std::int32_t MaxEjectionDoublings = 5;

bool servesModel(const TrackedUpstream &upstream, absl::string_view model) {
  const auto &models = upstream.listed.models;
  if (model.empty() || models.empty())
    return true;
  return std::any_of(models.begin(), models.end(),
                     [model](const std::string &m) { return m == model; });
}

bool isEjected(const TrackedUpstream &upstream, TimePoint now) {
  return upstream.ejectedUntilMicros.load(std::memory_order_relaxed) >
         toMicros(now);
}

bool isAvoided(const TrackedUpstream &upstream,
               const SelectionCriteria &criteria) {
  return std::find(criteria.avoid.begin(), criteria.avoid.end(),
                   upstream.listed.name) != criteria.avoid.end();
}

bool runsVersion(const TrackedUpstream &upstream,
                 const std::optional<absl::string_view> &version) {
  return !version || upstream.listed.version == *version;
}

bool isEligible(const TrackedUpstream &upstream,
                const SelectionCriteria &criteria) {
  return upstream.acceptsNewWork() && servesModel(upstream, criteria.model) &&
         runsVersion(upstream, criteria.version) &&
         !(criteria.avoidStrictly && isAvoided(upstream, criteria));
}

bool isPreferred(const TrackedUpstream &upstream,
                 const SelectionCriteria &criteria, TimePoint now) {
  return isEligible(upstream, criteria) && !isEjected(upstream, now) &&
         !isAvoided(upstream, criteria);
}

// Samples two preferred upstreams by rejection; a healthy pool of any size
// takes two samples.
std::size_t sampleTwo(absl::Span<const TrackedUpstreamPtr> upstreams,
                      const SelectionCriteria &criteria, TimePoint now,
                      std::mt19937_64 *random, const TrackedUpstream *out[2]) {
  std::uniform_int_distribution<std::size_t> index(0, upstreams.size() - 1);
  std::size_t found = 0;
  for (int sample = 0; sample < MaxSamples && found < 2; ++sample) {
    const TrackedUpstream *upstream = upstreams[index(*random)].get();
    if (found == 1 && out[0] == upstream)
      continue;
    if (isPreferred(*upstream, criteria, now))
      out[found++] = upstream;
  }
  return found;
}

// Scans the whole pool when sampling finds no preferred upstream. If more than
// half of the eligible upstreams are ejected, the cause is more likely the pool
// or this host, and ejections are ignored.
std::size_t scanTwo(absl::Span<const TrackedUpstreamPtr> upstreams,
                    const SelectionCriteria &criteria, TimePoint now,
                    std::mt19937_64 *random, const TrackedUpstream *out[2]) {
  std::vector<const TrackedUpstream *> eligible;
  std::vector<const TrackedUpstream *> preferred;
  std::size_t ejected = 0;
  for (const TrackedUpstreamPtr &upstream : upstreams) {
    if (!isEligible(*upstream, criteria))
      continue;
    eligible.push_back(upstream.get());
    if (isEjected(*upstream, now))
      ++ejected;
    else if (!isAvoided(*upstream, criteria))
      preferred.push_back(upstream.get());
  }
  const bool panic = ejected * 2 > eligible.size();
  std::vector<const TrackedUpstream *> &candidates =
      panic || preferred.empty() ? eligible : preferred;
  std::shuffle(candidates.begin(), candidates.end(), *random);
  const std::size_t found = std::min<std::size_t>(2, candidates.size());
  std::copy_n(candidates.begin(), found, out);
  return found;
}

const TrackedUpstream *
prefixAffinity(absl::Span<const TrackedUpstreamPtr> upstreams,
               const SelectionCriteria &criteria, TimePoint now) {
  const std::uint64_t prefix =
      stableHash(criteria.prompt.substr(0, PrefixBytes));
  const TrackedUpstream *best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const TrackedUpstreamPtr &upstream : upstreams) {
    if (!isPreferred(*upstream, criteria, now))
      continue;
    const std::uint64_t weight = stableHash(upstream->listed.name, prefix);
    if (best != nullptr && weight <= bestWeight)
      continue;
    best = upstream.get();
    bestWeight = weight;
  }
  return best;
}

double score(const TrackedUpstream &upstream, const SelectionCriteria &criteria,
             const TrackedUpstream *affinity, TimePoint now) {
  double value = static_cast<double>(expectedFinish(upstream, now).count());
  if (&upstream == affinity)
    value *= PrefixAdvantage;
  if (upstream.listed.dataCentre != criteria.dataCentre)
    value *= OtherDataCentrePenalty;
  const auto age = toMicros(now) - upstream.firstSeenMicros;
  if (age < SlowStartMicros)
    value *=
        1 + SlowStartPenalty * (1 - static_cast<double>(age) / SlowStartMicros);
  const double failures = upstream.failureMillionths * 1e-6;
  return value * (1 + FailurePenalty * failures);
}

TrackedUpstreamPtr toShared(absl::Span<const TrackedUpstreamPtr> upstreams,
                            const TrackedUpstream *selected) {
  for (const TrackedUpstreamPtr &upstream : upstreams)
    if (upstream.get() == selected)
      return upstream;
  return nullptr;
}

} // namespace

Duration expectedFinish(const TrackedUpstream &upstream, TimePoint now) {
  const std::int64_t smoothed = upstream.smoothedMicros;
  const double service =
      smoothed > 0 ? static_cast<double>(smoothed) : DefaultServiceMicros;
  const double age =
      static_cast<double>(toMicros(now) - upstream.reportedAtMicros);
  const double others =
      std::max(0, upstream.reportedLoad - upstream.inFlightAtReport) *
      std::exp2(-age / ReportHalfLifeMicros);
  const double load = upstream.inFlight + others;
  const double slots =
      static_cast<double>(std::max<std::int64_t>(upstream.listed.slots, 1));
  const double waiting = std::max(0.0, load + 1 - slots) / slots;
  const double contention = 0.25 * load / slots;
  return Duration(
      static_cast<std::int64_t>(service * (1 + waiting + contention)));
}

TrackedUpstreamPtr
chooseUpstream(absl::Span<const TrackedUpstreamPtr> upstreams,
               const SelectionCriteria &criteria, TimePoint now,
               std::mt19937_64 *random) {
  if (upstreams.empty())
    return nullptr;
  const TrackedUpstream *candidates[3] = {};
  std::size_t count = sampleTwo(upstreams, criteria, now, random, candidates);
  if (count == 0)
    count = scanTwo(upstreams, criteria, now, random, candidates);
  if (count == 0)
    return nullptr;
  const TrackedUpstream *affinity = nullptr;
  if (!criteria.prompt.empty())
    affinity = prefixAffinity(upstreams, criteria, now);
  if (affinity != nullptr)
    candidates[count++] = affinity;
  const TrackedUpstream *best = candidates[0];
  double bestScore = score(*best, criteria, affinity, now);
  for (std::size_t i = 1; i < count; ++i) {
    const double value = score(*candidates[i], criteria, affinity, now);
    const bool tie = value == bestScore && ((*random)() & 1) == 0;
    if (value > bestScore || (value == bestScore && !tie))
      continue;
    best = candidates[i];
    bestScore = value;
  }
  return toShared(upstreams, best);
}

bool hasCandidate(absl::Span<const TrackedUpstreamPtr> upstreams,
                  const SelectionCriteria &criteria) {
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&criteria](const TrackedUpstreamPtr &upstream) {
                       return isEligible(*upstream, criteria);
                     });
}

void recordAttemptSuccess(TrackedUpstream *upstream, Duration elapsed) {
  const std::int64_t old = upstream->smoothedMicros;
  const double sample = static_cast<double>(elapsed.count());
  const double smoothed =
      old == 0 ? sample
               : static_cast<double>(old) * (1 - SmoothingFactor) +
                     sample * SmoothingFactor;
  upstream->smoothedMicros = std::max<std::int64_t>(1, std::llround(smoothed));
  upstream->consecutiveFailures = 0;
  if (upstream->ejections > 0)
    --upstream->ejections;
  upstream->failureMillionths = static_cast<std::int32_t>(
      upstream->failureMillionths * (1 - SmoothingFactor));
}

void recordAttemptFailure(TrackedUpstream *upstream, TimePoint now) {
  const std::int32_t consecutive = ++upstream->consecutiveFailures;
  const double smoothed = upstream->failureMillionths * (1 - SmoothingFactor) +
                          1e6 * SmoothingFactor;
  upstream->failureMillionths = static_cast<std::int32_t>(smoothed);
  const bool outlier = consecutive >= FailuresToEject ||
                       upstream->failureMillionths > FailureMillionthsToEject;
  if (!outlier || isEjected(*upstream, now))
    return;
  const std::int32_t doublings =
      std::min(upstream->ejections++, MaxEjectionDoublings);
  upstream->ejectedUntilMicros =
      toMicros(now) + (BaseEjectionMicros << doublings);
  // Restarts the failure statistics; the first failure after the ejection
  // ejects again.
  upstream->failureMillionths = 0;
  upstream->consecutiveFailures = FailuresToEject - 1;
}

} // namespace auburnspring
