#ifndef AUBURNSPRING_DECISION_SNAPSHOT_H
#define AUBURNSPRING_DECISION_SNAPSHOT_H

#include "auburnspring/config/route.h"
#include "auburnspring/decision/cost_counters.h"
#include "auburnspring/decision/latency_book.h"
#include "auburnspring/decision/pool_gate.h"
#include "auburnspring/decision/retry_budget.h"
#include "auburnspring/decision/worker.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnspring {

/// What a pool learns over time; shared by the snapshots that follow on each
/// other and by the attempts in flight.
struct PoolState {
  explicit PoolState(PoolGate::Options options) : gate(options) {}

  PoolGate gate;
  RetryBudget budget;
};

/// One pool's workers at one time.
struct Pool {
  std::shared_ptr<PoolState> state;
  std::vector<WorkerPtr> workers;
};

/// One route in force, with what its stages have shown.
struct LiveRoute {
  std::shared_ptr<const Route> route;
  std::shared_ptr<RouteCounters> counters;
  /// Time of each stage from its first attempt to its result.
  std::vector<std::shared_ptr<LatencyBook>> stageTimes;
};

/// Everything a request's path reads. Immutable once published; the control
/// thread builds the next one.
struct Snapshot {
  std::uint64_t generation = 0;
  absl::flat_hash_map<std::string, std::shared_ptr<const LiveRoute>> routes;
  absl::flat_hash_map<std::string, std::shared_ptr<const Pool>> pools;
  /// Hosts believed alive, this one included.
  std::size_t liveHosts = 1;
  bool stopping = false;
};

} // namespace auburnspring

#endif
