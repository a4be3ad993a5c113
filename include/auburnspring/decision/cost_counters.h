#ifndef AUBURNSPRING_DECISION_COST_COUNTERS_H
#define AUBURNSPRING_DECISION_COST_COUNTERS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>

namespace auburnspring {

/// Cost counters of one stage of one route on this host.
struct StageCost {
  std::atomic<std::int64_t> attempts{0};
  std::atomic<std::int64_t> retries{0};
  std::atomic<std::int64_t> hedges{0};
  std::atomic<std::int64_t> failures{0};
  std::atomic<std::int64_t> busyMicros{0};
  /// The part of busyMicros whose result was not used in a response.
  std::atomic<std::int64_t> wastedMicros{0};
  std::atomic<std::int64_t> promptTokens{0};
  std::atomic<std::int64_t> cachedTokens{0};
  std::atomic<std::int64_t> generatedTokens{0};
};

/// Number of values of Outcome.
constexpr std::size_t OutcomeCount = 5;

/// Counters of one route on this host; they outlive configuration changes.
struct RouteCounters {
  explicit RouteCounters(std::size_t stageCount) : stages(stageCount) {}

  std::deque<StageCost> stages;
  std::array<std::atomic<std::int64_t>, OutcomeCount> outcomes{};
  /// Complete responses within their deadline.
  std::atomic<std::int64_t> attained{0};
};

} // namespace auburnspring

#endif
