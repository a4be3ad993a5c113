#ifndef AUBURNSPRING_SERVING_SERVING_CONTEXT_H
#define AUBURNSPRING_SERVING_SERVING_CONTEXT_H

#include "auburnspring/decision/duration_estimator.h"
#include "auburnspring/decision/engine_speed.h"
#include "auburnspring/decision/planned_stop.h"
#include "auburnspring/decision/pool_version_history.h"
#include "auburnspring/decision/retry_quota.h"
#include "auburnspring/decision/route_durations.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/serving/dialect.h"
#include "auburnspring/serving/part_guard_exchange.h"
#include "auburnspring/serving/piece_dispatcher.h"
#include "auburnspring/serving/reach_exchange.h"
#include "auburnspring/serving/request_limit_exchange.h"
#include "auburnspring/serving/response_budget.h"
#include "auburnspring/serving/serving_metrics.h"
#include "auburnspring/serving/store_follower.h"
#include "auburnspring/serving/stream_origin_exchange.h"
#include "auburnspring/serving/stream_origin_store.h"
#include "auburnspring/serving/upstream_speed_exchange.h"

#include <asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// State shared by the requests of a host. Used only on the event loop's
/// thread.
struct ServingContext {
  asio::io_context *io = nullptr;
  const Dialect *dialect = nullptr;
  /// Configuration in force; null until one has been read.
  std::shared_ptr<const RoutingTable> table;
  ResponseBudget responseBudget;
  UpstreamRegistry registry;
  RetryQuota retryQuota;
  PieceDispatcher *pieceDispatcher = nullptr;
  StreamOriginExchange *streamOrigins = nullptr;
  StreamOriginStore *originStore = nullptr;
  StoreFollower *follower = nullptr;
  PartGuardExchange *partGuard = nullptr;
  RequestLimitExchange *requestLimits = nullptr;
  UpstreamSpeedExchange speeds{&registry};
  ReachExchange *reach = nullptr;
  /// Shared by all hosts; proves that a request comes from a peer.
  std::string peerKey;
  PoolVersionHistory versionHistory;
  ServingMetrics metrics;
  /// Recent time from the submission of a stage to its results, by pool.
  DurationEstimator stageDurations;
  /// Speed of the engines, by pool.
  std::unordered_map<std::string, EngineSpeedEstimator> engineSpeeds;
  /// Prompt lengths that this host sends, by pool.
  std::unordered_map<std::string, PromptBands> promptBands;
  /// Recent time from the start of an attempt to its first event, less the
  /// expected prefill time, by pool.
  DurationEstimator firstEventDelays;
  /// Longest timeout that callers of each route have sent. A caller with a
  /// shorter one is taken to be retrying.
  std::unordered_map<std::string, Duration> longestTimeout;
  RouteDurations routeDurations;
  /// Set once the host has been asked to stop.
  std::optional<PlannedStop> stop;
  std::mt19937_64 random;
};

} // namespace auburnspring

#endif
