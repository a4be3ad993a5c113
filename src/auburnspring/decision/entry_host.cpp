#include "auburnspring/decision/entry_host.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration RefusalRetryAfter = std::chrono::milliseconds(500);

nlohmann::json costJson(const StageCost &cost) {
  return {{"attempts", cost.attempts.load()},
          {"retries", cost.retries.load()},
          {"hedges", cost.hedges.load()},
          {"failures", cost.failures.load()},
          {"busy_ms", toMillis(Duration(cost.busyMicros.load()))},
          {"wasted_ms", toMillis(Duration(cost.wastedMicros.load()))},
          {"prompt_tokens", cost.promptTokens.load()},
          {"cached_tokens", cost.cachedTokens.load()},
          {"generated_tokens", cost.generatedTokens.load()}};
}

nlohmann::json routeJson(const LiveRoute &live) {
  nlohmann::json outcomes = nlohmann::json::object();
  for (std::size_t i = 0; i < OutcomeCount; ++i)
    outcomes[toString(static_cast<Outcome>(i))] =
        live.counters->outcomes[i].load();
  nlohmann::json stages = nlohmann::json::array();
  const Route &route = *live.route;
  for (std::size_t i = 0; i < route.stages.size(); ++i) {
    nlohmann::json stage = costJson(live.counters->stages[i]);
    stage["name"] = route.stages[i].name;
    stage["kind"] = toString(route.stages[i].kind);
    stage["pool"] = route.stages[i].pool;
    stage["p50_ms"] = toMillis(live.stageLatencies[i]->quantile(0.5));
    stage["p95_ms"] = toMillis(live.stageLatencies[i]->quantile(0.95));
    stages.push_back(std::move(stage));
  }
  return {
      {"owner", route.owner},
      {"deadline_ms", toMillis(route.deadline)},
      {"repeat", route.retryPolicy == RetryPolicy::Never ? "never" : "always"},
      {"priority", route.priority},
      {"outcomes", outcomes},
      {"attained", live.counters->attained.load()},
      {"stages", stages}};
}

} // namespace

EntryHost::EntryHost(Options options)
    : options_(std::move(options)), ledger_(options_.ledger),
      snapshot_(std::make_unique<const Snapshot>()),
      membership_(options_.membership), configuration_(options_.configuration),
      directory_(options_.directory) {
  std::seed_seq seeds{options_.seed, options_.incarnation};
  std::array<std::uint64_t, TableCount> tableSeeds;
  seeds.generate(tableSeeds.begin(), tableSeeds.end());
  for (std::size_t i = 0; i < TableCount; ++i) {
    tables_[i] = std::make_unique<Table>();
    tables_[i]->random.seed(tableSeeds[i]);
  }
}

Actions EntryHost::handle(Event event, Instant now) {
  Step step;
  step.now = now;
  dispatch(std::move(event), &step);
  while (!step.followUpEvents.empty()) {
    Event next = std::move(step.followUpEvents.front());
    step.followUpEvents.pop_front();
    dispatch(std::move(next), &step);
  }
  return std::move(step.actions);
}

void EntryHost::dispatch(Event event, Step *step) {
  std::visit([&](auto &typed) { onEvent(typed, step); }, event);
}

RunContext EntryHost::runContext(Table *table) {
  return {options_.host, options_.dataCentre, options_.incarnation, snapshot_,
          ledger_,       table->random};
}

template <typename F> bool EntryHost::withRun(RequestId request, F use) {
  Table &table = tableOf(request);
  const std::lock_guard<std::mutex> lock(table.mutex);
  const auto found = table.runs.find(request);
  if (found == table.runs.end())
    return false;
  const RunContext context = runContext(&table);
  use(*found->second, context);
  rearmTimer(&table, request);
  return true;
}

void EntryHost::rearmTimer(Table *table, RequestId request) {
  const auto run = table->runs.find(request);
  const auto armedAt = table->armedAt.find(request);
  const TimePoint wake = run->second->nextWake();
  if (armedAt != table->armedAt.end() && armedAt->second != wake) {
    table->timers.erase({armedAt->second, request});
    table->armedAt.erase(armedAt);
  }
  if (run->second->isOver()) {
    table->timers.erase({wake, request});
    table->armedAt.erase(request);
    table->runs.erase(run);
    --openRequests_;
    return;
  }
  if (wake == TimePoint::max())
    return;
  table->timers.insert({wake, request});
  table->armedAt[request] = wake;
}

void EntryHost::refuse(const RequestArrived &event, const char *reason,
                       bool mayHaveRunEarlier, Step *step) {
  RespondToCaller refusal;
  refusal.request = event.request;
  refusal.outcome = mayHaveRunEarlier ? Outcome::Unknown : Outcome::NotRun;
  refusal.reason = reason;
  refusal.retryAfter = RefusalRetryAfter;
  step->addAction(std::move(refusal));
}

void EntryHost::onEvent(RequestArrived &event, Step *step) {
  struct RouteLookup {
    std::shared_ptr<const LiveRoute> route;
    bool stopping = false;
    bool configured = false;
  };
  const RouteLookup lookup = snapshot_.read([&event](const Snapshot &snapshot) {
    const auto found = snapshot.routes.find(event.route);
    return RouteLookup{found == snapshot.routes.end() ? nullptr : found->second,
                       snapshot.stopping, snapshot.generation > 0};
  });
  // If the route is unknown, any request with a key is treated as
  // non-retryable.
  const bool neverRetried =
      !lookup.route || lookup.route->route->retryPolicy == RetryPolicy::Never;
  const bool mayHaveRunEarlier =
      neverRetried && !event.key.empty() && !event.firstTry;
  if (lookup.stopping)
    return refuse(event, "this host is stopping", mayHaveRunEarlier, step);
  if (!lookup.route && !lookup.configured)
    return refuse(event, "this host has no configuration yet",
                  mayHaveRunEarlier, step);
  if (!lookup.route) {
    RespondToCaller rejected;
    rejected.request = event.request;
    rejected.outcome = Outcome::Rejected;
    rejected.reason = "no route has the name \"" + event.route + "\"";
    rejected.permanent = true;
    return step->addAction(std::move(rejected));
  }
  if (openRequests_.fetch_add(1) >= options_.maxRequests) {
    --openRequests_;
    return refuse(event, "this host has reached its limit of open requests",
                  mayHaveRunEarlier, step);
  }
  const RequestId request = event.request;
  Table &table = tableOf(request);
  const std::lock_guard<std::mutex> lock(table.mutex);
  auto run =
      std::make_unique<RequestRun>(std::move(event), lookup.route, step->now);
  RequestRun &started = *run;
  table.runs[request] = std::move(run);
  started.start(runContext(&table), step);
  rearmTimer(&table, request);
}

void EntryHost::onEvent(const CallerDisconnected &event, Step *step) {
  withRun(event.request, [&](RequestRun &run, const RunContext &context) {
    run.onCallerDisconnected(context, step);
  });
}

void EntryHost::onEvent(const AttemptSucceeded &event, Step *step) {
  withRun(event.attempt.request,
          [&](RequestRun &run, const RunContext &context) {
            run.onSucceeded(event, context, step);
          });
}

void EntryHost::onEvent(const AttemptFailed &event, Step *step) {
  withRun(event.attempt.request,
          [&](RequestRun &run, const RunContext &context) {
            run.onFailed(event, context, step);
          });
}

void EntryHost::onEvent(const AttemptProgress &event, Step *step) {
  withRun(event.attempt.request, [&](RequestRun &run, const RunContext &) {
    run.onProgress(event, step);
  });
}

void EntryHost::onEvent(const SlotGranted &event, Step *step) {
  const bool found =
      withRun(event.request, [&](RequestRun &run, const RunContext &context) {
        run.onSlotGranted(event, context, step);
      });
  if (found)
    return;
  std::vector<SlotRequest> granted;
  event.pool->limiter.release(event.organisation, &granted);
  for (const SlotRequest &next : granted)
    step->postEvent(SlotGranted{next.request, next.stage, next.part,
                                next.organisation, event.pool});
}

void EntryHost::onEvent(const ClaimDecided &event, Step *step) {
  withRun(event.request, [&](RequestRun &run, const RunContext &context) {
    run.onClaim(event, context, step);
  });
}

void EntryHost::tickTable(Table *table, Step *step) {
  const std::lock_guard<std::mutex> lock(table->mutex);
  while (!table->timers.empty() &&
         table->timers.begin()->first <= step->now.steady) {
    const RequestId request = table->timers.begin()->second;
    table->timers.erase(table->timers.begin());
    table->armedAt.erase(request);
    const auto found = table->runs.find(request);
    if (found == table->runs.end())
      continue;
    found->second->onTimer(runContext(table), step);
    rearmTimer(table, request);
  }
}

void EntryHost::onEvent(const Tick & /*event*/, Step *step) {
  ledger_.onTick(step);
  for (const auto &table : tables_)
    tickTable(table.get(), step);
  tickControl(step);
}

void EntryHost::tickControl(Step *step) {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  membership_.onTick(step);
  configuration_.onTick(
      membership_.isSelectedWatcher(options_.watchersPerDataCentre), step);
  if (membership_.aliveCount() != lastLiveHosts_)
    publishSnapshot();
}

void EntryHost::onEvent(const KvReplyReceived &event, Step *step) {
  if (event.call.owner == KvOwner::Ledger)
    return ledger_.onReply(event.call, event.reply, step);
  const std::lock_guard<std::mutex> lock(controlMutex_);
  configuration_.onReply(event.call, event.reply, step);
  applyAcceptedConfig(step);
}

void EntryHost::onEvent(const HostListRead &event, Step *step) {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  if (directory_.onHostList(event.list, step))
    publishSnapshot();
}

void EntryHost::onEvent(const LoadReported &event, Step *step) {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  directory_.onLoadReport(event.report, step);
}

void EntryHost::onEvent(const LeavingDetected &event, Step *step) {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  if (!directory_.onLeaving(event.notice))
    return;
  membership_.gossipLeaving(event.notice);
  step->addAction(WriteLogEntry{LogEntryLevel::Info,
                                "upstream_leaving",
                                {{"upstream", event.notice.upstream},
                                 {"incarnation", event.notice.incarnation}}});
}

void EntryHost::onEvent(const GenerationAnnounced &event, Step *step) {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  configuration_.onGenerationAnnounced(event, step);
}

void EntryHost::onEvent(const PeerMessageReceived &event, Step *step) {
  if (const auto *reply = std::get_if<LedgerForwardReply>(&event.message))
    return ledger_.onForwardReply(*reply, step);
  const std::lock_guard<std::mutex> lock(controlMutex_);
  handlePeerMessage(event.from, event.message, step);
}

void EntryHost::handlePeerMessage(const std::string &from,
                                  const PeerMessage &message, Step *step) {
  if (const auto *ping = std::get_if<Ping>(&message))
    return membership_.onPing(from, *ping, step);
  if (const auto *ack = std::get_if<Ack>(&message))
    return membership_.onAck(from, *ack, step);
  if (const auto *forward = std::get_if<LedgerForward>(&message)) {
    if (const MemberInfo *member = membership_.find(from))
      ledger_.onForward(from, member->endpoint, *forward, step);
    return;
  }
  if (const auto *request = std::get_if<BundleRequest>(&message)) {
    if (const MemberInfo *member = membership_.find(from))
      configuration_.onRequest(from, member->endpoint, *request, step);
    return;
  }
  if (const auto *reply = std::get_if<BundleReply>(&message)) {
    configuration_.onBundle(reply->bundle, step);
    return applyAcceptedConfig(step);
  }
}

void EntryHost::onEvent(const StopRequested & /*event*/, Step *step) {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  stopping_ = true;
  membership_.leave(step);
  publishSnapshot();
}

std::shared_ptr<const LiveRoute>
EntryHost::makeLiveRoute(const std::shared_ptr<const Route> &route) {
  const auto known = liveRoutes_.find(route->name);
  const bool sameStages =
      known != liveRoutes_.end() &&
      known->second->route->stages.size() == route->stages.size();
  auto live = std::make_shared<LiveRoute>();
  live->route = route;
  live->counters = sameStages
                       ? known->second->counters
                       : std::make_shared<RouteCounters>(route->stages.size());
  for (std::size_t i = 0; i < route->stages.size(); ++i) {
    const bool sameStage = sameStages && known->second->route->stages[i].name ==
                                             route->stages[i].name;
    live->stageLatencies.push_back(
        sameStage ? known->second->stageLatencies[i]
                  : std::make_shared<LatencyHistogram>(
                        route->stages[i].expectedDuration));
  }
  return live;
}

void EntryHost::applyAcceptedConfig(Step *step) {
  const std::optional<RouteTable> accepted = configuration_.takeAccepted();
  if (!accepted)
    return;
  std::map<std::string, std::shared_ptr<const LiveRoute>> next;
  for (const auto &[name, route] : *accepted)
    next[name] = makeLiveRoute(route);
  liveRoutes_ = std::move(next);
  directory_.setDrained(configuration_.head().drained);
  publishSnapshot();
  // A generation is announced to peers only after it is in force here.
  membership_.setGeneration(configuration_.head().generation, step);
}

std::vector<Ledger::Host> EntryHost::ledgerHosts() const {
  std::vector<Ledger::Host> hosts;
  for (const std::string &name : membership_.aliveHosts()) {
    const MemberInfo *member = membership_.find(name);
    hosts.push_back({name, member == nullptr ? Endpoint() : member->endpoint});
  }
  return hosts;
}

// Builds the next snapshot from the state that controlMutex_ guards.
void EntryHost::publishSnapshot() {
  auto snapshot = std::make_unique<Snapshot>();
  snapshot->generation = configuration_.head().generation;
  for (const auto &[name, live] : liveRoutes_)
    snapshot->routes[name] = live;
  lastLiveHosts_ = membership_.aliveCount();
  ledger_.setHosts(ledgerHosts());
  snapshot->liveHosts = lastLiveHosts_;
  snapshot->pools =
      directory_.buildPools(membership_.aliveHosts(), options_.host);
  snapshot->stopping = stopping_;
  snapshot_.publish(std::move(snapshot));
}

TimePoint EntryHost::nextWake() const {
  TimePoint next = ledger_.nextWake();
  for (const auto &table : tables_) {
    const std::lock_guard<std::mutex> lock(table->mutex);
    if (!table->timers.empty())
      next = std::min(next, table->timers.begin()->first);
  }
  const std::lock_guard<std::mutex> lock(controlMutex_);
  next = std::min(next, membership_.nextWake());
  return std::min(next, configuration_.nextWake());
}

bool EntryHost::isReady() const {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  return configuration_.isReady() && !stopping_;
}

std::vector<ListedUpstream> EntryHost::polledUpstreams() const {
  const std::lock_guard<std::mutex> lock(controlMutex_);
  return directory_.upstreamsToPoll();
}

std::size_t EntryHost::inFlightAt(const std::string &upstream) const {
  std::vector<std::string> names;
  for (const auto &table : tables_) {
    const std::lock_guard<std::mutex> lock(table->mutex);
    for (const auto &[request, run] : table->runs)
      run->collectUpstreams(&names);
  }
  return static_cast<std::size_t>(
      std::count(names.begin(), names.end(), upstream));
}

nlohmann::json EntryHost::dump(Instant now) const {
  nlohmann::json json = {{"host", options_.host},
                         {"data_centre", options_.dataCentre},
                         {"incarnation", options_.incarnation},
                         {"open_requests", openRequests_.load()},
                         {"ledger", ledger_.dump()}};
  const std::lock_guard<std::mutex> lock(controlMutex_);
  json["ready"] = configuration_.isReady() && !stopping_;
  json["stopping"] = stopping_;
  json["watcher"] =
      membership_.isSelectedWatcher(options_.watchersPerDataCentre);
  json["members"] = membership_.dump();
  json["configuration"] = configuration_.dump();
  json["directory"] = directory_.dump(now.steady);
  json["routes"] = nlohmann::json::object();
  for (const auto &[name, live] : liveRoutes_)
    json["routes"][name] = routeJson(*live);
  return json;
}

} // namespace auburnspring
