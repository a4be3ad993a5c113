#ifndef AUBURNSPRING_DECISION_REQUEST_URGENCY_H
#define AUBURNSPRING_DECISION_REQUEST_URGENCY_H

#include "auburnspring/base/time.h"

namespace auburnspring {

/// What the order of a request at its engine depends on.
struct UrgencyInput {
  /// Latency target of the first event, and the time left until then.
  Duration target{0};
  Duration timeToTarget{0};
  /// Expected time to the first event where nothing is queued.
  Duration firstEvent{0};
  /// Longest pause that a stream may make; 0 if it has no such target.
  Duration eventGap{0};
};

/// Urgency of a request at its engine, from 0 (first) to 9; 5 is that of a
/// request without one. Requests with little slack go first. Those whose
/// prefill would hold up others beyond their pause go behind, and so do those
/// that are late already: what they can still earn does not depend on it.
int requestUrgency(const UrgencyInput &input);

} // namespace auburnspring

#endif
