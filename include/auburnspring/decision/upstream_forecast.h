#ifndef AUBURNSPRING_DECISION_UPSTREAM_FORECAST_H
#define AUBURNSPRING_DECISION_UPSTREAM_FORECAST_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/placement_request.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/upstream_state.h"

#include <cstdint>

namespace auburnspring {

/// What a request is expected to meet at an upstream. Choice of an upstream,
/// admission and explanations all use it.
struct UpstreamForecast {
  /// Time from dispatch to the first event of a stream, or to the response.
  Duration firstEvent{0};
  /// A slot, and memory for the request, are free.
  bool hasRoom = true;
  /// Prompt tokens, of all requests there, that the engine has to prefill
  /// before the first event.
  std::int64_t pendingTokens = 0;
  /// What the choice goes by, in ms: the expected time, and what the request
  /// costs others there or may lose. The lowest is best.
  double cost = 0;
};

/// What an engine is expected to keep of the parts that a prompt shares.
enum class PrefixState {
  /// The prompt shares no part.
  NotShared,
  Kept,
  ProbablyKept,
  Missing,
};

/// Attempts in progress of this host and, as recently reported, of its peers.
std::int64_t attemptsAt(const UpstreamState &upstream, TimePoint now);

/// Forecast for a call to an upstream that is no engine.
UpstreamForecast forecastCall(const UpstreamState &upstream, TimePoint now);

/// Forecast for a stream at a model engine.
UpstreamForecast forecastStream(const UpstreamState &engine,
                                const EngineLimits &limits,
                                const PlacementRequest &request,
                                PrefixState prefix, TimePoint now);

} // namespace auburnspring

#endif
