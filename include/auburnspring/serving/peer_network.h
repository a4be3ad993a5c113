#ifndef AUBURNSPRING_SERVING_PEER_NETWORK_H
#define AUBURNSPRING_SERVING_PEER_NETWORK_H

#include "auburnspring/base/handler_scope.h"
#include "auburnspring/decision/batching_host.h"
#include "auburnspring/peer/peer_mesh.h"

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// Membership and transport of the serving hosts. A peer's state follows from
/// its entry in the store and from the messages received from it.
class PeerNetwork {
public:
  /// Peers that receive each heartbeat.
  static constexpr std::size_t HeartbeatFanout = 12;

  struct Options {
    std::string host;
    Endpoint listen;
    std::string peerKey;
    std::uint64_t incarnation = 0;
    /// Processors that this host may use; may be a fraction.
    double processorShare = 1;
  };
  using MessageHandler =
      std::function<void(const std::string &from, PeerMessage message)>;

  /// Called when the connection to a host is lost; the host may still run.
  using DisconnectHandler = std::function<void(const std::string &host)>;

  PeerNetwork(asio::io_context &io, Options options,
              MessageHandler messageHandler,
              DisconnectHandler disconnectHandler);

  absl::Status start();
  void stop();

  /// Adds or updates a host that the store lists.
  void setListed(const std::string &host, const Endpoint &endpoint,
                 double processorShare, TimePoint now);
  /// The store no longer lists the host.
  void setUnlisted(const std::string &host, TimePoint now);
  /// A leaving host finishes its work and takes no new work.
  void setLeaving(const std::string &host, bool leaving);

  /// The host did not respond to a probe: it gets no work until its next
  /// message, or for a time that doubles while none arrives.
  void suspect(const std::string &host, TimePoint now);

  /// A host that is cut from all upstreams, which may be this one, forms no
  /// batches.
  void setCut(const std::string &host, bool isCut);
  /// Pools of which a host, which may be this one, reaches too little to form
  /// their batches.
  void setLostPools(const std::string &host, std::vector<std::string> pools);
  /// Where the peer takes connections of peers; not set for an unknown one.
  std::optional<Endpoint> endpoint(const std::string &host) const;

  bool isListed(const std::string &host) const;
  /// Hosts that take new work, including this one unless it is leaving.
  std::vector<std::string> availableHosts(TimePoint now) const;
  bool isAvailable(const std::string &host, TimePoint now) const;
  /// The host is considered running, whether or not it takes new work.
  bool isReachable(const std::string &host, TimePoint now) const;
  /// True if most of the peers that send this host heartbeats have done so
  /// within `span`.
  bool hearsMost(Duration span, TimePoint now) const;
  std::vector<std::string> reachablePeers(TimePoint now) const;
  /// The available hosts with their processors, valid until the next change.
  std::vector<BatchingCandidate> candidates(TimePoint now) const;
  std::optional<TimePoint> lastMessageAt(const std::string &host) const;

  /// Available host with reach that forms the batches of a pool; this host if
  /// there is no other.
  std::string batchingHost(const std::string &pool, TimePoint now) const;

  void send(const std::string &host, PeerMessage message);
  /// Sends to at most `fanout` peers: the successors of this host in the order
  /// of names.
  void broadcast(const PeerMessage &message, std::size_t fanout);

  const std::string &self() const { return options_.host; }
  std::size_t peerCount() const { return peers_.size(); }
  /// Forgets hosts that the store has not listed for long and that send no
  /// messages.
  void forgetDeparted(TimePoint now);
  PeerMesh::Counters counters() const { return mesh_.counters(); }

private:
  struct Peer {
    Endpoint endpoint;
    double processorShare = 1;
    TimePoint listedAt;
    TimePoint lastMessageAt;
    TimePoint unlistedAt;
    TimePoint suspectUntil;
    /// Suspicions since the last message.
    std::int64_t suspicions = 0;
    bool isListed = false;
    bool isLeaving = false;
    bool isCut = false;
    std::vector<std::string> lostPools;
    bool messageReceived = false;
  };

  /// Runs the action on the event loop unless this object is gone by then.
  void post(std::function<void()> action);
  void onMessage(const std::string &from, PeerMessage message);
  bool isAvailable(const Peer &peer, TimePoint now) const;
  /// The host, which may be this one, reaches the upstreams of the pool.
  bool mayBatch(const std::string &host, const std::string &pool) const;

  asio::io_context &io_;
  Options options_;
  MessageHandler messageHandler_;
  DisconnectHandler disconnectHandler_;
  HandlerScope handlers_;
  PeerMesh mesh_;
  std::map<std::string, Peer> peers_;
  bool selfLeaving_ = false;
  bool selfCut_ = false;
  std::vector<std::string> selfLostPools_;
};

} // namespace auburnspring

#endif
