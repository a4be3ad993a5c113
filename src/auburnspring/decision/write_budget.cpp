#include "auburnspring/decision/write_budget.h"

#include <algorithm>

namespace auburnspring {

bool WriteBudget::tryAcquire(TimePoint now) {
  const auto elapsedMicros = static_cast<double>((now - refilledAt_).count());
  refilledAt_ = now;
  tokens_ = std::min(burst_, tokens_ + elapsedMicros * perSecond_ / 1e6);
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

TimePoint WriteBudget::nextAvailableAt(TimePoint now) const {
  const double missing = std::max(0.0, 1 - tokens_);
  return now +
         Duration(static_cast<std::int64_t>(missing * 1e6 / perSecond_) + 1);
}

} // namespace auburnspring
