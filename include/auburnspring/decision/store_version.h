#ifndef AUBURNSPRING_DECISION_STORE_VERSION_H
#define AUBURNSPRING_DECISION_STORE_VERSION_H

#include <cstdint>
#include <tuple>

namespace auburnspring {

/// A state of the platform's store. The era rises each time the store is
/// restored from a copy. The revisions after the copy are then assigned again,
/// so two states are ordered by era first.
struct StoreVersion {
  std::int64_t era = 0;
  std::int64_t revision = 0;

  friend bool operator==(const StoreVersion &a, const StoreVersion &b) {
    return a.era == b.era && a.revision == b.revision;
  }
  friend bool operator!=(const StoreVersion &a, const StoreVersion &b) {
    return !(a == b);
  }
  friend bool operator<(const StoreVersion &a, const StoreVersion &b) {
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
  }
  friend bool operator<=(const StoreVersion &a, const StoreVersion &b) {
    return !(b < a);
  }
};

} // namespace auburnspring

#endif
