#include "auburnspring/decision/missed_deliveries.h"

#include <algorithm>
#include <iterator>

namespace auburnspring {

void MissedDeliveries::onLost(const std::string &host, TimePoint now) {
  const auto found = peers_.find(host);
  // A repetition that was lost as well is due again with all that it held.
  if (found != peers_.end()) {
    found->second.mustRepeat = true;
    return;
  }
  if (peers_.size() >= MaxPeers)
    peers_.erase(std::min_element(
        peers_.begin(), peers_.end(), [](const auto &left, const auto &right) {
          return left.second.since < right.second.since;
        }));
  peers_[host].since = now - NoticeTime;
}

std::vector<std::string> MissedDeliveries::ready(TimePoint now) {
  std::vector<std::string> hosts;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Missed &missed = it->second;
    if (missed.mustRepeat && now >= missed.repeatedAt + missed.interval)
      hosts.push_back(it->first);
    const bool isOver =
        !missed.mustRepeat && now >= missed.repeatedAt + NoticeTime;
    it = isOver ? peers_.erase(it) : std::next(it);
  }
  return hosts;
}

MissedDeliveries::Due MissedDeliveries::take(const std::string &host,
                                             TimePoint now) {
  Missed &missed = peers_[host];
  missed.mustRepeat = false;
  if (missed.repeatedAt != TimePoint())
    missed.interval = std::min(2 * missed.interval, MaxRepeatInterval);
  missed.repeatedAt = now;
  return {host, missed.since};
}

} // namespace auburnspring
