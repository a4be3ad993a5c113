#include "auburnspring/decision/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Weight of the newest outcome in the smoothed rates.
constexpr double OutcomeWeight = 0.15;
/// After this time without an outcome a failure rate has halved.
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
constexpr Duration FirstEjection = std::chrono::milliseconds(300);
constexpr Duration LongestEjection = std::chrono::seconds(3);
/// Failures in a row that set an upstream aside.
constexpr std::int64_t FailuresToEject = 3;

void decayFailures(ServedUpstream *upstream, TimePoint now) {
  const double halves =
      toMillis(now - upstream->lastOutcomeAt) / toMillis(FailureHalfLife);
  if (halves > 0)
    upstream->failureRate *= std::exp2(-std::min(halves, 30.0));
  upstream->lastOutcomeAt = now;
}

void eject(ServedUpstream *upstream, TimePoint now) {
  const std::int64_t doublings =
      std::min<std::int64_t>(upstream->failuresInRow, 4);
  const Duration span =
      std::min(LongestEjection, FirstEjection * (1 << doublings));
  upstream->ejectedUntil = now + span;
}

} // namespace

void noteAnswered(ServedUpstream *upstream, Duration took, TimePoint now) {
  decayFailures(upstream, now);
  upstream->failureRate *= 1 - OutcomeWeight;
  upstream->failuresInRow = 0;
  upstream->latency =
      upstream->latency == Duration(0)
          ? took
          : Duration(static_cast<std::int64_t>(
                static_cast<double>(upstream->latency.count()) *
                    (1 - OutcomeWeight) +
                static_cast<double>(took.count()) * OutcomeWeight));
}

void noteFailed(ServedUpstream *upstream, TimePoint now) {
  decayFailures(upstream, now);
  upstream->failureRate += (1 - upstream->failureRate) * OutcomeWeight;
  if (++upstream->failuresInRow >= FailuresToEject)
    eject(upstream, now);
}

void noteUnreachable(ServedUpstream *upstream, TimePoint now) {
  decayFailures(upstream, now);
  upstream->failureRate += (1 - upstream->failureRate) * OutcomeWeight;
  ++upstream->failuresInRow;
  eject(upstream, now);
}

} // namespace auburnspring
