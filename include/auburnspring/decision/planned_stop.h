#ifndef AUBURNSPRING_DECISION_PLANNED_STOP_H
#define AUBURNSPRING_DECISION_PLANNED_STOP_H

#include "auburnspring/base/time.h"

#include <optional>

namespace auburnspring {

/// The time that a host has for its requests once it has been asked to stop.
struct PlannedStop {
  /// Requests that may outlast the stop are begun up to this time after its
  /// start. By then callers know of it and go to other hosts.
  static constexpr Duration BeginTime = std::chrono::milliseconds(2500);

  TimePoint since;
  /// When requests still in progress are ended.
  TimePoint endsAt;

  /// True if a request that arrives now ends before the stop does: by its
  /// deadline at the latest, or as nearly all requests of its route do.
  bool hasTimeFor(TimePoint deadline, std::optional<Duration> usualDuration,
                  TimePoint now) const {
    if (deadline <= endsAt)
      return true;
    return now <= since + BeginTime && usualDuration &&
           now + *usualDuration <= endsAt;
  }
};

} // namespace auburnspring

#endif
