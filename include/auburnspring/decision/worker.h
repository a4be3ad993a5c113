#ifndef AUBURNSPRING_DECISION_WORKER_H
#define AUBURNSPRING_DECISION_WORKER_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/upstream_facts.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace auburnspring {

/// One upstream in one life, with what this host knows of it. The listed facts
/// never change; the rest are atomics that any thread may bump. Attempts hold
/// it beside the snapshots, so that a worker outlives its place on the list.
struct Worker {
  explicit Worker(ListedUpstream upstream) : listed(std::move(upstream)) {}

  const ListedUpstream listed;

  /// Attempts of this host that have not ended.
  std::atomic<std::int32_t> inFlight{0};

  /// Running and queued by its last report, and when that arrived.
  std::atomic<std::int32_t> reportedLoad{0};
  std::atomic<std::int64_t> reportedAtMicros{0};
  /// This host's own attempts at the time of the report.
  std::atomic<std::int32_t> inFlightAtReport{0};

  /// Smoothed time of a successful attempt; 0 before the first.
  std::atomic<std::int64_t> smoothedMicros{0};
  /// Smoothed share of failed attempts, in millionths.
  std::atomic<std::int32_t> failureMillionths{0};
  std::atomic<std::int32_t> failuresInARow{0};
  /// No new work before this time, unless most of the pool looks bad.
  std::atomic<std::int64_t> ejectedUntilMicros{0};
  std::atomic<std::int32_t> ejections{0};
  /// When this life was first seen, for the slow start.
  std::atomic<std::int64_t> firstSeenMicros{0};

  /// Set at the first credible sign, never cleared in this life.
  std::atomic<bool> leaving{false};
  /// Taken out of service by an operator; may be put back.
  std::atomic<bool> drained{false};

  bool takesNewWork() const { return !leaving && !drained; }
};

using WorkerPtr = std::shared_ptr<Worker>;

inline std::int64_t toMicros(TimePoint time) {
  return time.time_since_epoch().count();
}

} // namespace auburnspring

#endif
