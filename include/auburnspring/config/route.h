#ifndef AUBURNSPRING_CONFIG_ROUTE_H
#define AUBURNSPRING_CONFIG_ROUTE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

enum class StageKind { Encode, Retrieve, Rerank, Generate, Call };

/// Whether a request on a route may be executed more than once.
enum class RepeatRule { Always, Never };

/// One step of a pipeline.
struct Stage {
  std::string name;
  StageKind kind = StageKind::Call;
  /// Pool of upstreams that run the stage.
  std::string pool;
  /// Model that a Generate stage asks for.
  std::string model;
  /// Parallel parts, joined by index (retrieval over shards).
  std::int64_t parts = 1;
  /// Upper bound on generated tokens of a Generate stage.
  std::int64_t maxTokens = 256;
  /// Expected time of the stage until the host has observed its own.
  Duration expected = std::chrono::milliseconds(50);
};

/// A named pipeline with its deadline and repeat rule.
struct Route {
  std::string name;
  /// Organisation whose operators own the route.
  std::string owner;
  std::vector<Stage> stages;
  Duration deadline = std::chrono::seconds(5);
  RepeatRule repeat = RepeatRule::Always;
  /// 0 is served first, 9 last.
  std::int64_t priority = 5;
  /// What a late answer is worth against cost: 0 spends least, 1 hedges most.
  double attainmentWeight = 0.5;

  /// True for a stage that may run at most once for a request.
  bool runsOnce(const Stage &stage) const {
    return repeat == RepeatRule::Never && stage.kind == StageKind::Call;
  }
};

const char *toString(StageKind kind);

} // namespace auburnspring

#endif
