#ifndef AUBURNSPRING_SERVING_REPLICA_EXCHANGE_H
#define AUBURNSPRING_SERVING_REPLICA_EXCHANGE_H

#include "auburnspring/decision/content_delta.h"
#include "auburnspring/decision/store_watcher_selector.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/store_follower.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

/// Exchanges changes of the store between the replicas of peers: fetches what
/// this host's replica lacks, and answers peers that lack something. Large
/// items go as differences to what the receiver holds.
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
    /// Differences that didn't match what this host holds.
    std::uint64_t failedDeltas = 0;
  };

  ReplicaExchange(PeerNetwork *peers, StoreFollower *follower,
                  StoreWatcherSelector *selector)
      : peers_(peers), follower_(follower), selector_(selector) {}

  /// Fetches what this host lacks, if a peer is known to have it.
  void fetchMissingChanges();
  /// Answers a peer. `removalsAreConfirmed` is as in ReplicaReply.
  void onRequest(const std::string &from, const ReplicaRequest &request,
                 bool removalsAreConfirmed);
  void onReply(const std::string &from, ReplicaReply reply);

  /// Fetches the operator's configuration of a peer that has a newer one than
  /// `own`, which is in force here.
  void fetchConfiguration(const std::string &from, const std::string &own);
  /// Answers a peer with the configuration in force here.
  void onConfigurationRequest(const std::string &from,
                              const OperatorConfigurationRequest &request,
                              const std::string &own);
  /// The configuration in a reply; empty if it can't be put together.
  std::optional<std::string>
  configurationIn(const OperatorConfigurationReply &reply,
                  const std::string &own);
  /// Notes that a reply has been handled; `isNews` if it was newer.
  void onConfigurationReply(const std::string &from, bool isNews) {
    configurationFetch_.onReply(from, isNews);
  }

  void onPeerDisconnected(const std::string &host);

  const Counters &counters() const { return counters_; }

private:
  /// Puts differences in place of values that the receiver holds in part.
  void shrink(ReplicaReply *reply, const std::vector<HeldContent> &held);
  /// Puts values in place of differences; false if one can't be put together.
  bool expand(ReplicaReply *reply);

  PeerNetwork *peers_;
  StoreFollower *follower_;
  StoreWatcherSelector *selector_;
  ContentSplitter splitter_;
  PeerFetch configurationFetch_;
  /// False for the next request after a difference that didn't match.
  bool describesHeld_ = true;
  Counters counters_;
};

} // namespace auburnspring

#endif
