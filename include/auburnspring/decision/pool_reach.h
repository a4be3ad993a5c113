#ifndef AUBURNSPRING_DECISION_POOL_REACH_H
#define AUBURNSPRING_DECISION_POOL_REACH_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

/// How far a host reaches the upstreams of one pool, as it tells its peers.
struct PoolReach {
  std::string pool;
  /// Upstreams that it can't connect to, of those that may take work.
  std::int64_t lost = 0;
  std::int64_t listed = 0;
  /// Time since it last established a connection to one; not set if it has not.
  std::optional<Duration> connectionAge;

  /// It reaches none of them.
  bool isLost() const { return listed > 0 && lost >= listed; }
  /// It reaches too few of them to form the batches of the pool.
  bool isMostlyLost() const { return listed > 0 && 2 * lost >= listed; }
};

/// Pools of which a host tells, and a receiver reads, at most.
constexpr std::size_t MaxPoolReaches = 64;

} // namespace auburnspring

#endif
