#ifndef AUBURNSPRING_BASE_CLOCK_H
#define AUBURNSPRING_BASE_CLOCK_H

#include "auburnspring/base/time.h"

namespace auburnspring {

/// Reads the monotonic clock. Only the I/O layer calls it; decision code takes
/// the time as an argument.
inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace auburnspring

#endif
