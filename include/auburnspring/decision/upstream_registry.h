#ifndef AUBURNSPRING_DECISION_UPSTREAM_REGISTRY_H
#define AUBURNSPRING_DECISION_UPSTREAM_REGISTRY_H

#include "auburnspring/decision/evacuations.h"
#include "auburnspring/decision/upstream_state.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnspring {

/// The upstreams that the store lists, by pool. While the store is unavailable,
/// leases expire although the upstreams still run. An entry that is removed
/// in an outage, or that the store lacks once it has been restored from a copy,
/// stays in use until the store has been available for `ExpiryGrace` and still
/// lacks it. An incarnation that has left does not return with such a copy.
class UpstreamRegistry {
public:
  /// Time in which live upstreams register again after a store outage.
  static constexpr Duration ExpiryGrace = std::chrono::milliseconds(2300);
  /// How long an incarnation that has left is remembered, and how many are. A
  /// copy of the store is seconds old.
  static constexpr Duration DepartedRetention = std::chrono::minutes(10);
  static constexpr std::size_t MaxDeparted = 4096;

  enum class Change { None, Joined, Left, Updated, Expired };
  /// Whether an entry was written just now, or comes from a copy that the store
  /// was restored from.
  enum class EntrySource { Written, RestoredCopy };

  /// Adds or updates the entry under `key`.
  Change put(const std::string &key, UpstreamEntry entry, TimePoint now,
             EntrySource source = EntrySource::Written);
  /// Handles an entry that is missing from the store or can't be parsed. Set
  /// `isConfirmed` if the source had the store without interruption, so that
  /// the entry can't have expired in an outage.
  Change remove(const std::string &key, TimePoint now,
                bool isConfirmed = false);
  /// True if the store has been available for at least `ExpiryGrace`.
  bool isStoreStable(TimePoint now) const {
    return !storeUnavailable_ && now >= storeAvailableSince_ + ExpiryGrace;
  }

  void onStoreUnavailable() { storeUnavailable_ = true; }
  void onStoreAvailable(TimePoint now);
  /// The store was restored from a copy, which may lack live upstreams.
  void onStoreRestored(TimePoint now) { storeAvailableSince_ = now; }
  bool isStoreUnavailable() const { return storeUnavailable_; }

  /// Handles an upstream's statement in a response that it is leaving; true if
  /// that is news.
  bool markLeaving(UpstreamState *upstream);

  void setEvacuationTime(Duration time) { evacuations_.setTime(time); }
  /// As in Evacuations, and closes or opens the upstreams concerned.
  Evacuations::Change beginEvacuation(const std::string &dataCentre,
                                      Evacuations::Source source,
                                      TimePoint notBefore, TimePoint now);
  Evacuations::Change endEvacuation(const std::string &dataCentre,
                                    Evacuations::Source source, TimePoint now);
  std::vector<std::string> endHeldEvacuations(TimePoint now);
  std::size_t evacuationCount() const { return evacuations_.size(); }
  /// True if the pool has upstreams, of the software version if one is given,
  /// but none that evacuations leave open.
  bool isEvacuated(
      const std::string &pool, TimePoint now,
      std::optional<std::string_view> softwareVersion = std::nullopt) const;

  /// Time until an upstream of the pool takes requests of this host again; 0 if
  /// one does now or there is none. Only upstreams of the software version
  /// count, if one is given.
  Duration refusalTime(
      const std::string &pool, TimePoint now,
      std::optional<std::string_view> softwareVersion = std::nullopt) const;
  /// True if an upstream of the software version is in the pool.
  bool lists(const std::string &pool, std::string_view softwareVersion) const;

  /// Drops expired entries whose grace period is over; returns their keys.
  std::vector<std::string> dropExpired(TimePoint now);

  /// The upstreams of a pool that are not leaving.
  const std::vector<UpstreamStatePtr> &pool(const std::string &name) const;
  /// The upstream that listens on `endpoint`; null if there is none.
  UpstreamStatePtr byEndpoint(const Endpoint &endpoint) const;
  UpstreamStatePtr byId(const std::string &id) const;

  /// Grows with each change; readers use it to validate derived caches.
  std::uint64_t version() const { return version_; }
  std::size_t size() const { return byKey_.size(); }
  const std::map<std::string, UpstreamStatePtr> &all() const { return byKey_; }

private:
  struct Departed {
    std::string key;
    UpstreamStatePtr state;
    TimePoint at;
  };

  static bool isSameIncarnation(const UpstreamEntry &a, const UpstreamEntry &b);
  void recordDeparture(const std::string &key, UpstreamStatePtr state,
                       TimePoint now);
  std::deque<Departed>::const_iterator
  findDeparted(const std::string &key, const UpstreamEntry &entry) const;
  /// The state of an incarnation that has registered again, which is no longer
  /// remembered as departed; null for one that had not left.
  UpstreamStatePtr takeDeparted(const std::string &key,
                                const UpstreamEntry &entry);

  /// Sets when the upstream closes.
  void applyEvacuations(UpstreamState *upstream) const;
  /// As above, for all of the data centre.
  void applyEvacuations(const std::string &dataCentre);

  Evacuations evacuations_;
  std::map<std::string, UpstreamStatePtr> byKey_;
  /// Incarnations that have left, oldest first.
  std::deque<Departed> departed_;
  std::map<std::string, TimePoint> expired_;
  bool storeUnavailable_ = false;
  TimePoint storeAvailableSince_;
  std::uint64_t version_ = 0;
  /// Derived from `byKey_` at a version, so that a request scans only its own
  /// pool.
  struct Index {
    std::uint64_t version = 0;
    std::unordered_map<std::string, std::vector<UpstreamStatePtr>> pools;
    std::unordered_map<std::string, UpstreamStatePtr> byEndpoint;
    std::unordered_map<std::string, UpstreamStatePtr> byId;
  };
  const Index &index() const;
  mutable Index index_;
};

} // namespace auburnspring

#endif
