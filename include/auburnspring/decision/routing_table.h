#ifndef AUBURNSPRING_DECISION_ROUTING_TABLE_H
#define AUBURNSPRING_DECISION_ROUTING_TABLE_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/route.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnspring {

/// A stage of work that must finish before the request itself can run.
struct PieceStage {
  std::string pool;
  /// Indices of the stages whose results it needs.
  std::vector<std::uint32_t> dependencies;
  /// Approximate size of one result, in bytes.
  std::int64_t resultBytes = 0;
};

struct PoolShare {
  std::string pool;
  double weight = 1;
};

/// A route of the operator's configuration.
struct ServedRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RetryPolicy retryPolicy = RetryPolicy::Never;
  /// The response is a stream of events.
  bool isStream = false;
  /// A stream can resume at another upstream after its last event.
  bool isResumable = false;
  bool isPublic = false;
  Duration timeout{0};
  /// Latency target of a response or of a stream's first event.
  Duration targetLatency{0};
  /// Latency target of each further event, from the event before it.
  Duration eventGap{0};
  /// 0 is the most urgent.
  std::int64_t priority = 0;
  /// Maximum number of upstreams that may run one request.
  std::int64_t maxAttempts = 1;
  std::vector<PoolShare> pools;
  std::vector<PieceStage> stages;

  /// True if a request that may have run may be sent to another upstream.
  bool isRetryable() const {
    return retryPolicy == RetryPolicy::Always || isResumable;
  }
};

/// Capacity of one model engine of a pool.
struct EngineLimits {
  std::int64_t slots = 1;
  std::int64_t cacheTokens = 0;
};

/// Batching limits of one upstream of a pool.
struct BatchLimits {
  /// Concurrent calls, and calls that may queue.
  std::int64_t slots = 1;
  std::int64_t queue = 0;
  /// Pieces in one call.
  std::int64_t batch = 1;
  /// Expected time of a call: `callTime` plus `itemTime` for each piece.
  Duration callTime{0};
  Duration itemTime{0};
  /// Memory for results, in bytes.
  std::int64_t resultMemoryBytes = 0;
  /// How long a result is kept if it is not released.
  Duration resultTtl{0};
};

struct ServedPool {
  std::string name;
  std::string healthPath;
  /// Connections that one upstream accepts, over all hosts.
  std::int64_t connectionLimit = 0;
  std::optional<EngineLimits> engine;
  std::optional<BatchLimits> batches;
  /// Requests a second that a cold upstream takes of all hosts together; 0 if
  /// the pool's upstreams need no warm-up.
  double coldPerSecond = 0;
  /// How long an upstream stays cold after its start.
  Duration coldTime{0};
};

struct ServedOrganisation {
  std::string name;
  std::vector<std::string> keys;
  /// Overrides the route's priority.
  std::optional<std::int64_t> priority;
};

/// Size limits and time-outs of callers' requests.
struct CallerLimits {
  std::int64_t maxHeadBytes = 16 << 10;
  std::int64_t maxBodyBytes = 4 << 20;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration, indexed for look-ups.
class RoutingTable {
public:
  std::int64_t version = 0;
  std::vector<ServedRoute> routes;
  std::map<std::string, ServedPool, std::less<>> pools;
  std::vector<ServedOrganisation> organisations;
  CallerLimits limits;

  /// Builds the indices; to be called once all fields are set.
  void buildIndex();

  /// The route of `host` with the longest matching path prefix; null if there
  /// is none.
  const ServedRoute *match(std::string_view host, std::string_view path) const;

  /// The organisation that an API key belongs to; null for an unknown key.
  const ServedOrganisation *organisationForKey(std::string_view key) const;

  const ServedPool *pool(std::string_view name) const;

private:
  std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_;
  std::unordered_map<std::string, std::size_t> organisationByKey_;
};

} // namespace auburnspring

#endif
