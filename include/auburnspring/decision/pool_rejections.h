#ifndef AUBURNSPRING_DECISION_POOL_REJECTIONS_H
#define AUBURNSPRING_DECISION_POOL_REJECTIONS_H

#include "auburnspring/base/time.h"

#include <optional>

namespace auburnspring {

/// What the upstreams of a pool have stated of the rejections that crash them,
/// for incarnations that have stated nothing yet.
class PoolRejections {
public:
  /// How long a statement holds for new incarnations. While upstreams of the
  /// pool are in use it is repeated in each response.
  static constexpr Duration Retention = std::chrono::seconds(10);

  void onStatement(std::optional<double> perSecond, TimePoint statedAt) {
    if (statedAt < statedAt_)
      return;
    perSecond_ = perSecond;
    statedAt_ = statedAt;
  }
  std::optional<double> perSecond(TimePoint now) const {
    return now < statedAt_ + Retention ? perSecond_ : std::nullopt;
  }

  /// Requests in progress that were found to have room, for each slot.
  void onRoom(double perSlot) { roomPerSlot_ = perSlot; }
  double roomPerSlot() const { return roomPerSlot_; }

private:
  std::optional<double> perSecond_;
  TimePoint statedAt_;
  double roomPerSlot_ = 1;
};

} // namespace auburnspring

#endif
