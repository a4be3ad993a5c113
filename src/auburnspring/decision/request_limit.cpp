#include "auburnspring/decision/request_limit.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

double toSeconds(Duration span) { return toMillis(span) / 1000; }

Duration fromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

} // namespace

double RequestLimit::maxSaved() const {
  return std::max(MaxSavedRequests, *perSecond_ * MaxSavedSeconds);
}

double RequestLimit::savedAt(TimePoint now) const {
  return std::min(maxSaved(),
                  saved_ + toSeconds(now - savedSince_) * *perSecond_);
}

bool RequestLimit::onStatement(std::optional<double> perSecond,
                               TimePoint statedAt, TimePoint now) {
  if (statedAt_ && statedAt < *statedAt_)
    return false;
  statedAt_ = statedAt;
  if (perSecond == perSecond_)
    return false;
  // What was saved under another limit, or at another host, is not known.
  const double saved = perSecond_ && perSecond ? savedAt(now) : 0;
  perSecond_ = perSecond;
  saved_ = perSecond_ ? std::min(saved, maxSaved()) : 0;
  savedSince_ = now;
  return true;
}

Duration RequestLimit::timeToPermit(TimePoint now) const {
  if (!perSecond_)
    return Duration(0);
  const double missing = 1 - savedAt(now);
  return missing <= 0 ? Duration(0) : fromSeconds(missing / *perSecond_);
}

bool RequestLimit::takePermit(TimePoint now) {
  if (!perSecond_)
    return true;
  const double saved = savedAt(now);
  if (saved < 1)
    return false;
  saved_ = saved - 1;
  savedSince_ = now;
  return true;
}

Duration RequestLimit::retryAfterDenial(TimePoint now, double uniform) {
  // As long as a quarter of those who ask would take to be served.
  return timeToPermit(now) + spread_.next(4 * permitsPerSecond(), uniform, now);
}

} // namespace auburnspring
