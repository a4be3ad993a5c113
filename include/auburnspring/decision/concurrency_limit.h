#ifndef AUBURNSPRING_DECISION_CONCURRENCY_LIMIT_H
#define AUBURNSPRING_DECISION_CONCURRENCY_LIMIT_H

#include "auburnspring/decision/shared_limit.h"

#include <vector>

namespace auburnspring {

/// Bounds what all hosts have in progress at an upstream that crashes when it
/// turns away too many requests. The room is its slots at first; a rejection
/// shrinks it to what was in progress before, and it grows by one request at a
/// time while it is used up, more rarely with each rejection.
class ConcurrencyLimit : public SharedLimit {
public:
  /// Time over which a host that begins to give permits raises what it gives
  /// to the room: it does not know what is in progress.
  static constexpr Duration RampTime = std::chrono::seconds(1);
  /// A host that was not asked for this long begins anew.
  static constexpr Duration IdleTime = std::chrono::seconds(2);
  static constexpr Duration MinGrowthInterval = std::chrono::milliseconds(500);
  static constexpr Duration MaxGrowthInterval = std::chrono::seconds(16);
  /// Time in which an upstream notices that a request was cancelled.
  static constexpr Duration CancelTime = std::chrono::milliseconds(30);
  /// The room is at most this multiple of the slots.
  static constexpr double MaxRoomPerSlot = 4;

  /// `roomPerSlot` is what was learned of other upstreams of the pool.
  ConcurrencyLimit(double slots, double roomPerSlot);

  bool onStatement(std::optional<double> value, TimePoint statedAt,
                   TimePoint now) override;
  std::optional<double> value() const override { return rejections_; }
  std::optional<TimePoint> statedAt() const override { return statedAt_; }
  bool isLimited(TimePoint /*now*/) const override {
    return rejections_.has_value();
  }
  Duration timeToPermit(TimePoint now) const override;
  bool takePermit(std::uint64_t lease, Duration holdFor,
                  TimePoint now) override;
  double permitsPerSecond() const override;
  void release(std::uint64_t lease, PermitEnd end, TimePoint now) override;

  /// Requests that may be in progress now.
  std::size_t room(TimePoint now) const;
  std::size_t inProgress(TimePoint now) const;
  double roomPerSlot() const override { return room_ / slots_; }

private:
  struct Lease {
    std::uint64_t number = 0;
    TimePoint givenAt;
    TimePoint endsAt;
    /// Requests in progress with it when it was given.
    std::size_t rank = 0;
  };

  void beginIfIdle(TimePoint now);
  void growIfUsedUp(TimePoint now);
  /// Time in which the upstream bears `count` rejections.
  Duration restOfRejections(double count) const;
  void onRejection(std::size_t rank, TimePoint now);

  double slots_;
  double room_;
  /// Rejections a second that crash the upstream.
  std::optional<double> rejections_;
  std::optional<TimePoint> statedAt_;
  std::vector<Lease> leases_;
  TimePoint begunAt_;
  TimePoint lastAskedAt_;
  TimePoint changedAt_;
  /// No permit before this time.
  TimePoint pausedUntil_;
  TimePoint lastRejectionAt_;
  Duration growthInterval_ = MinGrowthInterval;
  bool wasUsedUp_ = false;
  /// Moving average of the time for which permits are held.
  double holdSeconds_ = 0.1;
};

} // namespace auburnspring

#endif
