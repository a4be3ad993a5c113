#include "auburnspring/decision/stall_policy.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Callers disconnect after the longest of these: a fixed time, and multiples
/// of the route's latency target and event gap.
constexpr Duration MinCallerPatience = std::chrono::seconds(2);
constexpr std::int64_t PatienceTargets = 4;
constexpr std::int64_t PatienceGaps = 8;
/// Silence between events, at least, that is not taken for a stall.
constexpr Duration MinStallTimeout = std::chrono::seconds(2);
constexpr std::int64_t StallTimeoutGaps = 4;
/// Time beyond the latency target without a first event that is not taken for
/// a stall.
constexpr Duration FirstEventSlack = std::chrono::milliseconds(1500);

} // namespace

Duration callerPatience(const ServedRoute &route) {
  return std::max({MinCallerPatience, route.targetLatency * PatienceTargets,
                   route.eventGap * PatienceGaps});
}

Duration stallTimeout(const ServedRoute &route, bool hasStarted) {
  const Duration wanted =
      hasStarted ? std::max(MinStallTimeout, route.eventGap * StallTimeoutGaps)
                 : route.targetLatency + FirstEventSlack;
  return std::min(wanted, callerPatience(route) * 3 / 4);
}

} // namespace auburnspring
