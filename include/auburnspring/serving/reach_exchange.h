#ifndef AUBURNSPRING_SERVING_REACH_EXCHANGE_H
#define AUBURNSPRING_SERVING_REACH_EXCHANGE_H

#include "auburnspring/decision/helper_selection.h"
#include "auburnspring/decision/peer_message.h"
#include "auburnspring/decision/reach_monitor.h"
#include "auburnspring/decision/upstream_registry.h"
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

  /// As ReachMonitor.
  void onConnected(TimePoint begunAt);
  void onUnreachable(const std::string &upstream);
  bool isCut() const { return monitor_.isCut(); }

  void onHeartbeat(const std::string &from, const HostHeartbeat &heartbeat);
  /// What this host tells its peers.
  HostReach ownReach(std::int64_t activeRequests, double processorShare) const;

  /// Peer that serves a request, as the upstream of an attempt whose endpoint
  /// takes requests of peers; null if none has reach. Those in `avoid` are
  /// left out.
  UpstreamStatePtr chooseHelper(absl::Span<const std::string> avoid);

  /// Begins the probes that are due. Returns true if this host has lost or
  /// found its reach since the last call.
  bool tick();

private:
  struct Peer {
    HostReach reach;
    TimePoint heardAt;
    /// Stands for the peer in the attempts that it serves.
    UpstreamStatePtr state;
  };

  void probe();
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
  std::mt19937_64 random_;
};

} // namespace auburnspring

#endif
