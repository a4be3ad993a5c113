#ifndef AUBURNSPRING_DECISION_GATHERED_UPSTREAM_H
#define AUBURNSPRING_DECISION_GATHERED_UPSTREAM_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// What a host that gathers knows of one upstream, for whoever gathers next.
struct GatheredUpstream {
  /// Upstream and the life it is in.
  std::string life;
  /// How long its present call is expected to take.
  Duration busyFor{0};
  std::int64_t heldBytes = 0;
  double slowness = 1;
};

} // namespace auburnspring

#endif
