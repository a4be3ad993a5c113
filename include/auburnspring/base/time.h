#ifndef AUBURNSPRING_BASE_TIME_H
#define AUBURNSPRING_BASE_TIME_H

#include <chrono>

namespace auburnspring {

/// Every span of time in the project, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on this host's monotonic clock. Never compared across hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Seconds since 1970 on the wall clock. Used only for retention and history,
/// where an error of minutes does no harm.
using WallTime = std::chrono::seconds;

/// The time of one event, read once by the shell and passed in.
struct Instant {
  TimePoint steady;
  WallTime wall{0};
};

/// Milliseconds as a floating number, for logs, metrics and dumps.
inline double toMillis(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace auburnspring

#endif
