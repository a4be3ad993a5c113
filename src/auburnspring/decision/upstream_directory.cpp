#include "auburnspring/decision/upstream_directory.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/decision/worker_choice.h"

#include <algorithm>

namespace auburnspring {

UpstreamDirectory::UpstreamDirectory(Options options) : options_(options) {}

// An empty or suddenly halved list is rather the list's own fault than news
// that the upstreams have left.
bool UpstreamDirectory::isDoubtful(const HostList &list, TimePoint now) {
  std::size_t kept = 0;
  for (const ListedUpstream &upstream : list.upstreams)
    kept += workers_.count(upstream.name);
  if (list.upstreams.empty())
    return true;
  if (kept * 2 >= workers_.size()) {
    doubtfulSince_ = TimePoint::max();
    return false;
  }
  if (doubtfulSince_ == TimePoint::max())
    doubtfulSince_ = now;
  return now - doubtfulSince_ < options_.doubtfulListDelay;
}

bool UpstreamDirectory::onHostList(const HostList &list, Step *step) {
  const bool old = list.version < version_;
  if (old || isDoubtful(list, step->now.steady)) {
    step->act(WriteNote{NoteLevel::Warning,
                        "host_list_doubted",
                        {{"version", std::to_string(list.version)},
                         {"entries", std::to_string(list.upstreams.size())}}});
    return false;
  }
  version_ = list.version;
  absl::btree_map<std::string, WorkerPtr> next;
  bool changed = false;
  for (const ListedUpstream &upstream : list.upstreams) {
    const auto known = workers_.find(upstream.name);
    const bool sameLife =
        known != workers_.end() &&
        known->second->listed.incarnation == upstream.incarnation &&
        toString(known->second->listed.endpoint) ==
            toString(upstream.endpoint) &&
        known->second->listed.slots == upstream.slots &&
        known->second->listed.models == upstream.models;
    WorkerPtr worker =
        sameLife ? known->second : std::make_shared<Worker>(upstream);
    changed = changed || !sameLife;
    if (!sameLife) {
      // The first list tells nothing about how long an upstream has run.
      worker->firstSeenMicros =
          workers_.empty() ? 0 : toMicros(step->now.steady);
      const auto sign = leaving_.find(upstream.name);
      if (sign != leaving_.end() && sign->second == upstream.incarnation)
        worker->leaving = true;
      worker->drained = drained_.count(upstream.name) > 0;
    }
    if (upstream.leaving && !worker->leaving)
      step->follow(LeavingSeen{{upstream.name, upstream.incarnation}});
    next[upstream.name] = std::move(worker);
  }
  for (const auto &[name, worker] : workers_) {
    if (next.count(name) > 0)
      continue;
    changed = true;
    worker->leaving = true;
  }
  workers_ = std::move(next);
  return changed;
}

void UpstreamDirectory::onLoad(const LoadReport &report, Step *step) {
  const auto found = workers_.find(report.upstream);
  if (found == workers_.end() ||
      found->second->listed.incarnation != report.incarnation)
    return;
  Worker &worker = *found->second;
  worker.reportedLoad =
      static_cast<std::int32_t>(report.running + report.queued);
  worker.inFlightAtReport = worker.inFlight.load();
  worker.reportedAtMicros = toMicros(step->now.steady);
  if (report.leaving && !worker.leaving)
    step->follow(LeavingSeen{{report.upstream, report.incarnation}});
}

bool UpstreamDirectory::onLeaving(const LeavingRumour &rumour) {
  constexpr std::size_t MaxSigns = 10000;
  std::string &sign = leaving_[rumour.upstream];
  const bool news = sign != rumour.incarnation;
  sign = rumour.incarnation;
  if (leaving_.size() > MaxSigns)
    leaving_.erase(leaving_.begin());
  const auto found = workers_.find(rumour.upstream);
  if (found != workers_.end() &&
      found->second->listed.incarnation == rumour.incarnation)
    found->second->leaving = true;
  return news;
}

void UpstreamDirectory::setDrained(const std::vector<std::string> &names) {
  drained_ = std::set<std::string>(names.begin(), names.end());
  for (const auto &[name, worker] : workers_)
    worker->drained = drained_.count(name) > 0;
}

// Each worker goes to the hosts that weigh most for it, so that every worker
// has as many hosts and a change of one host moves little.
std::vector<WorkerPtr> UpstreamDirectory::subset(
    const std::vector<WorkerPtr> &workers, std::size_t size,
    const std::vector<std::string> &hosts, const std::string &self) {
  if (workers.size() <= size)
    return workers;
  const std::size_t hostsPerWorker =
      (hosts.size() * size + workers.size() - 1) / workers.size();
  std::vector<WorkerPtr> taken;
  for (const WorkerPtr &worker : workers) {
    const std::uint64_t seed = stableHash(worker->listed.name);
    const std::uint64_t own = stableHash(self, seed);
    std::size_t ahead = 0;
    for (const std::string &host : hosts)
      ahead += stableHash(host, seed) > own ? 1 : 0;
    if (ahead < hostsPerWorker)
      taken.push_back(worker);
  }
  // Few hosts before many workers: nobody may be left without a choice.
  return taken.empty() ? workers : taken;
}

absl::flat_hash_map<std::string, std::shared_ptr<const Pool>>
UpstreamDirectory::pools(const std::vector<std::string> &hosts,
                         const std::string &self) {
  absl::btree_map<std::string, std::vector<WorkerPtr>> byPool;
  for (const auto &[name, worker] : workers_)
    byPool[worker->listed.pool].push_back(worker);
  absl::flat_hash_map<std::string, std::shared_ptr<const Pool>> built;
  watched_.clear();
  for (const auto &[name, workers] : byPool) {
    double slots = 0;
    for (const WorkerPtr &worker : workers)
      if (worker->takesNewWork())
        slots += static_cast<double>(worker->listed.slots);
    std::shared_ptr<PoolState> &state = states_[name];
    if (!state)
      state = std::make_shared<PoolState>(options_.gate);
    // A share above the even one lets a host take what others leave unused.
    constexpr double Overcommit = 1.5;
    const auto count =
        static_cast<double>(std::max<std::size_t>(hosts.size(), 1));
    state->gate.setCapacityHint(std::max(slots * Overcommit / count, 1.0));
    auto pool = std::make_shared<Pool>();
    pool->state = state;
    pool->workers = subset(workers, options_.subsetSize, hosts, self);
    watched_.insert(watched_.end(), pool->workers.begin(), pool->workers.end());
    built[name] = std::move(pool);
  }
  return built;
}

std::vector<ListedUpstream> UpstreamDirectory::watched() const {
  std::vector<ListedUpstream> listed;
  for (const WorkerPtr &worker : watched_)
    listed.push_back(worker->listed);
  return listed;
}

nlohmann::json UpstreamDirectory::dump(TimePoint now) const {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto &[name, worker] : workers_)
    upstreams.push_back(
        {{"name", name},
         {"pool", worker->listed.pool},
         {"address", toString(worker->listed.endpoint)},
         {"incarnation", worker->listed.incarnation},
         {"leaving", worker->leaving.load()},
         {"drained", worker->drained.load()},
         {"in_flight", worker->inFlight.load()},
         {"reported_load", worker->reportedLoad.load()},
         {"expected_finish_ms", toMillis(expectedFinish(*worker, now))},
         {"failures_in_a_row", worker->failuresInARow.load()},
         {"ejected", worker->ejectedUntilMicros > toMicros(now)}});
  nlohmann::json pools = nlohmann::json::object();
  for (const auto &[name, state] : states_) {
    const PoolGate::Reading gate = state->gate.read();
    pools[name] = {{"limit", gate.limit},
                   {"in_use", gate.inUse},
                   {"queued", gate.queued},
                   {"latency_ms", toMillis(gate.smoothedLatency)},
                   {"stretch", gate.stretch},
                   {"retry_budget_thousandths", state->budget.thousandths()}};
  }
  return {{"host_list_version", version_},
          {"upstreams", upstreams},
          {"pools", pools}};
}

} // namespace auburnspring
