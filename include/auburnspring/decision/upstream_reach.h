#ifndef AUBURNSPRING_DECISION_UPSTREAM_REACH_H
#define AUBURNSPRING_DECISION_UPSTREAM_REACH_H

#include "auburnspring/decision/pool_reach.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/decision/upstream_state.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// A connection of this host to the upstream that was begun at `begunAt` has
/// been established.
void recordConnected(UpstreamState *upstream, TimePoint begunAt);
/// A connection that was begun at `begunAt` was refused or has timed out.
/// Several of them, without a connection begun later, put the upstream out of
/// reach.
void recordConnectFailure(UpstreamState *upstream, TimePoint begunAt,
                          TimePoint now);

/// The upstreams to probe now: those with failures since the latest connection,
/// each at growing intervals, and of all at most a few.
std::vector<UpstreamStatePtr> takeReachProbes(const UpstreamRegistry &registry,
                                              TimePoint now);

/// How far this host reaches a pool, or its upstreams of a software version.
PoolReach
poolReach(const UpstreamRegistry &registry, const std::string &pool,
          TimePoint now,
          std::optional<std::string_view> softwareVersion = std::nullopt);
/// The pools that this host has connected to or failed to a short time ago.
std::vector<PoolReach> poolReaches(const UpstreamRegistry &registry,
                                   TimePoint now);

} // namespace auburnspring

#endif
