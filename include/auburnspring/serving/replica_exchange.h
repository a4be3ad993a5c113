#ifndef AUBURNSPRING_SERVING_REPLICA_EXCHANGE_H
#define AUBURNSPRING_SERVING_REPLICA_EXCHANGE_H

#include "auburnspring/decision/store_watcher_selector.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/store_follower.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// Exchanges changes of the store between the replicas of peers: fetches what
/// this host's replica lacks, and answers peers that lack something.
class ReplicaExchange {
public:
  struct Counters {
    std::uint64_t fetches = 0;
    std::uint64_t replies = 0;
    /// Bytes of the values in replies that were sent and received.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /// Replies that brought nothing new.
    std::uint64_t outdatedReplies = 0;
  };

  ReplicaExchange(PeerNetwork *peers, StoreFollower *follower,
                  StoreWatcherSelector *selector)
      : peers_(peers), follower_(follower), selector_(selector) {}

  /// Fetches what this host lacks, if a peer is known to have it.
  void fetchMissingChanges();
  /// Answers a peer. `removalsAreConfirmed` is as in ReplicaReply.
  void onRequest(const std::string &from, const ReplicaRequest &request,
                 bool removalsAreConfirmed);
  void onReply(const std::string &from, const ReplicaReply &reply);
  void onPeerDisconnected(const std::string &host);

  const Counters &counters() const { return counters_; }

private:
  PeerNetwork *peers_;
  StoreFollower *follower_;
  StoreWatcherSelector *selector_;
  Counters counters_;
};

} // namespace auburnspring

#endif
