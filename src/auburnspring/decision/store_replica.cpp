#include "auburnspring/decision/store_replica.h"

#include <algorithm>

namespace auburnspring {

bool StoreReplica::applyChange(const StoreChange &change) {
  Item &item = items_[change.key];
  if (change.revision <= item.revision)
    return false;
  item = {change.revision, change.removed ? std::string() : change.value,
          change.removed};
  journal_.push_back(change);
  if (journal_.size() > MaxJournalSize) {
    journalFrom_ = std::max(journalFrom_, journal_.front().revision);
    journal_.pop_front();
  }
  return true;
}

std::vector<StoreChange>
StoreReplica::apply(const std::vector<StoreChange> &changes,
                    std::int64_t revision) {
  std::vector<StoreChange> applied;
  for (const StoreChange &change : changes)
    if (applyChange(change))
      applied.push_back(change);
  revision_ = std::max(revision_, revision);
  pruneTombstones();
  return applied;
}

std::vector<StoreChange>
StoreReplica::replace(const std::vector<StoreChange> &items,
                      std::int64_t revision) {
  std::vector<StoreChange> changes = items;
  std::vector<std::string> present;
  present.reserve(items.size());
  for (const StoreChange &item : items)
    present.push_back(item.key);
  std::sort(present.begin(), present.end());
  for (const auto &[key, item] : items_)
    if (!item.removed && item.revision <= revision &&
        !std::binary_search(present.begin(), present.end(), key))
      changes.push_back({key, "", revision, true});
  std::vector<StoreChange> applied;
  for (const StoreChange &change : changes)
    if (applyChange(change))
      applied.push_back(change);
  // The journal lacks the changes between the two revisions.
  if (revision > revision_) {
    journal_.clear();
    journalFrom_ = revision;
  }
  revision_ = std::max(revision_, revision);
  return applied;
}

bool StoreReplica::changesAfter(std::int64_t revision,
                                std::vector<StoreChange> *out) const {
  if (revision < journalFrom_)
    return false;
  for (const StoreChange &change : journal_)
    if (change.revision > revision)
      out->push_back(change);
  return true;
}

std::vector<StoreChange> StoreReplica::snapshot() const {
  std::vector<StoreChange> items;
  for (const auto &[key, item] : items_)
    if (!item.removed)
      items.push_back({key, item.value, item.revision, false});
  return items;
}

void StoreReplica::pruneTombstones() {
  if (items_.size() <= MaxJournalSize)
    return;
  for (auto it = items_.begin(); it != items_.end();)
    it = it->second.removed && it->second.revision < journalFrom_
             ? items_.erase(it)
             : std::next(it);
}

} // namespace auburnspring
