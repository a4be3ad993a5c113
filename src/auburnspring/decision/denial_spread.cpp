#include "auburnspring/decision/denial_spread.h"

#include <algorithm>

namespace auburnspring {

Duration DenialSpread::next(double asksPerSecond, double uniform, TimePoint now,
                            Duration min) {
  constexpr Duration Period = std::chrono::seconds(1);
  if (now >= since_ + Period) {
    before_ = now < since_ + 2 * Period ? denials_ : 0;
    denials_ = 0;
    since_ = now;
  }
  ++denials_;
  const auto asking = static_cast<double>(std::max(denials_, before_));
  const double seconds = std::min(asking / asksPerSecond, toMillis(Max) / 1000);
  const Duration spread =
      std::clamp(Duration(static_cast<std::int64_t>(seconds * 1e6)), min, Max);
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(spread.count()) * uniform));
}

} // namespace auburnspring
