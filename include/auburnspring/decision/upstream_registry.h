#ifndef AUBURNSPRING_DECISION_UPSTREAM_REGISTRY_H
#define AUBURNSPRING_DECISION_UPSTREAM_REGISTRY_H

#include "auburnspring/decision/served_upstream.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnspring {

/// The upstreams that the store lists, by pool. An entry that lapses while the
/// store is away is not news that the upstream left: it stays in use until the
/// store has been back for `LapseGrace` and still lacks it.
class UpstreamRegistry {
public:
  /// Entries of live upstreams are back this soon after the store.
  static constexpr Duration LapseGrace = std::chrono::milliseconds(2300);

  enum class Change { None, Joined, Left, Updated, Lapsed };

  /// The store has an entry under this key.
  Change put(const std::string &key, UpstreamEntry entry);
  /// The store has none, or one that can't be read. `isCertain` if whoever told
  /// so has had the store all along, so that the entry can't have lapsed.
  Change remove(const std::string &key, TimePoint now, bool isCertain = false);
  /// The store has answered without a break for longer than the grace.
  bool isStoreSteady(TimePoint now) const {
    return !storeAway_ && now >= storeBackAt_ + LapseGrace;
  }

  /// The store does not answer, or answers again.
  void storeLost() { storeAway_ = true; }
  void storeBack(TimePoint now);
  bool isStoreAway() const { return storeAway_; }

  /// Drops lapsed entries whose grace is over; returns their keys.
  std::vector<std::string> expire(TimePoint now);

  /// Every upstream of a pool that is not leaving.
  const std::vector<ServedUpstreamPtr> &pool(const std::string &name) const;
  /// The upstream that listens there now; null if none does.
  ServedUpstreamPtr at(const Endpoint &endpoint) const;
  ServedUpstreamPtr byId(const std::string &id) const;

  /// Grows with each change, so that a reader can keep what it derived.
  std::uint64_t changes() const { return changes_; }
  std::size_t size() const { return byKey_.size(); }
  const std::map<std::string, ServedUpstreamPtr> &all() const { return byKey_; }

private:
  std::map<std::string, ServedUpstreamPtr> byKey_;
  std::map<std::string, TimePoint> lapsed_;
  bool storeAway_ = false;
  TimePoint storeBackAt_;
  std::uint64_t changes_ = 0;
  /// Members by pool as of `pooledAt_`, so that a request scans its own only.
  mutable std::unordered_map<std::string, std::vector<ServedUpstreamPtr>>
      pools_;
  mutable std::uint64_t pooledAt_ = 0;
};

} // namespace auburnspring

#endif
