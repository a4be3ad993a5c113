#ifndef AUBURNSPRING_DECISION_MISSED_DELIVERIES_H
#define AUBURNSPRING_DECISION_MISSED_DELIVERIES_H

#include "auburnspring/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace auburnspring {

/// Remembers which peers may have missed messages of this host, since the
/// connection to them was lost, and when to send them again what they are to
/// know.
class MissedDeliveries {
public:
  /// A connection may have swallowed messages for as long as this before its
  /// loss is noticed: the maximum age of a connection, the time-out of its
  /// closing handshake, and a margin.
  static constexpr Duration NoticeTime = std::chrono::seconds(13);
  /// Least time between two repetitions to one peer. It doubles with each one
  /// that is lost as well, up to the maximum.
  static constexpr Duration RepeatInterval = std::chrono::milliseconds(500);
  static constexpr Duration MaxRepeatInterval = std::chrono::seconds(4);
  /// Beyond this number the peers that were lost first are forgotten.
  static constexpr std::size_t MaxPeers = 1024;

  struct Due {
    std::string host;
    /// The peer may have missed what was sent since then.
    TimePoint since;
  };

  /// A message to the host was dropped, or a connection to it was lost.
  void onLost(const std::string &host, TimePoint now);
  /// Peers to which a repetition goes now. `isAvailable` says of a host whether
  /// it takes messages; the others wait.
  template <typename Predicate>
  std::vector<Due> takeDue(Predicate isAvailable, TimePoint now) {
    std::vector<Due> due;
    for (const std::string &host : ready(now))
      if (isAvailable(host))
        due.push_back(take(host, now));
    return due;
  }
  std::size_t size() const { return peers_.size(); }

private:
  struct Missed {
    TimePoint since;
    TimePoint repeatedAt;
    Duration interval = RepeatInterval;
    bool mustRepeat = true;
  };

  /// Peers that wait for a repetition. Forgets those that seem to have got it.
  std::vector<std::string> ready(TimePoint now);
  Due take(const std::string &host, TimePoint now);

  std::map<std::string, Missed> peers_;
};

} // namespace auburnspring

#endif
