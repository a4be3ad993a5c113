#ifndef AUBURNSPRING_DECISION_PLACEMENT_H
#define AUBURNSPRING_DECISION_PLACEMENT_H

#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/served_upstream.h"

#include <absl/types/span.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// One part of a prompt; requests that name the same part share its tokens.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

/// What the choice of an upstream depends on.
struct PlacementRequest {
  /// Parts of the prompt in order; the last belongs to this request alone.
  absl::Span<const PromptPart> prompt;
  std::int64_t promptTokens = 0;
  std::int64_t outputTokens = 0;
  /// Upstreams that have had this request.
  absl::Span<const std::string> avoid;
  /// Results of stages that the upstream will fetch, by data centre.
  absl::Span<const std::string> inputDataCentres;
};

/// The plain upstream that is expected to answer soonest and well: the better
/// of two drawn at random. Null if none takes work.
ServedUpstreamPtr placePlain(absl::Span<const ServedUpstreamPtr> upstreams,
                             const PlacementRequest &request, TimePoint now,
                             std::mt19937_64 *random);

/// The engine that is expected to show the first event soonest. Prompts that
/// share parts go to the same few engines, until those are busier than others.
ServedUpstreamPtr placeEngine(absl::Span<const ServedUpstreamPtr> upstreams,
                              const EngineLimits &limits,
                              const PlacementRequest &request, TimePoint now,
                              std::mt19937_64 *random);

/// Attempts in progress of this host and, as far as known, of its peers.
std::int64_t attemptsAt(const ServedUpstream &upstream, TimePoint now);

} // namespace auburnspring

#endif
