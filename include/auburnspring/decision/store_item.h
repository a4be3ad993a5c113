#ifndef AUBURNSPRING_DECISION_STORE_ITEM_H
#define AUBURNSPRING_DECISION_STORE_ITEM_H

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// A write or removal of one item in the platform's store. The revision belongs
/// to the era of the read or watch that returned the change.
struct StoreChange {
  std::string key;
  std::string value;
  std::int64_t revision = 0;
  bool removed = false;
  /// The store was restored from a copy that has this write; it may have been
  /// followed by others that the copy lacks.
  bool isFromCopy = false;
  /// Revisions of earlier writes of the item that this change replaces and its
  /// receiver may not have seen.
  std::vector<std::int64_t> replacedWrites = {};
};

/// Changes that were new to a replica.
struct StoreUpdate {
  std::vector<StoreChange> changes;
  /// The source has been connected to the store for long enough that a missing
  /// item was removed and has not merely expired.
  bool removalsAreConfirmed = false;
};

} // namespace auburnspring

#endif
