#ifndef AUBURNSPRING_DECISION_ENGINE_SPEED_H
#define AUBURNSPRING_DECISION_ENGINE_SPEED_H

#include "auburnspring/base/time.h"

#include <cstdint>

namespace auburnspring {

/// Prompt tokens that a model engine reads in a millisecond, as the users'
/// sheets give it for their engines (112 and 125), rounded down.
constexpr std::int64_t PrefillTokensPerMilli = 100;

/// How long an engine reads that many tokens of a prompt.
inline Duration readingTime(std::int64_t tokens) {
  return std::chrono::milliseconds(tokens / PrefillTokensPerMilli);
}

} // namespace auburnspring

#endif
