#ifndef AUBURNSPRING_DECISION_RENDEZVOUS_H
#define AUBURNSPRING_DECISION_RENDEZVOUS_H

#include "auburnspring/base/digest.h"

#include <cstdint>
#include <string_view>

namespace auburnspring {

/// Weight of a candidate for a subject. Whoever ranks the same candidates finds
/// the same order, and a candidate that leaves moves only its own subjects.
inline std::uint64_t rendezvousWeight(std::string_view subject,
                                      std::string_view candidate) {
  const std::uint64_t seed = stableHash({subject.data(), subject.size()});
  return stableHash({candidate.data(), candidate.size()}, seed);
}

} // namespace auburnspring

#endif
