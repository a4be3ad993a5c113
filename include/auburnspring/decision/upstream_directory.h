#ifndef AUBURNSPRING_DECISION_UPSTREAM_DIRECTORY_H
#define AUBURNSPRING_DECISION_UPSTREAM_DIRECTORY_H

#include "auburnspring/decision/snapshot.h"
#include "auburnspring/decision/step.h"

#include <absl/container/btree_map.h>
#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// All upstreams known to this host, from the host list (which may be out of
/// date), load reports, operators' drains and leaving notices. Called by the
/// control path only, under its lock; the upstreams in the pools that it
/// returns are shared with the request path.
class UpstreamDirectory {
public:
  struct Options {
    /// A list that drops more than half of the upstreams is accepted only
    /// after this time, an empty one never.
    Duration massRemovalDelay = std::chrono::seconds(30);
    PoolLimiter::Options limiter;
    /// A host uses about this many upstreams of a larger pool.
    std::size_t subsetSize = 24;
  };

  explicit UpstreamDirectory(Options options);

  /// Applies a new list; true if the pools have changed.
  bool onHostList(const HostList &list, Step *step);
  void onLoadReport(const LoadReport &report, Step *step);

  /// Applies a leaving notice; true if it was not known yet.
  bool onLeaving(const LeavingNotice &notice);
  void setDrained(const std::vector<std::string> &names);

  /// Builds the pools for a new snapshot. `hosts` are the live hosts, which
  /// share each pool's slots; `self` is this host. Of a large pool it uses a
  /// subset by rendezvous hashing, which assigns each upstream to the same
  /// number of hosts.
  absl::flat_hash_map<std::string, std::shared_ptr<const Pool>>
  buildPools(const std::vector<std::string> &hosts, const std::string &self);

  /// Upstreams in the latest pools, whose load this host polls.
  std::vector<ListedUpstream> upstreamsToPoll() const;

  nlohmann::json dump(TimePoint now) const;

private:
  static std::vector<TrackedUpstreamPtr>
  subset(const std::vector<TrackedUpstreamPtr> &candidates, std::size_t size,
         const std::vector<std::string> &hosts, const std::string &self);
  bool isImplausible(const HostList &list, TimePoint now);

  Options options_;
  std::uint64_t version_ = 0;
  TimePoint implausibleSince_ = TimePoint::max();
  absl::btree_map<std::string, TrackedUpstreamPtr> upstreams_;
  absl::btree_map<std::string, std::shared_ptr<PoolState>> poolStates_;
  /// Incarnation that is known to be leaving, by upstream name.
  absl::btree_map<std::string, std::string> leavingIncarnations_;
  std::set<std::string> drained_;
  std::vector<TrackedUpstreamPtr> polled_;
};

} // namespace auburnspring

#endif
