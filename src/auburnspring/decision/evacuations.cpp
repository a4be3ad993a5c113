#include "auburnspring/decision/evacuations.h"

#include <algorithm>
#include <iterator>

namespace auburnspring {

Duration Evacuations::leavingTime() const {
  const auto share = Duration(static_cast<std::int64_t>(
      static_cast<double>(time_.count()) * LeavingShare));
  return std::max(Duration(0), std::min(share, time_ - SendingTime));
}

Evacuations::Change Evacuations::begin(const std::string &dataCentre,
                                       Source source, TimePoint notBefore,
                                       TimePoint now) {
  const auto found = evacuated_.find(dataCentre);
  if (found != evacuated_.end()) {
    found->second.heldSince = TimePoint::max();
    return Change::None;
  }
  const auto ended = ended_.find(dataCentre);
  if (source == Source::RestoredCopy && ended != ended_.end() &&
      now < ended->second + EndedRetention)
    return Change::Ignored;
  ended_.erase(dataCentre);
  evacuated_[dataCentre].since = std::min(notBefore, now);
  return Change::Begun;
}

Evacuations::Change Evacuations::end(const std::string &dataCentre,
                                     Source source, TimePoint now) {
  const auto found = evacuated_.find(dataCentre);
  if (found == evacuated_.end())
    return Change::None;
  if (source == Source::RestoredCopy) {
    found->second.heldSince = now;
    return Change::Held;
  }
  evacuated_.erase(found);
  if (ended_.size() >= MaxEnded)
    ended_.erase(std::min_element(
        ended_.begin(), ended_.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; }));
  ended_[dataCentre] = now;
  return Change::Ended;
}

std::vector<std::string> Evacuations::endHeld(TimePoint now) {
  std::vector<std::string> over;
  for (auto it = evacuated_.begin(); it != evacuated_.end();) {
    const TimePoint heldSince = it->second.heldSince;
    if (heldSince == TimePoint::max() || now < heldSince + RestoreGrace) {
      ++it;
      continue;
    }
    over.push_back(it->first);
    it = evacuated_.erase(it);
  }
  return over;
}

TimePoint Evacuations::closesAt(const std::string &dataCentre,
                                double draw) const {
  const auto found = evacuated_.find(dataCentre);
  if (found == evacuated_.end())
    return TimePoint::max();
  return found->second.since +
         Duration(static_cast<std::int64_t>(
             static_cast<double>(leavingTime().count()) * draw));
}

} // namespace auburnspring
