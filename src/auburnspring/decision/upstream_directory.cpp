#include "auburnspring/decision/upstream_directory.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/decision/upstream_selection.h"

#include <algorithm>

namespace auburnspring {

UpstreamDirectory::UpstreamDirectory(Options options) : options_(options) {}

// An empty or suddenly halved list more likely comes from a fault of the list
// than from upstreams that have left.
bool UpstreamDirectory::isImplausible(const HostList &list, TimePoint now) {
  std::size_t kept = 0;
  for (const ListedUpstream &upstream : list.upstreams)
    kept += upstreams_.count(upstream.name);
  if (list.upstreams.empty())
    return true;
  if (kept * 2 >= upstreams_.size()) {
    implausibleSince_ = TimePoint::max();
    return false;
  }
  if (implausibleSince_ == TimePoint::max())
    implausibleSince_ = now;
  return now - implausibleSince_ < options_.massRemovalDelay;
}

bool UpstreamDirectory::onHostList(const HostList &list, Step *step) {
  const bool old = list.version < version_;
  if (old || isImplausible(list, step->now.steady)) {
    step->addAction(
        WriteLogEntry{LogEntryLevel::Warning,
                      "host_list_doubted",
                      {{"version", std::to_string(list.version)},
                       {"entries", std::to_string(list.upstreams.size())}}});
    return false;
  }
  version_ = list.version;
  implausibleSince_ = TimePoint::max();
  absl::btree_map<std::string, TrackedUpstreamPtr> next;
  bool changed = false;
  for (const ListedUpstream &upstream : list.upstreams) {
    const auto known = upstreams_.find(upstream.name);
    const bool sameIncarnation =
        known != upstreams_.end() &&
        known->second->listed.incarnation == upstream.incarnation &&
        known->second->listed.version == upstream.version &&
        toString(known->second->listed.endpoint) ==
            toString(upstream.endpoint) &&
        known->second->listed.slots == upstream.slots &&
        known->second->listed.models == upstream.models;
    TrackedUpstreamPtr tracked =
        sameIncarnation ? known->second
                        : std::make_shared<TrackedUpstream>(upstream);
    changed = changed || !sameIncarnation;
    if (!sameIncarnation) {
      // Upstreams on the first list may have run for long: no slow start.
      tracked->firstSeenMicros =
          upstreams_.empty() ? 0 : toMicros(step->now.steady);
      const auto leavingIncarnation = leavingIncarnations_.find(upstream.name);
      if (leavingIncarnation != leavingIncarnations_.end() &&
          leavingIncarnation->second == upstream.incarnation)
        tracked->leaving = true;
      tracked->drained = drained_.count(upstream.name) > 0;
    }
    if (upstream.leaving && !tracked->leaving)
      step->postEvent(LeavingDetected{{upstream.name, upstream.incarnation}});
    next[upstream.name] = std::move(tracked);
  }
  for (const auto &[name, tracked] : upstreams_) {
    if (next.count(name) > 0)
      continue;
    changed = true;
    tracked->leaving = true;
  }
  upstreams_ = std::move(next);
  return changed;
}

void UpstreamDirectory::onLoadReport(const LoadReport &report, Step *step) {
  const auto found = upstreams_.find(report.upstream);
  if (found == upstreams_.end() ||
      found->second->listed.incarnation != report.incarnation)
    return;
  TrackedUpstream &tracked = *found->second;
  tracked.reportedLoad =
      static_cast<std::int32_t>(report.running + report.queued);
  tracked.inFlightAtReport = tracked.inFlight.load();
  tracked.reportedAtMicros = toMicros(step->now.steady);
  if (report.leaving && !tracked.leaving)
    step->postEvent(LeavingDetected{{report.upstream, report.incarnation}});
}

bool UpstreamDirectory::onLeaving(const LeavingNotice &notice) {
  constexpr std::size_t MaxLeavingUpstreams = 10000;
  std::string &leavingIncarnation = leavingIncarnations_[notice.upstream];
  const bool isNew = leavingIncarnation != notice.incarnation;
  leavingIncarnation = notice.incarnation;
  if (leavingIncarnations_.size() > MaxLeavingUpstreams)
    leavingIncarnations_.erase(leavingIncarnations_.begin());
  const auto found = upstreams_.find(notice.upstream);
  if (found != upstreams_.end() &&
      found->second->listed.incarnation == notice.incarnation)
    found->second->leaving = true;
  return isNew;
}

void UpstreamDirectory::setDrained(const std::vector<std::string> &names) {
  drained_ = std::set<std::string>(names.begin(), names.end());
  for (const auto &[name, tracked] : upstreams_)
    tracked->drained = drained_.count(name) > 0;
}

// Each upstream goes to the hosts with the highest weights for it, so that all
// upstreams have equally many hosts and a host change moves few of them.
std::vector<TrackedUpstreamPtr> UpstreamDirectory::subset(
    const std::vector<TrackedUpstreamPtr> &candidates, std::size_t size,
    const std::vector<std::string> &hosts, const std::string &self) {
  if (candidates.size() <= size)
    return candidates;
  const std::size_t hostsPerUpstream =
      (hosts.size() * size + candidates.size() - 1) / candidates.size();
  std::vector<TrackedUpstreamPtr> selected;
  for (const TrackedUpstreamPtr &tracked : candidates) {
    const std::uint64_t seed = stableHash(tracked->listed.name);
    const std::uint64_t own = stableHash(self, seed);
    std::size_t rank = 0;
    for (const std::string &host : hosts)
      rank += stableHash(host, seed) > own ? 1 : 0;
    if (rank < hostsPerUpstream)
      selected.push_back(tracked);
  }
  // With few hosts and many upstreams the subset may be empty.
  return selected.empty() ? candidates : selected;
}

absl::flat_hash_map<std::string, std::shared_ptr<const Pool>>
UpstreamDirectory::buildPools(const std::vector<std::string> &hosts,
                              const std::string &self) {
  absl::btree_map<std::string, std::vector<TrackedUpstreamPtr>> upstreamsByPool;
  for (const auto &[name, tracked] : upstreams_)
    upstreamsByPool[tracked->listed.pool].push_back(tracked);
  absl::flat_hash_map<std::string, std::shared_ptr<const Pool>> built;
  polled_.clear();
  for (const auto &[name, members] : upstreamsByPool) {
    double slots = 0;
    for (const TrackedUpstreamPtr &tracked : members)
      if (tracked->acceptsNewWork())
        slots += static_cast<double>(tracked->listed.slots);
    std::shared_ptr<PoolState> &state = poolStates_[name];
    if (!state)
      state = std::make_shared<PoolState>(options_.limiter);
    // Above the even share, so that a host can use what others leave idle.
    constexpr double Overcommit = 1.5;
    const auto count =
        static_cast<double>(std::max<std::size_t>(hosts.size(), 1));
    state->limiter.setCapacityHint(std::max(slots * Overcommit / count, 1.0));
    auto pool = std::make_shared<Pool>();
    pool->state = state;
    pool->upstreams = subset(members, options_.subsetSize, hosts, self);
    polled_.insert(polled_.end(), pool->upstreams.begin(),
                   pool->upstreams.end());
    built[name] = std::move(pool);
  }
  return built;
}

std::vector<ListedUpstream> UpstreamDirectory::upstreamsToPoll() const {
  std::vector<ListedUpstream> listed;
  for (const TrackedUpstreamPtr &tracked : polled_)
    listed.push_back(tracked->listed);
  return listed;
}

nlohmann::json UpstreamDirectory::dump(TimePoint now) const {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto &[name, tracked] : upstreams_)
    upstreams.push_back(
        {{"name", name},
         {"pool", tracked->listed.pool},
         {"address", toString(tracked->listed.endpoint)},
         {"incarnation", tracked->listed.incarnation},
         {"version", tracked->listed.version},
         {"leaving", tracked->leaving.load()},
         {"drained", tracked->drained.load()},
         {"in_flight", tracked->inFlight.load()},
         {"reported_load", tracked->reportedLoad.load()},
         {"expected_finish_ms", toMillis(expectedFinish(*tracked, now))},
         {"failures_in_a_row", tracked->consecutiveFailures.load()},
         {"ejected", tracked->ejectedUntilMicros > toMicros(now)}});
  nlohmann::json pools = nlohmann::json::object();
  for (const auto &[name, state] : poolStates_) {
    const PoolLimiter::Stats stats = state->limiter.stats();
    pools[name] = {{"limit", stats.limit},
                   {"in_use", stats.inUse},
                   {"queued", stats.queued},
                   {"latency_ms", toMillis(stats.smoothedLatency)},
                   {"stretch", stats.slowdownRatio},
                   {"retry_budget_thousandths", state->budget.thousandths()}};
  }
  return {{"host_list_version", version_},
          {"upstreams", upstreams},
          {"pools", pools}};
}

} // namespace auburnspring
