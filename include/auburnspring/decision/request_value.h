#ifndef AUBURNSPRING_DECISION_REQUEST_VALUE_H
#define AUBURNSPRING_DECISION_REQUEST_VALUE_H

#include <algorithm>
#include <cstdint>

namespace auburnspring {

/// An output token takes about as long as reading so many of a prompt.
constexpr double PromptTokensPerOutputToken = 10;

/// What a request is worth beside others: its size in tokens, scaled by the
/// rank that the operator gives its route.
inline double requestWorth(std::int64_t promptTokens, std::int64_t outputTokens,
                           std::int64_t priority) {
  constexpr double RankFactors[] = {2.0, 1.0, 0.6, 0.4};
  const auto rank = std::clamp<std::int64_t>(priority, 0, 3);
  const double size =
      static_cast<double>(promptTokens) +
      PromptTokensPerOutputToken * static_cast<double>(outputTokens);
  return std::max(size, 1.0) * RankFactors[rank];
}

} // namespace auburnspring

#endif
