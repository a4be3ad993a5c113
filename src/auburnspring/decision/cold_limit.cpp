#include "auburnspring/decision/cold_limit.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Shares of what may exceed the rate: for permits that are saved up, and for
/// a host that takes over.
constexpr double SavedShare = 0.25;
constexpr double TakeoverShare = 0.25;
constexpr double LeastRateShare = 0.25;

double toSeconds(Duration span) { return toMillis(span) / 1000; }

} // namespace

double ColdLimit::spare() const {
  return (terms_.overshoot - 1) * terms_.perSecond + terms_.slack;
}

double ColdLimit::maxSaved() const {
  return std::max(1.0, SavedShare * spare());
}

double ColdLimit::fullRate() const {
  const double allowed =
      (terms_.perSecond + spare() - maxSaved()) / (1 + toSeconds(TransitTime)) -
      TakeoverShare * spare();
  return std::clamp(allowed, LeastRateShare * terms_.perSecond,
                    terms_.perSecond);
}

double ColdLimit::savedAt(TimePoint now) const {
  return std::min(maxSaved(), saved_ + toSeconds(now - savedSince_) * rate_);
}

bool ColdLimit::onStatement(std::optional<double> value, TimePoint statedAt,
                            TimePoint now) {
  if (statedAt_ && statedAt < *statedAt_)
    return false;
  const bool wasCold = isLimited(now);
  remainingMillis_ = value;
  statedAt_ = statedAt;
  coldUntil_ =
      statedAt + Duration(static_cast<std::int64_t>(1000 * value.value_or(0)));
  if (wasCold == isLimited(now))
    return false;
  // What was sent before is not known.
  saved_ = 0;
  savedSince_ = now;
  return true;
}

void ColdLimit::setGivingFor(Duration span, TimePoint now) {
  saved_ = savedAt(now);
  savedSince_ = now;
  if (span <= Duration(0))
    rate_ = saved_ = 0;
  else
    rate_ = span < TakeoverTime ? std::min(TakeoverShare * spare(), fullRate())
                                : fullRate();
}

Duration ColdLimit::timeToPermit(TimePoint now) const {
  if (!isLimited(now))
    return Duration(0);
  const double missing = 1 - savedAt(now);
  if (missing <= 0)
    return Duration(0);
  // It takes what it wants once it is warm.
  const Duration untilWarm = coldUntil_ - now;
  if (rate_ <= 0)
    return untilWarm;
  return std::min(untilWarm, Duration(static_cast<std::int64_t>(
                                 std::ceil(missing / rate_ * 1e6))));
}

bool ColdLimit::takePermit(std::uint64_t /*lease*/, Duration /*holdFor*/,
                           TimePoint now) {
  if (!isLimited(now))
    return true;
  const double saved = savedAt(now);
  if (saved < 1)
    return false;
  saved_ = saved - 1;
  savedSince_ = now;
  return true;
}

} // namespace auburnspring
