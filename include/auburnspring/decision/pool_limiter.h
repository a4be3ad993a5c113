#ifndef AUBURNSPRING_DECISION_POOL_LIMITER_H
#define AUBURNSPRING_DECISION_POOL_LIMITER_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/ids.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// Request of one part of a stage for a slot in a pool.
struct SlotRequest {
  RequestId request = 0;
  std::uint32_t stage = 0;
  std::uint32_t part = 0;
  std::string organisation;
  double weight = 1;
  std::int64_t priority = 5;
  /// Expected time in the slot, charged to the organisation's share.
  Duration cost = std::chrono::milliseconds(1);
  /// Latest start at which the request can meet its deadline.
  TimePoint latestStart;
};

enum class SlotResult { Granted, Queued, Full };

/// Limits the concurrency of this host's attempts in one pool and queues the
/// excess. The limit adapts to the pool's latency. Slot time is shared between
/// organisations by weight; within an organisation the order is priority, then
/// least slack. Thread-safe.
class PoolLimiter {
public:
  struct Options {
    std::size_t maxQueued = 256;
    double initialLimit = 8;
    double minLimit = 1;
    double maxLimit = 4096;
    /// The limit shrinks if attempts take more than this many times their
    /// unloaded duration.
    double slowdownTolerance = 2.0;
    /// Share of the slots that is withheld from an organisation that holds at
    /// least `dominantShare` of them.
    double reservedShare = 0.1;
    double dominantShare = 0.6;
  };

  explicit PoolLimiter(Options options);

  /// Sets this host's share of the slots that the pool's upstreams list. The
  /// adaptive limit stays between a quarter of it and all of it, so that
  /// requests queue here, where they are ordered, and not at the upstreams.
  void setCapacityHint(double slots);

  SlotResult acquire(const SlotRequest &request);

  /// Takes a slot only if one is free and the queue is empty.
  bool tryAcquire(const SlotRequest &request);

  /// Returns an organisation's slot and appends to `granted` the queued parts
  /// that now hold one.
  void release(const std::string &organisation,
               std::vector<SlotRequest> *granted);

  /// Removes a finished request's parts from the queue.
  void removeQueued(RequestId request);

  /// Adjusts the limit after a successful attempt. `slowdown` is the ratio of
  /// its latency to its unloaded duration. The limit follows the ratio, since a
  /// pool that serves both short and long requests shows its load only there.
  void recordLatency(Duration latency, double slowdown, TimePoint now);

  /// Shrinks the limit after a sign of overload, such as a refusal or a
  /// timeout.
  void recordOverload(TimePoint now);

  /// Expected queueing time of a new part of an organisation: behind its own
  /// queued parts at its share of the slots, or behind the whole queue if that
  /// is shorter.
  Duration expectedWait(const std::string &organisation, double weight) const;

  struct Stats {
    double limit;
    std::int64_t inUse;
    std::size_t queued;
    Duration smoothedLatency;
    double slowdownRatio;
  };
  Stats stats() const;

private:
  static constexpr std::size_t MinPruneAt = 1024;

  /// Fair-queueing state of one organisation.
  struct Flow {
    /// Earliest start tag of the next request, in virtual time.
    double startTag = 0;
    double weight = 1;
    std::size_t queued = 0;
    std::int64_t inUse = 0;
  };

  bool hasFreeSlot() const;
  bool hasFreeSlotFor(const std::string &organisation) const;
  void takeSlot(const SlotRequest &request);
  std::optional<std::size_t> pickNext() const;
  void shrinkLimit(TimePoint now);

  Options options_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  double limit_;
  double capacityHint_ = 0;
  std::int64_t inUse_ = 0;
  std::vector<SlotRequest> queue_;
  absl::flat_hash_map<std::string, Flow> flows_;
  /// Flows of idle organisations are removed when there are more than this.
  std::size_t pruneAt_ = MinPruneAt;
  double virtualTime_ = 0;
  Duration smoothedLatency_{0};
  double slowdown_ = 1;
  TimePoint lastShrink_{};
};

} // namespace auburnspring

#endif
