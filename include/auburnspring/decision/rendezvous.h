#ifndef AUBURNSPRING_DECISION_RENDEZVOUS_H
#define AUBURNSPRING_DECISION_RENDEZVOUS_H

#include "auburnspring/base/digest.h"

#include <cmath>
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

/// The same for candidates of unequal capacity: over all subjects a candidate
/// scores highest in proportion to its capacity, which must be positive.
inline double weightedRendezvous(std::string_view subject,
                                 std::string_view candidate, double capacity) {
  constexpr double Range = 18446744073709551616.0;
  const double drawn =
      (static_cast<double>(rendezvousWeight(subject, candidate)) + 0.5) / Range;
  return std::log(drawn) / capacity;
}

} // namespace auburnspring

#endif
