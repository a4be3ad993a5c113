#ifndef AUBURNSPRING_DECISION_STORE_WATCH_DUTY_H
#define AUBURNSPRING_DECISION_STORE_WATCH_DUTY_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// Decides which hosts watch the store, and whom a host that has fallen behind
/// asks for what it lacks.
///
/// In a small fleet every host watches. In a larger one a few hosts of each
/// data centre do, and tell the others there. All rank the same hosts by
/// rendezvous hashing, so that no election is needed; a host that hears too few
/// of those ranked above it watches for itself. A wrong view costs calls to the
/// store, never a stale copy.
class StoreWatchDuty {
public:
  /// Hosts of one data centre that watch. All of them may be cut off from the
  /// store at once, which costs the others NewsLife.
  static constexpr std::size_t WatchersPerDataCentre = 3;
  /// In a fleet of up to this size every host watches.
  static constexpr std::size_t SmallFleet = 12;
  /// A watcher that is not heard for so long does not count; several times the
  /// interval at which it is heard.
  static constexpr Duration NewsLife = std::chrono::milliseconds(700);
  /// Each rank further down waits so much longer before it watches, so that
  /// not all take over at once.
  static constexpr Duration TakeOverStep = std::chrono::milliseconds(60);
  static constexpr std::size_t LongestTakeOver = 6;
  /// A host that watches asks others only if its own watch is this much slower.
  static constexpr Duration OwnWatchTime = std::chrono::milliseconds(300);
  /// An answer that has not come in this time is asked for again.
  static constexpr Duration AskInterval = std::chrono::milliseconds(150);

  struct Host {
    std::string dataCentre;
    double processorShare = 1;
  };

  StoreWatchDuty(std::string self, const Host &host);

  void setHost(const std::string &name, const Host &host);
  void removeHost(const std::string &name);

  /// A host that watches says that it has the store.
  void onNews(const std::string &from, TimePoint now);
  /// A host says how far its copy goes; `own` is this host's revision.
  void onRevision(const std::string &from, std::int64_t revision,
                  std::int64_t own, TimePoint now);

  bool mustWatch(TimePoint now) const;
  /// Hosts that this one tells of news while it watches.
  std::vector<std::string> listeners() const;
  /// The host to be asked now for what this one lacks.
  std::optional<std::string> whomToAsk(std::int64_t own, TimePoint now);

private:
  struct Peer {
    Host host;
    double score = 0;
    TimePoint newsAt;
  };

  double scoreOf(const std::string &name, const Host &host) const;

  std::string self_;
  Host host_;
  double score_ = 0;
  std::map<std::string, Peer> peers_;
  /// Newest revision that a peer has told, who told it last, and since when
  /// this host has been behind.
  std::int64_t ahead_ = 0;
  std::string aheadHost_;
  TimePoint behindSince_;
  TimePoint askedAt_;
};

} // namespace auburnspring

#endif
