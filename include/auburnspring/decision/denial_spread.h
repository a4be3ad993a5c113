#ifndef AUBURNSPRING_DECISION_DENIAL_SPREAD_H
#define AUBURNSPRING_DECISION_DENIAL_SPREAD_H

#include "auburnspring/base/time.h"

#include <cstdint>

namespace auburnspring {

/// Spreads in time the hosts that were denied a permit: if all came back at
/// once, one would get it.
class DenialSpread {
public:
  static constexpr Duration Min = std::chrono::milliseconds(100);
  static constexpr Duration Max = std::chrono::seconds(3);

  /// Notes a denial, and returns what the host is to add to the time of the
  /// next permit, so that about `asksPerSecond` of them come back. `uniform` is
  /// drawn from 0 to 1. The spread is at least `min`.
  Duration next(double asksPerSecond, double uniform, TimePoint now,
                Duration min = Min);

private:
  /// Denials in this second and the one before.
  std::int64_t denials_ = 0;
  std::int64_t before_ = 0;
  TimePoint since_;
};

} // namespace auburnspring

#endif
