#ifndef AUBURNSPRING_DECISION_TRACKED_UPSTREAM_H
#define AUBURNSPRING_DECISION_TRACKED_UPSTREAM_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/upstream_facts.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace auburnspring {

/// One incarnation of an upstream with this host's view of it. The listed data
/// never changes; the rest are atomics that any thread may update. Snapshots
/// and attempts share ownership, so that an upstream stays valid after it
/// leaves the list.
struct TrackedUpstream {
  explicit TrackedUpstream(ListedUpstream upstream)
      : listed(std::move(upstream)) {}

  const ListedUpstream listed;

  /// This host's attempts in progress.
  std::atomic<std::int32_t> inFlight{0};

  /// Running and queued requests by its last report, and when that arrived.
  std::atomic<std::int32_t> reportedLoad{0};
  std::atomic<std::int64_t> reportedAtMicros{0};
  /// This host's attempts in progress when the report arrived.
  std::atomic<std::int32_t> inFlightAtReport{0};

  /// Moving average of the time of a successful attempt; 0 before the first.
  std::atomic<std::int64_t> smoothedMicros{0};
  /// Moving average of the share of failed attempts, in millionths.
  std::atomic<std::int32_t> failureMillionths{0};
  std::atomic<std::int32_t> consecutiveFailures{0};
  /// End of the current ejection, which is ignored if most of the pool is
  /// ejected.
  std::atomic<std::int64_t> ejectedUntilMicros{0};
  std::atomic<std::int32_t> ejections{0};
  /// When this incarnation was first listed, for the slow start.
  std::atomic<std::int64_t> firstSeenMicros{0};

  /// Set at the first reliable notice; never cleared for this incarnation.
  std::atomic<bool> leaving{false};
  /// Drained by an operator; may be put back into service.
  std::atomic<bool> drained{false};

  bool acceptsNewWork() const { return !leaving && !drained; }
};

using TrackedUpstreamPtr = std::shared_ptr<TrackedUpstream>;

inline std::int64_t toMicros(TimePoint time) {
  return time.time_since_epoch().count();
}

} // namespace auburnspring

#endif
