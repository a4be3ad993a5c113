#include "auburnspring/decision/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Weight of the newest outcome in the moving averages.
constexpr double OutcomeWeight = 0.15;
/// Half-life of the failure rate while there are no outcomes.
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
constexpr Duration BaseEjection = std::chrono::milliseconds(300);
constexpr Duration MaxEjection = std::chrono::seconds(3);
/// Consecutive failures that eject an upstream.
constexpr std::int64_t FailuresToEject = 3;

void decayFailures(UpstreamState *upstream, TimePoint now) {
  const double halfLives =
      toMillis(now - upstream->lastOutcomeAt) / toMillis(FailureHalfLife);
  if (halfLives > 0)
    upstream->failureRate *= std::exp2(-std::min(halfLives, 30.0));
  upstream->lastOutcomeAt = now;
}

void eject(UpstreamState *upstream, TimePoint now) {
  const std::int64_t doublings =
      std::min<std::int64_t>(upstream->consecutiveFailures, 4);
  const Duration ejection =
      std::min(MaxEjection, BaseEjection * (1 << doublings));
  upstream->ejectedUntil = now + ejection;
}

void addLatency(UpstreamState *upstream, Duration elapsed) {
  upstream->latency =
      upstream->latency == Duration(0)
          ? elapsed
          : Duration(static_cast<std::int64_t>(
                static_cast<double>(upstream->latency.count()) *
                    (1 - OutcomeWeight) +
                static_cast<double>(elapsed.count()) * OutcomeWeight));
}

} // namespace

void recordResponse(UpstreamState *upstream, Duration elapsed, TimePoint now) {
  decayFailures(upstream, now);
  upstream->failureRate *= 1 - OutcomeWeight;
  upstream->consecutiveFailures = 0;
  addLatency(upstream, elapsed);
}

void recordOvertaken(UpstreamState *upstream, Duration elapsed) {
  if (elapsed > upstream->latency)
    addLatency(upstream, elapsed);
}

void recordUpstreamFailure(UpstreamState *upstream, TimePoint now) {
  decayFailures(upstream, now);
  upstream->failureRate += (1 - upstream->failureRate) * OutcomeWeight;
  if (++upstream->consecutiveFailures >= FailuresToEject)
    eject(upstream, now);
}

void recordUnreachable(UpstreamState *upstream, TimePoint now) {
  decayFailures(upstream, now);
  upstream->failureRate += (1 - upstream->failureRate) * OutcomeWeight;
  ++upstream->consecutiveFailures;
  eject(upstream, now);
}

} // namespace auburnspring
