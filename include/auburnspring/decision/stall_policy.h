#ifndef AUBURNSPRING_DECISION_STALL_POLICY_H
#define AUBURNSPRING_DECISION_STALL_POLICY_H

#include "auburnspring/decision/routing_table.h"

namespace auburnspring {

/// How long callers of a route wait for the next event of a stream before they
/// disconnect.
Duration callerPatience(const ServedRoute &route);

/// Silence of a stream's upstream after which another one is tried beside it.
/// Sound upstreams fall silent for a second or so, but the other one must
/// respond while the caller still waits.
Duration stallTimeout(const ServedRoute &route, bool hasStarted);

} // namespace auburnspring

#endif
