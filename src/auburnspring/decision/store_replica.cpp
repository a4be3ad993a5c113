#include "auburnspring/decision/store_replica.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

void StoreReplica::Item::set(const StoreChange &change) {
  revision = change.revision;
  value = change.removed ? std::string() : change.value;
  removed = change.removed;
  writes.insert(writes.end(), change.replacedWrites.begin(),
                change.replacedWrites.end());
  if (!removed)
    writes.push_back(revision);
  std::sort(writes.begin(), writes.end());
  writes.erase(std::unique(writes.begin(), writes.end()), writes.end());
  if (writes.size() > MaxItemWrites)
    writes.erase(writes.begin(),
                 writes.end() - static_cast<std::ptrdiff_t>(MaxItemWrites));
}

bool StoreReplica::Item::hasWrite(std::int64_t writeRevision) const {
  return std::binary_search(writes.begin(), writes.end(), writeRevision);
}

std::vector<std::int64_t>
StoreReplica::Item::writesBetween(std::int64_t after,
                                  std::int64_t before) const {
  return {std::upper_bound(writes.begin(), writes.end(), after),
          std::lower_bound(writes.begin(), writes.end(), before)};
}

bool StoreReplica::applyChange(const StoreChange &change) {
  Item &item = items_[change.key];
  if (change.revision <= item.revision)
    return false;
  addToJournal(change, &item);
  item.set(change);
  return true;
}

void StoreReplica::addToJournal(const StoreChange &change, Item *before) {
  const auto last = before->removed
                        ? journal_.end()
                        : journal_.find({before->revision, change.key});
  if (last != journal_.end()) {
    if (change.removed)
      last->second.removedValue = std::move(before->value);
    else
      journal_.erase(last);
  }
  journal_[{change.revision, change.key}].removed = change.removed;
  if (journal_.size() <= MaxJournalSize)
    return;
  journalFrom_ = std::max(journalFrom_, journal_.begin()->first.first);
  journal_.erase(journal_.begin());
}

void StoreReplica::clearJournal(std::int64_t revision) {
  journal_.clear();
  journalFrom_ = revision;
}

bool StoreReplica::isOutdated(const StoreChange &change) const {
  return change.revision <= version_.revision &&
         items_.find(change.key) == items_.end();
}

StoreUpdate StoreReplica::apply(const std::vector<StoreChange> &changes,
                                const StoreVersion &version) {
  StoreUpdate update;
  if (version.era != version_.era)
    return update;
  for (const StoreChange &change : changes)
    if (!isOutdated(change) && applyChange(change))
      update.changes.push_back(change);
  version_ = std::max(version_, version);
  pruneTombstones();
  return update;
}

StoreUpdate StoreReplica::replace(const std::vector<StoreChange> &items,
                                  const StoreVersion &version) {
  if (version.era < version_.era)
    return {};
  if (version.era > version_.era)
    return restore(items, version);
  std::vector<StoreChange> changes = items;
  std::vector<std::string> present;
  present.reserve(items.size());
  for (const StoreChange &item : items)
    present.push_back(item.key);
  std::sort(present.begin(), present.end());
  for (const auto &[key, item] : items_)
    if (!item.removed && item.revision <= version.revision &&
        !std::binary_search(present.begin(), present.end(), key))
      changes.push_back({key, "", version.revision, true});
  const bool isNewer = !(version < version_);
  StoreUpdate update;
  for (const StoreChange &change : changes)
    if ((isNewer || !isOutdated(change)) && applyChange(change))
      update.changes.push_back(change);
  // The journal lacks the changes between the two revisions.
  if (version_ < version)
    clearJournal(version.revision);
  version_ = std::max(version_, version);
  return update;
}

std::int64_t StoreReplica::copiedRevision(const std::vector<StoreChange> &items,
                                          const Items &before) {
  std::int64_t copied = 0;
  for (const StoreChange &item : items) {
    const auto held = before.find(item.key);
    if (held != before.end() && held->second.hasWrite(item.revision))
      copied = std::max(copied, item.revision);
  }
  return copied;
}

StoreUpdate StoreReplica::restore(const std::vector<StoreChange> &items,
                                  const StoreVersion &version) {
  StoreUpdate update;
  const Items before = std::exchange(items_, {});
  const std::int64_t copied = copiedRevision(items, before);
  for (StoreChange item : items) {
    item.isFromCopy = item.revision <= copied;
    const auto held = before.find(item.key);
    Item &entry = items_[item.key];
    if (held != before.end())
      entry.writes = held->second.writes;
    entry.set(item);
    const bool isUnchanged = held != before.end() && !held->second.removed &&
                             held->second.value == item.value;
    if (!isUnchanged)
      update.changes.push_back(std::move(item));
  }
  for (const auto &[key, item] : before)
    if (!item.removed && items_.count(key) == 0)
      update.changes.push_back({key, "", version.revision, true, true});
  // Revisions of the two eras can't be compared.
  clearJournal(version.revision);
  version_ = version;
  return update;
}

bool StoreReplica::changesAfter(const StoreVersion &version,
                                std::vector<StoreChange> *out) const {
  if (version.era != version_.era || version.revision < journalFrom_)
    return false;
  for (auto it = journal_.lower_bound({version.revision + 1, ""});
       it != journal_.end(); ++it) {
    const auto &[revision, key] = it->first;
    const JournalEntry &entry = it->second;
    const Item &item = items_.at(key);
    StoreChange change{key, "", revision, entry.removed};
    if (!entry.removed)
      change.value =
          item.revision == revision ? item.value : entry.removedValue;
    change.replacedWrites = item.writesBetween(version.revision, revision);
    out->push_back(std::move(change));
  }
  return true;
}

std::vector<std::string> StoreReplica::largeItems(std::size_t bytes) const {
  std::vector<std::string> keys;
  for (const auto &[key, item] : items_)
    if (!item.removed && item.value.size() >= bytes)
      keys.push_back(key);
  return keys;
}

const std::string *StoreReplica::find(const std::string &key) const {
  const auto found = items_.find(key);
  return found == items_.end() || found->second.removed ? nullptr
                                                        : &found->second.value;
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
