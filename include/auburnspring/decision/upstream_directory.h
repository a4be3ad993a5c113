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

/// Every upstream this host knows of, from the lagging host list, load
/// reports, operators' drains and signs of leaving. Called by the control side
/// only, under its lock; the workers it hands out are shared with the request
/// path.
class UpstreamDirectory {
public:
  struct Options {
    /// A list that drops more than half of the upstreams is believed only
    /// after this long.
    Duration doubtfulListDelay = std::chrono::seconds(30);
    PoolGate::Options gate;
    /// A host uses about this many workers of a larger pool.
    std::size_t subsetSize = 24;
  };

  explicit UpstreamDirectory(Options options);

  /// True if the pools have changed.
  bool onHostList(const HostList &list, Step *step);
  void onLoad(const LoadReport &report, Step *step);

  /// True if the sign was news about a life that is known.
  bool onLeaving(const LeavingRumour &rumour);
  void setDrained(const std::vector<std::string> &names);

  /// The pools for a new snapshot. `hosts` are the live ones, which share each
  /// pool's slots; `self` is this one. Of a large pool a host takes a subset:
  /// the workers that rendezvous hashing gives to it, each worker to the same
  /// number of hosts.
  absl::flat_hash_map<std::string, std::shared_ptr<const Pool>>
  pools(const std::vector<std::string> &hosts, const std::string &self);

  /// Upstreams in the pools last made, whose load is worth asking for.
  std::vector<ListedUpstream> watched() const;

  nlohmann::json dump(TimePoint now) const;

private:
  static std::vector<WorkerPtr> subset(const std::vector<WorkerPtr> &workers,
                                       std::size_t size,
                                       const std::vector<std::string> &hosts,
                                       const std::string &self);
  bool isDoubtful(const HostList &list, TimePoint now);

  Options options_;
  std::uint64_t version_ = 0;
  TimePoint doubtfulSince_ = TimePoint::max();
  absl::btree_map<std::string, WorkerPtr> workers_;
  absl::btree_map<std::string, std::shared_ptr<PoolState>> states_;
  /// Signs of leaving by upstream and the incarnation they concern.
  absl::btree_map<std::string, std::string> leaving_;
  std::set<std::string> drained_;
  std::vector<WorkerPtr> watched_;
};

} // namespace auburnspring

#endif
