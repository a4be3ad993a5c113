#ifndef AUBURNSPRING_DECISION_STORE_WATCHER_SELECTOR_H
#define AUBURNSPRING_DECISION_STORE_WATCHER_SELECTOR_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/peer_fetch.h"
#include "auburnspring/decision/store_version.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// Selects the hosts that watch the store, and the peer from which a host whose
/// replica is behind fetches the missing changes.
///
/// In a small fleet every host watches. In a larger one a few hosts of each
/// data centre watch and send updates to the others there. All hosts compute
/// the same ranking by rendezvous hashing, so that no election is needed; a
/// host that receives updates from too few hosts ranked above it watches too.
/// An outdated view of the fleet costs extra calls to the store, never a stale
/// replica.
class StoreWatcherSelector {
public:
  /// Hosts of one data centre that watch. If all of them lose the store at
  /// once, the others take over after WatcherTimeout.
  static constexpr std::size_t WatchersPerDataCentre = 3;
  /// In a fleet of up to this size every host watches.
  static constexpr std::size_t SmallFleet = 12;
  /// A watcher without an update for this long is ignored; several times the
  /// interval of its updates.
  static constexpr Duration WatcherTimeout = std::chrono::milliseconds(700);
  /// Additional delay before the next lower rank takes over, so that not all
  /// hosts do so at once.
  static constexpr Duration TakeoverStep = std::chrono::milliseconds(60);
  /// Number of steps after which the delay no longer grows with the rank.
  static constexpr std::size_t MaxTakeoverSteps = 6;
  /// A host that watches fetches from a peer only if its own watch has not
  /// delivered the change within this time.
  static constexpr Duration OwnWatchGrace = std::chrono::milliseconds(300);
  /// After this many failures in a row the host watches the store itself until
  /// it has caught up.
  static constexpr int MaxFailedFetches = 2;

  /// Least time between two watches of a host, by the size of the fleet: a
  /// burst of changes costs few calls, and a change is noticed at most this
  /// much later. It stays well below the time within which a change must be in
  /// force, two seconds in a small fleet and three in a large one.
  static Duration watchInterval(std::size_t hosts);

  struct Host {
    std::string dataCentre;
    double processorShare = 1;
  };

  StoreWatcherSelector(std::string self, const Host &host);

  void setHost(const std::string &name, const Host &host);
  void removeHost(const std::string &name);

  /// Handles an update from a host that watches and can reach the store.
  void onWatcherUpdate(const std::string &from, TimePoint now);
  /// Handles the version of a peer's replica; `own` is this host's.
  void onVersion(const std::string &from, const StoreVersion &version,
                 const StoreVersion &own, TimePoint now);

  /// True if this host has to watch the store itself.
  bool mustWatch(TimePoint now) const;
  /// Number of hosts that rank above this one among those whose watches this
  /// host's replica depends on: its data centre's, or all of a small fleet.
  std::size_t rank() const;
  /// Hosts to which this one sends updates while it watches.
  std::vector<std::string> updateRecipients() const;
  /// The host to fetch missing changes from now, if any. The fetch is in
  /// progress from then on, and no other begins until it has ended.
  std::optional<std::string> fetchSource(const StoreVersion &own,
                                         TimePoint now);
  /// Handles a reply; `isNews` if it brought the replica forward.
  void onFetchReply(const std::string &from, bool isNews) {
    fetch_.onReply(from, isNews);
  }
  /// Handles the announcement of a large reply.
  void onFetchReplyAnnounced(const std::string &from, TimePoint now) {
    fetch_.onReplyAnnounced(from, now);
  }
  /// Handles the loss of the connection to a peer.
  void onConnectionLost(const std::string &host) {
    fetch_.onConnectionLost(host);
  }

private:
  struct Peer {
    Host host;
    double score = 0;
    TimePoint lastUpdateAt;
  };

  /// The host to fetch the newest version from: not the one of the latest
  /// failure, one that watches, the latest to report.
  const std::string &chooseSource(TimePoint now) const;
  double scoreOf(const std::string &name, const Host &host) const;

  std::string self_;
  Host host_;
  double score_ = 0;
  std::map<std::string, Peer> peers_;
  /// Newest version that a peer has reported, the peers that have reported it,
  /// the latest last, and since when this host has been behind.
  StoreVersion newestVersion_;
  std::vector<std::string> newestVersionHosts_;
  TimePoint behindSince_;
  PeerFetch fetch_;
};

} // namespace auburnspring

#endif
