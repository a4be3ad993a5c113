#ifndef AUBURNSPRING_BASE_TIME_H
#define AUBURNSPRING_BASE_TIME_H

#include <chrono>

namespace auburnspring {

/// A time span, in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time on this host's monotonic clock. Never compared across hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in seconds since the Unix epoch. Used only for retention and
/// history, where errors of minutes are acceptable.
using WallTime = std::chrono::seconds;

/// The time of one event, read once by the I/O layer and passed to the decision
/// code.
struct Instant {
  TimePoint steady;
  WallTime wall{0};
};

/// Milliseconds as a floating-point number, for logs, metrics and dumps.
inline double toMillis(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace auburnspring

#endif
