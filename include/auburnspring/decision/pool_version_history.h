#ifndef AUBURNSPRING_DECISION_POOL_VERSION_HISTORY_H
#define AUBURNSPRING_DECISION_POOL_VERSION_HISTORY_H

#include "auburnspring/base/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace auburnspring {

/// The software versions that each pool has shown to this host. If a pool has
/// shown only one for as long as a stream can last, that one began each of its
/// streams.
class PoolVersionHistory {
public:
  /// How long a version that a pool no longer shows is remembered.
  static constexpr Duration Retention = std::chrono::minutes(15);

  /// The pool shows an upstream of the version now.
  void onSeen(const std::string &pool, const std::string &softwareVersion,
              TimePoint now);
  /// Whether the replica of the store is confirmed to be current now; to be
  /// called several times per second.
  void onConfirmed(bool isConfirmed, TimePoint now);
  /// Drops what is older than `Retention`.
  void dropOld(TimePoint now);

  /// The only version that the pool has shown for `period`; empty if it has
  /// shown several, or if the replica was not confirmed all the time.
  std::optional<std::string> onlyVersion(const std::string &pool,
                                         Duration period, TimePoint now) const;
  /// Pools that have shown several versions within `period`, as far as this
  /// host knows.
  std::set<std::string> poolsOfSeveral(Duration period, TimePoint now) const;

private:
  /// When each version was last seen, by pool.
  std::map<std::string, std::map<std::string, TimePoint>> lastSeen_;
  std::optional<TimePoint> confirmedSince_;
};

} // namespace auburnspring

#endif
