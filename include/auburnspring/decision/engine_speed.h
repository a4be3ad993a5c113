#ifndef AUBURNSPRING_DECISION_ENGINE_SPEED_H
#define AUBURNSPRING_DECISION_ENGINE_SPEED_H

#include "auburnspring/base/time.h"

#include <cstdint>

namespace auburnspring {

/// Prompt tokens that a model engine prefills per millisecond. Engines in use
/// are specified at 112 and 125; rounded down.
constexpr std::int64_t PrefillTokensPerMs = 100;

/// Time that an engine takes to prefill this many prompt tokens.
inline Duration prefillDuration(std::int64_t tokens) {
  return std::chrono::milliseconds(tokens / PrefillTokensPerMs);
}

} // namespace auburnspring

#endif
