#include "auburnspring/decision/repeat_allowance.h"

namespace auburnspring {

void RepeatAllowance::expire(Window *window, TimePoint now) const {
  const TimePoint from = now - limits_.window;
  while (!window->firsts.empty() && window->firsts.front().at < from) {
    window->firstCount -= window->firsts.front().count;
    window->firsts.pop_front();
  }
  while (!window->repeats.empty() && window->repeats.front().at < from) {
    window->repeatCount -= window->repeats.front().count;
    window->repeats.pop_front();
  }
}

void RepeatAllowance::noteFirst(const std::string &pool, std::int64_t count,
                                TimePoint now) {
  Window &window = pools_[pool];
  expire(&window, now);
  window.firsts.push_back({now, count});
  window.firstCount += count;
}

bool RepeatAllowance::spend(const std::string &pool, std::int64_t count,
                            TimePoint now, bool isSoleSender) {
  Window &window = pools_[pool];
  expire(&window, now);
  const double slack = isSoleSender
                           ? limits_.slack
                           : limits_.slack / static_cast<double>(sharers_);
  const double allowed =
      SafetyFactor *
      (limits_.ratio * static_cast<double>(window.firstCount) + slack);
  if (static_cast<double>(window.repeatCount + count) > allowed)
    return false;
  window.repeats.push_back({now, count});
  window.repeatCount += count;
  return true;
}

} // namespace auburnspring
