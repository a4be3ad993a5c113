#ifndef AUBURNSPRING_DECISION_REQUEST_VALUE_H
#define AUBURNSPRING_DECISION_REQUEST_VALUE_H

#include <algorithm>
#include <cstdint>

namespace auburnspring {

/// Generating one output token takes an engine about as long as prefilling this
/// many prompt tokens.
constexpr double PromptTokensPerOutputToken = 10;

/// Relative value of a request: its size in prompt tokens, scaled by a factor
/// of the priority that the operator sets; 0 is the most urgent.
inline double requestValue(std::int64_t promptTokens, std::int64_t outputTokens,
                           std::int64_t priority) {
  constexpr double PriorityFactors[] = {2.0, 1.0, 0.6, 0.4};
  const auto level = std::clamp<std::int64_t>(priority, 0, 3);
  const double size =
      static_cast<double>(promptTokens) +
      PromptTokensPerOutputToken * static_cast<double>(outputTokens);
  return std::max(size, 1.0) * PriorityFactors[level];
}

} // namespace auburnspring

#endif
