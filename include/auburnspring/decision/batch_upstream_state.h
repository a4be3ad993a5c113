#ifndef AUBURNSPRING_DECISION_BATCH_UPSTREAM_STATE_H
#define AUBURNSPRING_DECISION_BATCH_UPSTREAM_STATE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// State of one upstream that a batching host hands over to the next one.
struct BatchUpstreamState {
  /// Id and start time of the upstream.
  std::string incarnation;
  /// How much longer its current calls are expected to take.
  Duration busyFor{0};
  /// Result memory in use there.
  std::int64_t heldBytes = 0;
  /// Moving average of actual over expected call duration.
  double slowdownRatio = 1;
};

} // namespace auburnspring

#endif
