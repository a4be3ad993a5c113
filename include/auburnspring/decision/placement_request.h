#ifndef AUBURNSPRING_DECISION_PLACEMENT_REQUEST_H
#define AUBURNSPRING_DECISION_PLACEMENT_REQUEST_H

#include "auburnspring/decision/engine_speed.h"
#include "auburnspring/decision/prompt_bands.h"

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspring {

/// One part of a prompt; requests with the same part id share its tokens.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

/// Properties of a request that the choice of an upstream depends on.
struct PlacementRequest {
  /// Parts of the prompt in order; the last is not shared with other requests.
  absl::Span<const PromptPart> prompt;
  std::int64_t promptTokens = 0;
  std::int64_t outputTokens = 0;
  /// Ids of upstreams that have already been sent this request.
  absl::Span<const std::string> avoid;
  /// The only software version that may serve the request, since a stream goes
  /// on at the version that began it; any if not set.
  std::optional<std::string_view> softwareVersion;
  /// Data centre of each stage result that the upstream will fetch.
  absl::Span<const std::string> inputDataCentres;
  /// Speed at which the engines of the pool prefill.
  double prefillMillisPerToken = EngineSpeedEstimator::InitialMillisPerToken;
  /// Longest pause between two events of a stream that is on time; 0 if the
  /// streams of the route have no such target.
  Duration eventGap{0};
  /// Prompt lengths of the pool; null if it is not divided by them.
  const PromptBands *bands = nullptr;

  /// Tokens of the parts that other requests may share.
  std::int64_t sharedTokens() const {
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
      tokens += prompt[i].tokens;
    return tokens;
  }
  /// Id of the last shared part, which identifies the shared prefix; empty if
  /// nothing is shared.
  std::string_view sharedKey() const {
    return prompt.size() < 2 ? std::string_view()
                             : std::string_view(prompt[prompt.size() - 2].id);
  }
};

} // namespace auburnspring

#endif
