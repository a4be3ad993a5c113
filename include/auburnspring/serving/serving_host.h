#ifndef AUBURNSPRING_SERVING_SERVING_HOST_H
#define AUBURNSPRING_SERVING_SERVING_HOST_H

#include "auburnspring/decision/store_watch_duty.h"
#include "auburnspring/http/server.h"
#include "auburnspring/serving/caller_run.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/serving_context.h"
#include "auburnspring/serving/settings.h"
#include "auburnspring/serving/store_follower.h"

#include <absl/status/status.h>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace auburnspring {

/// One serving host: callers in front, upstreams behind, peers beside, and the
/// platform's store for what must last. It keeps nothing of its own.
class ServingHost {
public:
  ServingHost(asio::io_context &io, ServingSettings settings,
              const Dialect *dialect, MetadataStore *store);
  ~ServingHost();
  ServingHost(const ServingHost &) = delete;
  ServingHost &operator=(const ServingHost &) = delete;

  absl::Status start();
  /// Takes no new connections after a while, finishes what was read, then ends
  /// the loop.
  void stop();
  /// The settings file has changed.
  void reload(const ServingSettings &settings);

  /// Where callers connect, with the port that was picked if it was 0.
  Endpoint callersEndpoint() const { return callers_.endpoint(); }
  Endpoint readinessEndpoint() const { return readiness_.endpoint(); }
  const ServingContext &context() const { return context_; }

private:
  // Beliefs.
  void onStoreChanges(const std::vector<StoreChange> &changes);
  void onConfiguration(const StoreChange &change);
  void onUpstream(const StoreChange &change);
  void onHost(const StoreChange &change);
  void onStoreReachable(bool reachable, std::string_view why);

  // Peers.
  void onPeerMessage(const std::string &from, const PeerMessage &message);
  void onBeat(const std::string &from, const HostBeat &beat);
  void onReplicaRequest(const std::string &from, const ReplicaRequest &request);
  void onReplicaReply(const ReplicaReply &reply);
  void onNews(const std::string &from, const StoreNews &news);
  void askIfBehind();
  void tellNews();
  HostBeat beat() const;

  // Callers and the platform.
  void onCaller(std::shared_ptr<http::Exchange> exchange);
  void onReadiness(http::Exchange *exchange);
  void onMetrics(http::Exchange *exchange);
  bool isReady() const;

  void tick();
  void scheduleTick();
  void checkStopped();

  asio::io_context &io_;
  ServingSettings settings_;
  const Dialect *dialect_;
  ServingContext context_;
  PeerNetwork peers_;
  PieceDesk pieces_;
  StoreFollower follower_;
  http::Server callers_;
  http::Server readiness_;
  http::Server metrics_;
  asio::steady_timer tickTimer_;
  std::unordered_map<CallerRun *, std::shared_ptr<CallerRun>> runs_;
  StoreWatchDuty duty_;
  std::uint64_t ticks_ = 0;
  /// While changes of a peer are applied that has the store.
  bool removalsAreCertain_ = false;
  bool stopping_ = false;
  bool idleClosed_ = false;
  bool withdrawn_ = false;
  TimePoint stoppingSince_;
};

} // namespace auburnspring

#endif
