#include "auburnspring/decision/retry_quota.h"

namespace auburnspring {

void RetryQuota::trim(Window *window, TimePoint now) const {
  const TimePoint from = now - limits_.window;
  while (!window->firstAttempts.empty() &&
         window->firstAttempts.front().at < from) {
    window->firstAttemptCount -= window->firstAttempts.front().count;
    window->firstAttempts.pop_front();
  }
  while (!window->retries.empty() && window->retries.front().at < from) {
    window->retryCount -= window->retries.front().count;
    window->retries.pop_front();
  }
}

void RetryQuota::recordFirstAttempts(const std::string &pool,
                                     std::int64_t count, TimePoint now) {
  Window &window = pools_[pool];
  trim(&window, now);
  window.firstAttempts.push_back({now, count});
  window.firstAttemptCount += count;
}

bool RetryQuota::spend(const std::string &pool, std::int64_t count,
                       TimePoint now, bool isSoleSender) {
  Window &window = pools_[pool];
  trim(&window, now);
  const double slack = isSoleSender
                           ? limits_.slack
                           : limits_.slack / static_cast<double>(sharingHosts_);
  const double allowed =
      SafetyFactor *
      (limits_.ratio * static_cast<double>(window.firstAttemptCount) + slack);
  if (static_cast<double>(window.retryCount + count) > allowed)
    return false;
  window.retries.push_back({now, count});
  window.retryCount += count;
  return true;
}

} // namespace auburnspring
