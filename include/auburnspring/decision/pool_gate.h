#ifndef AUBURNSPRING_DECISION_POOL_GATE_H
#define AUBURNSPRING_DECISION_POOL_GATE_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/ids.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// A part of a stage that asks for a slot in a pool.
struct SlotRequest {
  RequestId request = 0;
  std::uint32_t stage = 0;
  std::uint32_t part = 0;
  std::string organisation;
  double weight = 1;
  std::int64_t priority = 5;
  /// Expected time in the slot, which the organisation is charged.
  Duration cost = std::chrono::milliseconds(1);
  /// When the part must have started to be of use.
  TimePoint latestStart;
};

enum class GateAnswer { Granted, Queued, Full };

/// Limits this host's attempts in one pool and queues the rest. The limit
/// follows the pool's latency; organisations share the slots' time by weight,
/// and within one the order is priority, then the least slack. Any thread may
/// call it.
class PoolGate {
public:
  struct Options {
    std::size_t maxQueued = 256;
    double initialLimit = 8;
    double minLimit = 1;
    double maxLimit = 4096;
    /// Attempts that take more than this many times their unloaded duration
    /// shrink the limit.
    double stretchTolerance = 2.0;
    /// Share of the slots that is kept from an organisation that has more than
    /// `dominance` of them.
    double reserve = 0.1;
    double dominance = 0.6;
  };

  explicit PoolGate(Options options);

  /// Sets what the pool can run side by side by its listed slots, this host's
  /// share of it. The learned limit stays between a quarter of it and all of
  /// it, so that work waits here, where it is ordered, and not at the
  /// upstreams.
  void setCapacityHint(double slots);

  GateAnswer ask(const SlotRequest &request);

  /// Takes a slot only if one is free and nobody waits.
  bool tryTake(const SlotRequest &request);

  /// Returns an organisation's slot and fills `granted` with the parts that
  /// start now.
  void release(const std::string &organisation,
               std::vector<SlotRequest> *granted);

  /// Removes what a finished request still has in the queue.
  void withdraw(RequestId request);

  /// Learns from an attempt that ended well: how long it took, and how many
  /// times its unloaded duration that is. A pool serves short and long work
  /// side by side, so that only the second tells its load.
  void learn(Duration latency, double stretch, TimePoint now);

  /// Learns that the pool is overloaded, from a refusal or a timeout.
  void learnOverload(TimePoint now);

  /// Expected wait of a new part of an organisation: behind its own queue at
  /// its share of the slots, or behind the whole queue if that is shorter.
  Duration expectedWait(const std::string &organisation, double weight) const;

  struct Reading {
    double limit;
    std::int64_t inUse;
    std::size_t queued;
    Duration smoothedLatency;
    double stretch;
  };
  Reading read() const;

private:
  static constexpr std::size_t FirstForgetAt = 1024;

  struct Turn {
    double pass = 0;
    double weight = 1;
    std::size_t queued = 0;
    std::int64_t inUse = 0;
  };

  bool hasRoom() const;
  bool hasRoomFor(const std::string &organisation) const;
  void take(const SlotRequest &request);
  std::optional<std::size_t> pickNext() const;
  void shrink(TimePoint now);

  Options options_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  double limit_;
  double hint_ = 0;
  std::int64_t inUse_ = 0;
  std::vector<SlotRequest> queue_;
  absl::flat_hash_map<std::string, Turn> turns_;
  /// Idle organisations are forgotten when there are more turns than this.
  std::size_t forgetAt_ = FirstForgetAt;
  double lastPass_ = 0;
  Duration smoothed_{0};
  double stretch_ = 1;
  TimePoint lastShrink_{};
};

} // namespace auburnspring

#endif
