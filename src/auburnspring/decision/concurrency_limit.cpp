#include "auburnspring/decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr double HoldWeight = 0.1;
constexpr double MinHoldSeconds = 0.001;
/// Rejections within this time are of requests that were sent together.
constexpr Duration RejectionWindow = std::chrono::milliseconds(200);

double toSeconds(Duration span) { return toMillis(span) / 1000; }

Duration fromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(double slots, double roomPerSlot)
    : slots_(std::max(1.0, slots)),
      room_(std::max(1.0, std::floor(slots_ * roomPerSlot))) {}

bool ConcurrencyLimit::onStatement(std::optional<double> value,
                                   TimePoint statedAt, TimePoint now) {
  if (statedAt_ && statedAt < *statedAt_)
    return false;
  statedAt_ = statedAt;
  if (value == rejections_)
    return false;
  if (!rejections_)
    begunAt_ = changedAt_ = now;
  rejections_ = value;
  return true;
}

std::size_t ConcurrencyLimit::room(TimePoint now) const {
  const double ramp =
      std::clamp(toSeconds(now - begunAt_) / toSeconds(RampTime), 0.0, 1.0);
  return static_cast<std::size_t>(std::max(1.0, room_ * ramp));
}

std::size_t ConcurrencyLimit::inProgress(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(leases_.begin(), leases_.end(),
                    [&](const Lease &lease) { return now < lease.endsAt; }));
}

double ConcurrencyLimit::permitsPerSecond() const {
  return room_ / holdSeconds_;
}

Duration ConcurrencyLimit::timeToPermit(TimePoint now) const {
  if (!rejections_)
    return Duration(0);
  const Duration pause = std::max(Duration(0), pausedUntil_ - now);
  if (inProgress(now) < room(now))
    return pause;
  return std::max(pause, fromSeconds(1 / permitsPerSecond()));
}

void ConcurrencyLimit::beginIfIdle(TimePoint now) {
  if (now >= lastAskedAt_ + IdleTime)
    begunAt_ = now;
  lastAskedAt_ = now;
}

void ConcurrencyLimit::growIfUsedUp(TimePoint now) {
  if (!wasUsedUp_ || now < changedAt_ + growthInterval_ ||
      now < begunAt_ + RampTime)
    return;
  // The last growth was followed by no rejection.
  if (lastRejectionAt_ < changedAt_)
    growthInterval_ = std::max(MinGrowthInterval, growthInterval_ / 2);
  room_ = std::min(room_ + 1, slots_ * MaxRoomPerSlot);
  changedAt_ = now;
  wasUsedUp_ = false;
}

bool ConcurrencyLimit::takePermit(std::uint64_t lease, Duration holdFor,
                                  TimePoint now) {
  if (!rejections_)
    return true;
  beginIfIdle(now);
  leases_.erase(
      std::remove_if(leases_.begin(), leases_.end(),
                     [&](const Lease &held) { return held.endsAt <= now; }),
      leases_.end());
  if (now < pausedUntil_)
    return false;
  if (leases_.size() >= room(now)) {
    wasUsedUp_ = true;
    growIfUsedUp(now);
    if (leases_.size() >= room(now))
      return false;
  }
  leases_.push_back({lease, now, now + holdFor, leases_.size() + 1});
  return true;
}

Duration ConcurrencyLimit::restOfRejections(double count) const {
  return fromSeconds(count / rejections_.value_or(1));
}

void ConcurrencyLimit::onRejection(std::size_t rank, TimePoint now) {
  // Others have requests in progress that no permit was given for.
  if (rank == 1) {
    pausedUntil_ =
        now + std::max(fromSeconds(holdSeconds_), restOfRejections(2));
    return;
  }
  room_ = std::min(room_, static_cast<double>(rank) - 1);
  if (now >= lastRejectionAt_ + RejectionWindow)
    growthInterval_ = std::max(std::min(MaxGrowthInterval, 2 * growthInterval_),
                               restOfRejections(4));
  lastRejectionAt_ = changedAt_ = now;
  wasUsedUp_ = false;
}

void ConcurrencyLimit::release(std::uint64_t lease, PermitEnd end,
                               TimePoint now) {
  const auto found =
      std::find_if(leases_.begin(), leases_.end(),
                   [&](const Lease &held) { return held.number == lease; });
  if (found == leases_.end())
    return;
  if (end == PermitEnd::Cancelled) {
    found->endsAt = std::min(found->endsAt, now + CancelTime);
    return;
  }
  if (end == PermitEnd::Rejected)
    onRejection(found->rank, now);
  else
    holdSeconds_ =
        std::max(MinHoldSeconds,
                 holdSeconds_ + HoldWeight * (toSeconds(now - found->givenAt) -
                                              holdSeconds_));
  leases_.erase(found);
}

} // namespace auburnspring
