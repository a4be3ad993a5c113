#ifndef AUBURNSPRING_DECISION_STORE_REPLICA_H
#define AUBURNSPRING_DECISION_STORE_REPLICA_H

#include "auburnspring/decision/store_item.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace auburnspring {

/// This host's copy of what it follows in the platform's store. It is fed by
/// watches and reads, and by peers while the store can't be reached; an item
/// never goes back to an older revision, whatever the order of arrival.
class StoreReplica {
public:
  /// Changes that are kept to bring a peer up to date, in number.
  static constexpr std::size_t MaxJournal = 4000;

  /// Applies changes up to `revision`; returns those that were news.
  std::vector<StoreChange> apply(const std::vector<StoreChange> &changes,
                                 std::int64_t revision);

  /// Replaces everything by a whole read at `revision`. Items that it lacks
  /// are removed, unless they are newer than the read.
  std::vector<StoreChange> replace(const std::vector<StoreChange> &items,
                                   std::int64_t revision);

  /// All that has changed after `revision`; false if the journal does not go
  /// back so far.
  bool changesAfter(std::int64_t revision, std::vector<StoreChange> *out) const;

  /// Every item that exists.
  std::vector<StoreChange> snapshot() const;

  /// The store's revision up to which this copy is whole; 0 for nothing yet.
  std::int64_t revision() const { return revision_; }
  std::size_t size() const { return items_.size(); }

private:
  struct Item {
    std::int64_t revision = 0;
    std::string value;
    /// A tombstone, kept so that an older write can't bring it back.
    bool removed = false;
  };

  bool applyOne(const StoreChange &change);
  void pruneTombstones();

  std::map<std::string, Item> items_;
  std::deque<StoreChange> journal_;
  /// The journal holds every change after this revision.
  std::int64_t journalFrom_ = 0;
  std::int64_t revision_ = 0;
};

} // namespace auburnspring

#endif
