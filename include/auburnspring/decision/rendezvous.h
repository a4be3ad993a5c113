#ifndef AUBURNSPRING_DECISION_RENDEZVOUS_H
#define AUBURNSPRING_DECISION_RENDEZVOUS_H

#include "auburnspring/base/digest.h"

#include <cmath>
#include <cstdint>
#include <string_view>

namespace auburnspring {

/// Rendezvous (highest random weight) hash of a key and a candidate. All hosts
/// rank the same candidates alike, and removing a candidate moves only the keys
/// that were assigned to it.
inline std::uint64_t rendezvousWeight(std::string_view key,
                                      std::string_view candidate) {
  const std::uint64_t seed = stableHash({key.data(), key.size()});
  return stableHash({candidate.data(), candidate.size()}, seed);
}

/// Score for candidates of unequal capacity: a candidate scores highest for a
/// share of the keys in proportion to its capacity, which must be positive.
inline double weightedRendezvousScore(std::string_view key,
                                      std::string_view candidate,
                                      double capacity) {
  constexpr double Range = 18446744073709551616.0;
  const double uniform =
      (static_cast<double>(rendezvousWeight(key, candidate)) + 0.5) / Range;
  return std::log(uniform) / capacity;
}

} // namespace auburnspring

#endif
