#ifndef AUBURNSPRING_DECISION_STORE_FRESHNESS_H
#define AUBURNSPRING_DECISION_STORE_FRESHNESS_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/store_version.h"

#include <algorithm>
#include <cstddef>

namespace auburnspring {

/// Decides when a host that watches the store asks it whether the replica is
/// current. A long-poll watch that was lost on the way looks like one without
/// changes, so the age of the last confirmation is tracked instead and shared
/// between peers: as long as any of them gets responses, the others don't ask.
class StoreFreshness {
public:
  /// Age of the last confirmation at which the host with the highest rank asks.
  /// A lost watch delays a change by at most this time, an interval of the
  /// heartbeats and a round trip, which together are less than the time within
  /// which a configuration must be in force.
  static constexpr Duration MaxAge = std::chrono::milliseconds(1100);
  /// Additional age for each rank below, longer than the interval at which
  /// peers share confirmations.
  static constexpr Duration RankStep = std::chrono::milliseconds(250);
  static constexpr std::size_t MaxRankSteps = 3;
  /// Least time between two questions, so also the retry interval of one
  /// without a response.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(350);

  /// The store has returned everything up to the replica's version.
  void onConfirmed(TimePoint now) {
    confirmedAt_ = std::max(confirmedAt_, now);
  }

  /// A peer's replica is at `version`, which was confirmed `age` ago; `own` is
  /// the version of this host's replica.
  void onPeerVersion(const StoreVersion &version, Duration age,
                     const StoreVersion &own, TimePoint now) {
    if (version == own)
      confirmedAt_ = std::max(confirmedAt_, now - age);
  }

  Duration age(TimePoint now) const { return now - confirmedAt_; }

  /// True if the store should be asked now; the caller then does so. `rank` is
  /// the number of hosts that are to ask before this one.
  bool mustAsk(std::size_t rank, TimePoint now) {
    const auto steps = static_cast<std::int64_t>(std::min(rank, MaxRankSteps));
    if (age(now) < MaxAge + RankStep * steps || now < askedAt_ + RetryInterval)
      return false;
    askedAt_ = now;
    return true;
  }

private:
  TimePoint confirmedAt_;
  TimePoint askedAt_;
};

} // namespace auburnspring

#endif
