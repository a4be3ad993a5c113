#ifndef AUBURNSPRING_CONFIG_ROUTE_H
#define AUBURNSPRING_CONFIG_ROUTE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

enum class StageKind { Encode, Retrieve, Rerank, Generate, Call };

/// Whether the call stage of a request may be executed more than once.
enum class RetryPolicy { Always, Never };

/// One step of a pipeline.
struct Stage {
  std::string name;
  StageKind kind = StageKind::Call;
  /// Pool of upstreams that run the stage.
  std::string pool;
  /// Model name sent with a Generate stage.
  std::string model;
  /// Parallel sub-requests whose results are joined by index (retrieval over
  /// shards).
  std::int64_t parts = 1;
  /// Upper bound on generated tokens of a Generate stage.
  std::int64_t maxTokens = 256;
  /// Estimated duration of the stage until the host has measurements.
  Duration expectedDuration = std::chrono::milliseconds(50);
};

/// A named pipeline with its deadline and retry policy.
struct Route {
  std::string name;
  /// Organisation that owns the route.
  std::string owner;
  std::vector<Stage> stages;
  Duration deadline = std::chrono::seconds(5);
  RetryPolicy retryPolicy = RetryPolicy::Always;
  /// 0 is the highest, 9 the lowest.
  std::int64_t priority = 5;
  /// Weight of meeting the deadline against cost: 0 hedges least, 1 most.
  double attainmentWeight = 0.5;

  /// True if the stage may be executed at most once per request.
  bool runsAtMostOnce(const Stage &stage) const {
    return retryPolicy == RetryPolicy::Never && stage.kind == StageKind::Call;
  }
};

const char *toString(StageKind kind);

} // namespace auburnspring

#endif
