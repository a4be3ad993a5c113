#ifndef AUBURNSPRING_DECISION_STORE_REPLICA_H
#define AUBURNSPRING_DECISION_STORE_REPLICA_H

#include "auburnspring/decision/store_item.h"
#include "auburnspring/decision/store_version.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburnspring {

/// This host's replica of the items that it watches in the platform's store. It
/// is updated from watches and reads, and from peers while the store can't be
/// reached. Within an era an item never returns to an older revision, in
/// whatever order changes arrive; what an older era returns is ignored.
class StoreReplica {
public:
  /// Changes that are kept so that peers can catch up. A write is kept until
  /// the next write of its item, so that many changes of one item take no more
  /// memory than the item; a removal is kept with the write before it.
  static constexpr std::size_t MaxJournalSize = 4000;
  /// Writes of an item that are remembered, to recognize them in a copy.
  static constexpr std::size_t MaxItemWrites = 16;

  /// Applies changes up to `version`; returns those that were new. Changes of
  /// another era are ignored: a new era starts with replace().
  StoreUpdate apply(const std::vector<StoreChange> &changes,
                    const StoreVersion &version);

  /// Replaces the content by a full read at `version`. Items that are missing
  /// from it are removed, unless they are newer than the read. A read of a
  /// newer era replaces every item.
  StoreUpdate replace(const std::vector<StoreChange> &items,
                      const StoreVersion &version);

  /// Appends the changes after `version` to `out`, in the order of their
  /// revisions and without writes that others have replaced; false if the
  /// journal does not reach back that far.
  bool changesAfter(const StoreVersion &version,
                    std::vector<StoreChange> *out) const;

  /// Keys of the existing items whose values have at least so many bytes.
  std::vector<std::string> largeItems(std::size_t bytes) const;
  /// Value of an existing item, or null.
  const std::string *find(const std::string &key) const;

  /// All existing items, without tombstones.
  std::vector<StoreChange> snapshot() const;

  /// State of the store up to which the replica is complete; revision 0 before
  /// the first read.
  const StoreVersion &version() const { return version_; }
  std::size_t size() const { return items_.size(); }

private:
  struct Item {
    std::int64_t revision = 0;
    std::string value;
    /// A tombstone, kept so that an older write can't restore the item.
    bool removed = false;
    /// Revisions of the latest writes of the item, oldest first.
    std::vector<std::int64_t> writes;

    void set(const StoreChange &change);
    bool hasWrite(std::int64_t revision) const;
    std::vector<std::int64_t> writesBetween(std::int64_t after,
                                            std::int64_t before) const;
  };
  using Items = std::map<std::string, Item>;

  /// One transaction may write several items at the same revision.
  using JournalKey = std::pair<std::int64_t, std::string>;
  struct JournalEntry {
    bool removed = false;
    /// What a removed item held; empty while the item holds it.
    std::string removedValue;
  };

  /// True if the item is known to have been removed since: the replica is
  /// complete up to a later revision and has neither the item nor a tombstone.
  bool isOutdated(const StoreChange &change) const;
  bool applyChange(const StoreChange &change);
  /// Notes a change before it is applied to its item.
  void addToJournal(const StoreChange &change, Item *before);
  void clearJournal(std::int64_t revision);
  /// Newest revision that the copy the store was restored from has for certain,
  /// given a read after the restore and the items before it.
  static std::int64_t copiedRevision(const std::vector<StoreChange> &items,
                                     const Items &before);
  StoreUpdate restore(const std::vector<StoreChange> &items,
                      const StoreVersion &version);
  void pruneTombstones();

  Items items_;
  std::map<JournalKey, JournalEntry> journal_;
  /// The journal lacks no change after this revision but replaced writes.
  std::int64_t journalFrom_ = 0;
  StoreVersion version_;
};

} // namespace auburnspring

#endif
