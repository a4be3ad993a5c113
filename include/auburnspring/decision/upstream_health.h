#ifndef AUBURNSPRING_DECISION_UPSTREAM_HEALTH_H
#define AUBURNSPRING_DECISION_UPSTREAM_HEALTH_H

#include "auburnspring/decision/upstream_state.h"

namespace auburnspring {

/// Records a response that arrived after `elapsed`.
void recordResponse(UpstreamState *upstream, Duration elapsed, TimePoint now);
/// Records that another upstream responded before this one, which had `elapsed`
/// so far: its latency is no lower than that.
void recordOvertaken(UpstreamState *upstream, Duration elapsed);
/// Records a failed attempt; ejects the upstream after several in a row.
void recordUpstreamFailure(UpstreamState *upstream, TimePoint now);
/// Records a failed connection, which ejects the upstream at once.
void recordUnreachable(UpstreamState *upstream, TimePoint now);

} // namespace auburnspring

#endif
