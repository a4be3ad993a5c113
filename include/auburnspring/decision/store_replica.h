#ifndef AUBURNSPRING_DECISION_STORE_REPLICA_H
#define AUBURNSPRING_DECISION_STORE_REPLICA_H

#include "auburnspring/decision/store_item.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace auburnspring {

/// This host's replica of the items that it watches in the platform's store. It
/// is updated from watches and reads, and from peers while the store can't be
/// reached. An item never returns to an older revision, in whatever order
/// changes arrive.
class StoreReplica {
public:
  /// Changes that are kept so that peers can catch up.
  static constexpr std::size_t MaxJournalSize = 4000;

  /// Applies changes up to `revision`; returns those that were new.
  std::vector<StoreChange> apply(const std::vector<StoreChange> &changes,
                                 std::int64_t revision);

  /// Replaces the content by a full read at `revision`. Items that are missing
  /// from it are removed, unless they are newer than the read.
  std::vector<StoreChange> replace(const std::vector<StoreChange> &items,
                                   std::int64_t revision);

  /// Appends all changes after `revision` to `out`; false if the journal does
  /// not reach back that far.
  bool changesAfter(std::int64_t revision, std::vector<StoreChange> *out) const;

  /// All existing items, without tombstones.
  std::vector<StoreChange> snapshot() const;

  /// Store revision up to which the replica is complete; 0 before the first
  /// read.
  std::int64_t revision() const { return revision_; }
  std::size_t size() const { return items_.size(); }

private:
  struct Item {
    std::int64_t revision = 0;
    std::string value;
    /// A tombstone, kept so that an older write can't restore the item.
    bool removed = false;
  };

  bool applyChange(const StoreChange &change);
  void pruneTombstones();

  std::map<std::string, Item> items_;
  std::deque<StoreChange> journal_;
  /// The journal holds every change after this revision.
  std::int64_t journalFrom_ = 0;
  std::int64_t revision_ = 0;
};

} // namespace auburnspring

#endif
