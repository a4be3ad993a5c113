#ifndef AUBURNSPRING_DECISION_SNAPSHOT_H
#define AUBURNSPRING_DECISION_SNAPSHOT_H

#include "auburnspring/config/route.h"
#include "auburnspring/decision/cost_counters.h"
#include "auburnspring/decision/latency_histogram.h"
#include "auburnspring/decision/pool_limiter.h"
#include "auburnspring/decision/retry_budget.h"
#include "auburnspring/decision/tracked_upstream.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnspring {

/// Adaptive state of a pool, shared by successive snapshots and the attempts in
/// flight.
struct PoolState {
  explicit PoolState(PoolLimiter::Options options) : limiter(options) {}

  PoolLimiter limiter;
  RetryBudget budget;
};

/// The upstreams of one pool at one point in time.
struct Pool {
  std::shared_ptr<PoolState> state;
  std::vector<TrackedUpstreamPtr> upstreams;
};

/// One route in force, with its statistics.
struct LiveRoute {
  std::shared_ptr<const Route> route;
  std::shared_ptr<RouteCounters> counters;
  /// Durations of successful attempts, by stage.
  std::vector<std::shared_ptr<LatencyHistogram>> stageLatencies;
};

/// Shared state that the request path reads. Immutable once published; replaced
/// under the host's control mutex.
struct Snapshot {
  std::uint64_t generation = 0;
  absl::flat_hash_map<std::string, std::shared_ptr<const LiveRoute>> routes;
  absl::flat_hash_map<std::string, std::shared_ptr<const Pool>> pools;
  /// Number of hosts considered alive, this one included.
  std::size_t liveHosts = 1;
  bool stopping = false;
};

} // namespace auburnspring

#endif
