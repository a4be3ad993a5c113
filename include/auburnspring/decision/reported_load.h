#ifndef AUBURNSPRING_DECISION_REPORTED_LOAD_H
#define AUBURNSPRING_DECISION_REPORTED_LOAD_H

#include <cstdint>

namespace auburnspring {

/// What an upstream reports of itself with a response.
struct ReportedLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
  /// How long work takes on its machine at this moment, as a multiple of what
  /// is usual there; 1 if it does not say so.
  double slowdown = 1;
  bool statesSlowdown = false;
};

} // namespace auburnspring

#endif
