#ifndef AUBURNSPRING_SERVING_REACH_EXCHANGE_H
#define AUBURNSPRING_SERVING_REACH_EXCHANGE_H

#include "auburnspring/decision/helper_selection.h"
#include "auburnspring/decision/peer_message.h"
#include "auburnspring/decision/reach_monitor.h"
#include "auburnspring/decision/upstream_reach.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/peer_network.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace auburnspring {

/// Probes the upstreams when this host seems to be cut from them, and knows the
/// peers that can serve its requests meanwhile.
class ReachExchange {
public:
  ReachExchange(asio::io_context &io, PeerNetwork *peers,
                const UpstreamRegistry *registry, std::string dataCentre,
                std::uint64_t seed)
      : io_(io), peers_(peers), registry_(registry),
        dataCentre_(std::move(dataCentre)), random_(seed) {}

  /// A connection to the upstream that was begun at `begunAt` has been
  /// established, or was refused or has timed out.
  void onConnected(UpstreamState *upstream, TimePoint begunAt);
  void onUnreachable(UpstreamState *upstream, TimePoint begunAt);
  bool isCut() const { return monitor_.isCut(); }
  /// This host reaches no upstream of the pool that may take work, but a peer
  /// does. Only upstreams of the software version count, if one is given.
  bool
  mustHandOver(const std::string &pool,
               std::optional<std::string_view> softwareVersion = std::nullopt);
  /// This host reaches a part of the pool only, and a peer that is not in
  /// `avoid` more of it.
  bool mayHandOver(absl::Span<const std::string> avoid,
                   const std::string &pool) const;

  void onHeartbeat(const std::string &from, const HostHeartbeat &heartbeat);
  /// What this host tells its peers.
  HostReach ownReach(std::int64_t activeRequests, double processorShare) const;

  /// Peer that serves a request, as the upstream of an attempt whose endpoint
  /// takes requests of peers; null if none reaches the pool. Those in `avoid`
  /// are left out.
  UpstreamStatePtr chooseHelper(absl::Span<const std::string> avoid,
                                const std::string &pool);

  /// Begins the probes that are due. Returns true if this host has lost or
  /// found its reach, or that of a pool, in a way that all peers must know.
  bool tick();
  /// Pools of which this host reaches too little to form their batches.
  std::size_t lostPoolCount() const { return lostPools_.size(); }

private:
  struct Peer {
    HostReach reach;
    TimePoint heardAt;
    /// Stands for the peer in the attempts that it serves.
    UpstreamStatePtr state;
  };

  void probe();
  /// Probes the upstreams to which connections have failed.
  void probeLost();
  /// Probes some others of the pool of an upstream that can't be connected to:
  /// the way to them may be lost as well.
  void probePool(const std::string &pool);
  void probeUpstream(const UpstreamStatePtr &upstream);
  /// Connects to one upstream of a pool that a peer has lost, if this host's
  /// own evidence is old.
  void refreshEvidence(const std::string &pool);
  std::vector<HelperCandidate>
  candidates(absl::Span<const std::string> avoid) const;
  bool noteLostPools();
  /// Connects to one upstream if this host's evidence of reach is old, so that
  /// cut peers know whether it can help.
  void refreshEvidence();
  void startProbe(const Endpoint &endpoint, std::function<void(bool)> onEnd);

  asio::io_context &io_;
  PeerNetwork *peers_;
  const UpstreamRegistry *registry_;
  std::string dataCentre_;
  ReachMonitor monitor_;
  bool wasCut_ = false;
  TimePoint refreshedAt_;
  std::map<std::string, Peer> helpers_;
  std::vector<std::string> lostPools_;
  /// The pools among them of which all peers know.
  std::vector<std::string> toldPools_;
  std::map<std::string, TimePoint> poolRefreshedAt_;
  std::map<std::string, TimePoint> poolProbedAt_;
  std::mt19937_64 random_;
  HandlerScope handlers_;
};

} // namespace auburnspring

#endif
