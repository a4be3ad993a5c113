#ifndef AUBURNSPRING_SERVING_SERVING_HOST_H
#define AUBURNSPRING_SERVING_SERVING_HOST_H

#include "auburnspring/decision/missed_deliveries.h"
#include "auburnspring/decision/store_watcher_selector.h"
#include "auburnspring/http/server.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/active_request.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/replica_exchange.h"
#include "auburnspring/serving/serving_context.h"
#include "auburnspring/serving/settings.h"
#include "auburnspring/serving/store_follower.h"
#include "auburnspring/serving/stream_origin_exchange.h"

#include <absl/status/status.h>
#include <asio/signal_set.hpp>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace auburnspring {

/// One serving host: it accepts requests of callers, forwards them to
/// upstreams, shares batching with its peers and reads its configuration from
/// the platform's store. It keeps no persistent state.
class ServingHost {
public:
  ServingHost(asio::io_context &io, ServingSettings settings,
              const Dialect *dialect, MetadataStore *store);
  ~ServingHost();
  ServingHost(const ServingHost &) = delete;
  ServingHost &operator=(const ServingHost &) = delete;

  absl::Status start();
  /// Drains gracefully: after a delay no new connections are accepted, requests
  /// in progress finish, then the event loop stops.
  void stop();
  /// Applies the settings that can change at run time.
  void reload(const ServingSettings &settings);

  /// Address that callers connect to, with the port that is actually bound.
  Endpoint callersEndpoint() const { return callerServer_.endpoint(); }
  /// Address that takes requests of peers.
  Endpoint handOverEndpoint() const { return handOverServer_.endpoint(); }
  Endpoint readinessEndpoint() const { return readinessServer_.endpoint(); }
  const ServingContext &context() const { return context_; }

private:
  // Changes of the store.
  void onStoreUpdate(const StoreUpdate &update);
  void onConfiguration(const StoreChange &change);
  void applyConfiguration(const std::string &text, std::string_view source);
  void onUpstream(const StoreChange &change, bool isRemovalConfirmed);
  void onEvacuation(const StoreChange &change);
  void onHost(const StoreChange &change);
  void onStoreReachable(bool reachable, std::string_view reason);

  // Peers.
  void onPeerMessage(const std::string &from, const PeerMessage &message);
  void onHeartbeat(const std::string &from, const HostHeartbeat &heartbeat);
  /// Tells some cut peers of a large fleet that this host may help.
  void answerCutPeer(const std::string &from, const HostHeartbeat &heartbeat);
  void onVersionUpdate(const std::string &from,
                       const StoreVersionUpdate &update);
  void onPeerStoreVersion(const std::string &from, const StoreVersion &version,
                          Duration age);
  void requestNewerConfiguration(const std::string &from,
                                 const HostHeartbeat &heartbeat);
  void onConfigurationReply(const std::string &from,
                            const OperatorConfigurationReply &reply);
  /// Version of the configuration in force; 0 before the first.
  std::int64_t configurationVersion() const {
    return context_.table ? context_.table->version : 0;
  }
  void sendVersionUpdates();
  /// The next heartbeat, with what has not been announced yet.
  HostHeartbeat takeHeartbeat();
  /// A heartbeat that holds nothing that is announced only once.
  HostHeartbeat stateHeartbeat();
  /// Sends again what peers may have missed with a connection that was lost.
  void repeatMissed(TimePoint now);
  /// Notes which software versions the pools show.
  void noteVersions(TimePoint now);
  /// Has the origins of streams stored whose pools have several versions.
  void storeOrigins(TimePoint now);

  // Callers, readiness probes and metrics.
  void onCaller(std::shared_ptr<http::Exchange> exchange);
  void onHandedOver(std::shared_ptr<http::Exchange> exchange);
  void startRequest(std::shared_ptr<http::Exchange> exchange,
                    ActiveRequest::Source source);
  /// Requests in progress that peers have handed over.
  std::int64_t handedOverCount() const;
  void onReadiness(http::Exchange *exchange);
  void onMetrics(http::Exchange *exchange);
  bool isReady() const;

  void tick();
  void scheduleTick();
  void checkStopped();
  bool isStopping() const { return context_.stop.has_value(); }
  /// Time at which requests in progress are ended.
  TimePoint requestsEndAt(TimePoint stoppingSince) const;

  asio::io_context &io_;
  ServingSettings settings_;
  const Dialect *dialect_;
  ServingContext context_;
  PeerNetwork peers_;
  RequestLimitExchange requestLimits_;
  PieceDispatcher pieceDispatcher_;
  StreamOriginExchange streamOrigins_;
  StreamOriginStore originStore_;
  PartGuardExchange partGuard_;
  ReachExchange reach_;
  StoreFollower follower_;
  http::Server callerServer_;
  /// Takes requests of peers that reach no upstream.
  http::Server handOverServer_;
  http::Server readinessServer_;
  http::Server metricsServer_;
  http::Timer tickTimer_;
  std::unordered_map<ActiveRequest *, std::shared_ptr<ActiveRequest>> requests_;
  MissedDeliveries missedDeliveries_;
  StoreWatcherSelector watcherSelector_;
  ReplicaExchange replicaExchange_;
  std::uint64_t ticks_ = 0;
  std::uint64_t repeatedDeliveries_ = 0;
  /// When the replica was last known to be current, as of the latest tick: an
  /// item that it did not have then was written later.
  TimePoint replicaConfirmedAt_;
  /// The configuration in force as the operator wrote it, for peers that found
  /// an older one in a store that was restored from a copy.
  std::string configurationText_;
  bool idleConnectionsClosed_ = false;
  bool deregistered_ = false;
  /// Of requests that have ended, which may outlive this object.
  HandlerScope handlers_;
};

} // namespace auburnspring

#endif
