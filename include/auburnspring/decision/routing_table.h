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

/// Work that must be done before a request can run.
struct PieceStage {
  std::string pool;
  /// Stages whose results it needs.
  std::vector<std::uint32_t> after;
  /// Approximate size of one result.
  std::int64_t resultBytes = 0;
};

struct PoolShare {
  std::string pool;
  double weight = 1;
};

/// A route as the operator has put it in force.
struct ServedRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RepeatRule repeat = RepeatRule::Never;
  /// The answer is a stream of events.
  bool isStream = false;
  /// A stream may go on at another upstream from its last event.
  bool isResumable = false;
  bool isPublic = false;
  Duration timeout{0};
  /// An answer, or a stream's first event, is in time up to here.
  Duration goal{0};
  /// Longest pause between events that is still in time.
  Duration eventGap{0};
  /// 0 is the most urgent.
  std::int64_t priority = 0;
  /// Upstreams that one caller's attempt may run on.
  std::int64_t maxAttempts = 1;
  std::vector<PoolShare> pools;
  std::vector<PieceStage> stages;

  /// True if an attempt that may have run may still be sent elsewhere.
  bool mayRunAgain() const {
    return repeat == RepeatRule::Always || isResumable;
  }
};

/// What a model engine of a pool can hold.
struct EngineLimits {
  std::int64_t slots = 1;
  std::int64_t cacheTokens = 0;
};

/// How the upstreams of a pool run pieces of stages in batches.
struct BatchLimits {
  /// Calls at once, and calls that may wait, of one upstream.
  std::int64_t slots = 1;
  std::int64_t queue = 0;
  /// Pieces in one call.
  std::int64_t batch = 1;
  Duration callTime{0};
  Duration itemTime{0};
  /// Room for results at one upstream, in bytes.
  std::int64_t roomBytes = 0;
  /// How long a result is kept unless it is released.
  Duration resultLife{0};
};

struct ServedPool {
  std::string name;
  std::string healthPath;
  /// Connections that one upstream accepts from all hosts.
  std::int64_t connectionLimit = 0;
  std::optional<EngineLimits> engine;
  std::optional<BatchLimits> batches;
};

struct ServedOrganisation {
  std::string name;
  std::vector<std::string> keys;
  /// Goes before the route's priority.
  std::optional<std::int64_t> priority;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  std::int64_t maxHeadBytes = 16 << 10;
  std::int64_t maxBodyBytes = 4 << 20;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration, ready to look things up.
class RoutingTable {
public:
  std::int64_t version = 0;
  std::vector<ServedRoute> routes;
  std::map<std::string, ServedPool, std::less<>> pools;
  std::vector<ServedOrganisation> organisations;
  CallerLimits limits;

  /// Builds the indices; call it once when all fields are filled.
  void index();

  /// The route of that host with the longest prefix that begins the path; null
  /// if there is none.
  const ServedRoute *match(std::string_view host, std::string_view path) const;

  /// The organisation that holds a key; null if none does.
  const ServedOrganisation *ownerOf(std::string_view key) const;

  const ServedPool *pool(std::string_view name) const;

private:
  std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_;
  std::unordered_map<std::string, std::size_t> organisationByKey_;
};

} // namespace auburnspring

#endif
