#ifndef AUBURNSPRING_DECISION_PLACEMENT_H
#define AUBURNSPRING_DECISION_PLACEMENT_H

#include "auburnspring/decision/placement_request.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/upstream_forecast.h"
#include "auburnspring/decision/upstream_state.h"

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// The upstream for a request, which need not be an engine, and what the
/// request is expected to meet there.
struct EngineChoice {
  UpstreamStatePtr engine;
  std::int64_t pendingTokens = 0;
  UpstreamForecast forecast;
};

/// Chooses among upstreams that are not model engines: the one of two random
/// candidates with the lower cost in latency, load and failure rate. The
/// upstream is null if there is no candidate.
EngineChoice chooseForCall(absl::Span<const UpstreamStatePtr> upstreams,
                           const PlacementRequest &request, TimePoint now,
                           std::mt19937_64 *random);

/// The upstream of chooseForCall().
inline UpstreamStatePtr
placeOnUpstream(absl::Span<const UpstreamStatePtr> upstreams,
                const PlacementRequest &request, TimePoint now,
                std::mt19937_64 *random) {
  return chooseForCall(upstreams, request, now, random).engine;
}

/// Chooses the model engine with the lowest cost. Prompts that share parts go
/// to the same few engines, until those are busier than others. The engine is
/// null if there is no candidate.
EngineChoice chooseEngine(absl::Span<const UpstreamStatePtr> upstreams,
                          const EngineLimits &limits,
                          const PlacementRequest &request, TimePoint now,
                          std::mt19937_64 *random);

/// The engine of chooseEngine().
inline UpstreamStatePtr
placeOnEngine(absl::Span<const UpstreamStatePtr> upstreams,
              const EngineLimits &limits, const PlacementRequest &request,
              TimePoint now, std::mt19937_64 *random) {
  return chooseEngine(upstreams, limits, request, now, random).engine;
}

} // namespace auburnspring

#endif
