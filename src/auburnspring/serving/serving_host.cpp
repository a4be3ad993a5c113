#include "auburnspring/serving/serving_host.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/serving/upstream_statements.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <fmt/format.h>

#include <random>

namespace auburnspring {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Ticks between two heartbeats.
constexpr std::uint64_t TicksPerHeartbeat = 2;
/// Ticks between two heartbeats of a cut host to all peers, and how many of
/// them answer each in a large fleet.
constexpr std::uint64_t TicksPerCutHeartbeat = 10;
constexpr double AnswersPerCutHeartbeat = 16;
/// Ticks between two version updates of a host that watches the store.
constexpr std::uint64_t TicksPerVersionUpdate = 2;
/// Idle connections stay open this long after SIGTERM, for callers that do not
/// yet know that the host is stopping.
constexpr Duration IdleCloseDelay = std::chrono::milliseconds(3500);
/// Requests still in progress are ended this long before the stop timeout.
constexpr Duration FinalResponseMargin = std::chrono::milliseconds(1000);
/// The process exits at the latest this long before the stop timeout.
constexpr Duration ExitMargin = std::chrono::milliseconds(400);
/// Age of the last confirmation up to which the replica counts as current.
constexpr Duration MaxConfirmedAge = std::chrono::seconds(3);

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Fourth field of a host's entry while it stops.
constexpr const char *LeavingMarker = "leaving";

std::string hostEntry(const ServingSettings &settings, bool isLeaving) {
  return fmt::format("{} {} {}{}{}", toString(settings.peers),
                     settings.dataCentre, settings.processorShare,
                     isLeaving ? " " : "", isLeaving ? LeavingMarker : "");
}

} // namespace

ServingHost::ServingHost(asio::io_context &io, ServingSettings settings,
                         const Dialect *dialect, MetadataStore *store)
    : io_(io), settings_(std::move(settings)), dialect_(dialect),
      peers_(
          io,
          {settings_.host, settings_.peers, settings_.peerKey, randomSeed(),
           settings_.processorShare},
          [this](const std::string &from, const PeerMessage &message) {
            onPeerMessage(from, message);
          },
          [this](const std::string &host) {
            missedDeliveries_.onLost(host, steadyNow());
            pieceDispatcher_.onPeerDisconnected(host);
            replicaExchange_.onPeerDisconnected(host);
          }),
      requestLimits_(io, &peers_, &context_.registry, &context_.metrics,
                     randomSeed()),
      pieceDispatcher_(io, dialect, &peers_, &context_.registry,
                       &requestLimits_, &context_.responseBudget,
                       [this](const std::string &pool) -> const BatchLimits * {
                         const ServedPool *found =
                             context_.table ? context_.table->pool(pool)
                                            : nullptr;
                         return found != nullptr && found->batches
                                    ? &*found->batches
                                    : nullptr;
                       }),
      streamOrigins_(io, &peers_),
      originStore_(store, &streamOrigins_, &context_.versionHistory,
                   {dialect->originPagePrefix(), settings_.host, randomSeed()}),
      partGuard_(io, &peers_, store, dialect->quarantinePrefix(),
                 &context_.metrics),
      reach_(io, &peers_, &context_.registry, settings_.dataCentre,
             randomSeed()),
      follower_(io, store,
                {dialect->hostPrefix() + settings_.host,
                 hostEntry(settings_, false), hostEntry(settings_, true),
                 randomSeed(), dialect->originPagePrefix()},
                {[this](const StoreUpdate &update) { onStoreUpdate(update); },
                 [this](bool reachable, std::string_view reason) {
                   onStoreReachable(reachable, reason);
                 },
                 [this] {
                   context_.registry.onStoreRestored(steadyNow());
                   originStore_.onStoreRestored();
                 },
                 // A version may have joined and left in the gap.
                 [this] {
                   context_.versionHistory.onConfirmed(false, steadyNow());
                 }}),
      callerServer_(io,
                    [this](std::shared_ptr<http::Exchange> exchange) {
                      onCaller(std::move(exchange));
                    }),
      handOverServer_(io,
                      [this](std::shared_ptr<http::Exchange> exchange) {
                        onHandedOver(std::move(exchange));
                      }),
      readinessServer_(io,
                       [this](const std::shared_ptr<http::Exchange> &exchange) {
                         onReadiness(exchange.get());
                       }),
      metricsServer_(io,
                     [this](const std::shared_ptr<http::Exchange> &exchange) {
                       onMetrics(exchange.get());
                     }),
      tickTimer_(io),
      watcherSelector_(settings_.host,
                       {settings_.dataCentre, settings_.processorShare}),
      replicaExchange_(&peers_, &follower_, &watcherSelector_) {
  context_.io = &io;
  context_.dialect = dialect;
  context_.pieceDispatcher = &pieceDispatcher_;
  context_.streamOrigins = &streamOrigins_;
  context_.originStore = &originStore_;
  context_.follower = &follower_;
  context_.partGuard = &partGuard_;
  context_.reach = &reach_;
  context_.peerKey = settings_.peerKey;
  pieceDispatcher_.setPartGuard(&partGuard_);
  pieceDispatcher_.setReach(&reach_);
  context_.requestLimits = &requestLimits_;
  requestLimits_.setColdPolicy([this](const std::string &pool) {
    const ServedPool *found =
        context_.table ? context_.table->pool(pool) : nullptr;
    return found == nullptr
               ? RequestLimitExchange::ColdPolicy()
               : RequestLimitExchange::ColdPolicy{{found->coldPerSecond,
                                                   settings_.coldOvershoot,
                                                   settings_.coldSlack},
                                                  found->coldTime};
  });
  context_.random.seed(randomSeed());
  context_.registry.setEvacuationTime(settings_.evacuationTime);
  context_.retryQuota.setLimits(
      {settings_.retryRatio, settings_.retrySlack, settings_.retryWindow});
}

ServingHost::~ServingHost() = default;

absl::Status ServingHost::start() {
  absl::Status status = peers_.start();
  if (status.ok())
    status = callerServer_.listen(settings_.callers);
  if (status.ok())
    status = readinessServer_.listen(settings_.readiness);
  if (status.ok())
    status = handOverServer_.listen(settings_.handOver);
  if (!status.ok())
    return status;
  // Metrics are optional: the host serves without them.
  const absl::Status metrics = metricsServer_.listen(settings_.metrics);
  if (!metrics.ok())
    logEvent(LogLevel::Warning, "metrics_not_served",
             {{"error", std::string(metrics.message())}});
  follower_.start();
  scheduleTick();
  logEvent(LogLevel::Info, "started",
           {{"callers", toString(settings_.callers)},
            {"peers", toString(settings_.peers)},
            {"data_centre", settings_.dataCentre},
            {"store", toString(settings_.store)}});
  return absl::OkStatus();
}

// Changes of the store.

void ServingHost::onStoreUpdate(const StoreUpdate &update) {
  const std::uint64_t before = context_.registry.version();
  for (const StoreChange &change : update.changes) {
    if (change.key == dialect_->configurationKey())
      onConfiguration(change);
    else if (absl::StartsWith(change.key, dialect_->upstreamPrefix()))
      onUpstream(change, update.removalsAreConfirmed);
    else if (absl::StartsWith(change.key, dialect_->hostPrefix()))
      onHost(change);
    else if (absl::StartsWith(change.key, dialect_->evacuationPrefix()))
      onEvacuation(change);
    else if (absl::StartsWith(change.key, dialect_->quarantinePrefix()) &&
             !change.removed)
      partGuard_.onStoreItem(change.key, change.value);
  }
  if (context_.registry.version() != before)
    pieceDispatcher_.onUpstreamsChanged();
  sendVersionUpdates();
}

void ServingHost::onConfiguration(const StoreChange &change) {
  if (change.removed) {
    logEvent(LogLevel::Warning, "configuration_removed",
             {{"revision", static_cast<long>(change.revision)}});
    return;
  }
  applyConfiguration(change.value, "store");
}

void ServingHost::applyConfiguration(const std::string &text,
                                     std::string_view source) {
  const auto revision =
      static_cast<long>(follower_.replica().version().revision);
  absl::StatusOr<RoutingTable> table = dialect_->parseConfiguration(text);
  if (!table.ok()) {
    logEvent(LogLevel::Error, "configuration_unreadable",
             {{"revision", revision},
              {"error", std::string(table.status().message())}});
    return;
  }
  if (context_.table && table->version <= context_.table->version) {
    logEvent(LogLevel::Info, "configuration_ignored",
             {{"version", static_cast<long>(table->version)},
              {"in_force", static_cast<long>(context_.table->version)}});
    return;
  }
  logEvent(LogLevel::Info, "configuration_in_force",
           {{"version", static_cast<long>(table->version)},
            {"source", std::string(source)},
            {"revision", revision},
            {"routes", static_cast<unsigned long>(table->routes.size())},
            {"pools", static_cast<unsigned long>(table->pools.size())},
            {"organisations",
             static_cast<unsigned long>(table->organisations.size())}});
  configurationText_ = text;
  context_.table = std::make_shared<const RoutingTable>(*std::move(table));
  const CallerLimits &limits = context_.table->limits;
  callerServer_.setLimits({static_cast<std::size_t>(limits.maxHeadBytes),
                           static_cast<std::size_t>(limits.maxBodyBytes),
                           limits.headTimeout, limits.idleTimeout});
  // The host that hands a request over has checked it, and adds headers.
  handOverServer_.setLimits({2 * static_cast<std::size_t>(limits.maxHeadBytes),
                             static_cast<std::size_t>(limits.maxBodyBytes),
                             limits.headTimeout, limits.idleTimeout});
  pieceDispatcher_.onUpstreamsChanged();
}

void ServingHost::onUpstream(const StoreChange &change,
                             bool isRemovalConfirmed) {
  using Change = UpstreamRegistry::Change;
  using Source = UpstreamRegistry::EntrySource;
  static constexpr const char *Names[] = {"none", "joined", "left", "updated",
                                          "lapsed"};
  const TimePoint now = steadyNow();
  absl::StatusOr<UpstreamEntry> entry =
      change.removed ? absl::NotFoundError("removed")
                     : dialect_->parseUpstream(change.key, change.value);
  if (!change.removed && !entry.ok())
    logEvent(LogLevel::Warning, "upstream_entry_ignored",
             {{"key", change.key},
              {"revision", static_cast<long>(change.revision)},
              {"error", std::string(entry.status().message())}});
  if (entry.ok())
    context_.versionHistory.onSeen(entry->pool, entry->softwareVersion, now);
  const Change outcome =
      entry.ok()
          ? context_.registry.put(change.key, *std::move(entry), now,
                                  change.isFromCopy ? Source::RestoredCopy
                                                    : Source::Written)
          : context_.registry.remove(change.key, now, isRemovalConfirmed);
  if (outcome != Change::None && outcome != Change::Updated)
    logEvent(LogLevel::Info, "upstream_changed",
             {{"upstream", change.key},
              {"change", Names[static_cast<int>(outcome)]},
              {"removed", change.removed},
              {"from_copy", change.isFromCopy},
              {"revision", static_cast<long>(change.revision)},
              {"store_reachable", follower_.isReachable()}});
}

void ServingHost::onEvacuation(const StoreChange &change) {
  using Source = Evacuations::Source;
  static constexpr const char *Names[] = {"none", "begun", "ended", "held",
                                          "ignored"};
  const std::string dataCentre =
      change.key.substr(dialect_->evacuationPrefix().size());
  const TimePoint now = steadyNow();
  const Source source =
      change.isFromCopy ? Source::RestoredCopy : Source::Written;
  const Evacuations::Change outcome =
      change.removed ? context_.registry.endEvacuation(dataCentre, source, now)
                     : context_.registry.beginEvacuation(
                           dataCentre, source, replicaConfirmedAt_, now);
  logEvent(LogLevel::Info, "evacuation_changed",
           {{"data_centre", dataCentre},
            {"change", Names[static_cast<int>(outcome)]},
            {"known_ms", toMillis(now - replicaConfirmedAt_)},
            {"from_copy", change.isFromCopy},
            {"revision", static_cast<long>(change.revision)},
            {"store_reachable", follower_.isReachable()}});
}

void ServingHost::onHost(const StoreChange &change) {
  const std::string host = change.key.substr(dialect_->hostPrefix().size());
  const TimePoint now = steadyNow();
  if (change.removed) {
    watcherSelector_.removeHost(host);
    return peers_.setUnlisted(host, now);
  }
  // A host that had been removed returns only with an entry of its own.
  if (change.isFromCopy && !peers_.isListed(host))
    return;
  const std::vector<std::string> fields = absl::StrSplit(change.value, ' ');
  const std::optional<Endpoint> endpoint = parseEndpoint(fields[0]);
  if (!endpoint) {
    logEvent(LogLevel::Warning, "host_entry_ignored", {{"key", change.key}});
    return;
  }
  double share = 1;
  if (fields.size() > 2 && (!absl::SimpleAtod(fields[2], &share) || share <= 0))
    share = 1;
  const bool isLeaving = fields.size() > 3 && fields[3] == LeavingMarker;
  peers_.setListed(host, *endpoint, share, now);
  if (host != peers_.self())
    peers_.setLeaving(host, isLeaving);
  if (isLeaving)
    watcherSelector_.removeHost(host);
  else
    watcherSelector_.setHost(host, {fields.size() > 1 ? fields[1] : "", share});
}

void ServingHost::onStoreReachable(bool reachable, std::string_view) {
  if (reachable)
    context_.registry.onStoreAvailable(steadyNow());
  else
    context_.registry.onStoreUnavailable();
}

// Peers.

void ServingHost::onPeerMessage(const std::string &from,
                                const PeerMessage &message) {
  if (const auto *heartbeat = std::get_if<HostHeartbeat>(&message))
    return onHeartbeat(from, *heartbeat);
  if (const auto *submit = std::get_if<JobSubmit>(&message))
    return pieceDispatcher_.onSubmit(from, *submit);
  if (const auto *outcomes = std::get_if<JobOutcomes>(&message))
    return pieceDispatcher_.onOutcomes(*outcomes);
  if (const auto *release = std::get_if<ResultRelease>(&message))
    return pieceDispatcher_.onRelease(*release);
  if (const auto *cancel = std::get_if<JobCancel>(&message))
    return pieceDispatcher_.onJobCancel(from, *cancel);
  if (const auto *request = std::get_if<ReplicaRequest>(&message))
    return replicaExchange_.onRequest(
        from, *request, context_.registry.isStoreStable(steadyNow()));
  if (const auto *reply = std::get_if<ReplicaReply>(&message))
    return replicaExchange_.onReply(from, *reply);
  if (const auto *update = std::get_if<StoreVersionUpdate>(&message))
    return onVersionUpdate(from, *update);
  if (const auto *update = std::get_if<StreamOriginsUpdate>(&message))
    return streamOrigins_.onOrigins(from, update->origins);
  if (const auto *query = std::get_if<StreamOriginQuery>(&message))
    return streamOrigins_.onQuery(from, *query);
  if (const auto *reply = std::get_if<StreamOriginReply>(&message))
    return streamOrigins_.onReply(from, *reply);
  if (const auto *request = std::get_if<PermitRequest>(&message))
    return requestLimits_.onPermitRequest(from, *request);
  if (const auto *reply = std::get_if<PermitReply>(&message))
    return requestLimits_.onPermitReply(*reply);
  if (const auto *release = std::get_if<PermitRelease>(&message))
    return requestLimits_.onPermitRelease(*release);
  if (const auto *update = std::get_if<UpstreamStatementUpdate>(&message))
    return requestLimits_.onUpdate(from, *update);
  if (const auto *report = std::get_if<PartCrashReport>(&message))
    return partGuard_.onReport(from, *report);
  if (const auto *update = std::get_if<PartQuarantineUpdate>(&message))
    return partGuard_.onUpdate(from, *update);
  if (const auto *request = std::get_if<PartTrialRequest>(&message))
    return partGuard_.onTrialRequest(from, *request);
  if (const auto *reply = std::get_if<PartTrialReply>(&message))
    return partGuard_.onTrialReply(*reply);
  if (const auto *request = std::get_if<OperatorConfigurationRequest>(&message))
    return replicaExchange_.onConfigurationRequest(from, *request,
                                                   configurationText_);
  if (const auto *reply = std::get_if<OperatorConfigurationReply>(&message))
    return onConfigurationReply(from, *reply);
  if (const auto *probe = std::get_if<BatcherProbe>(&message);
      probe != nullptr && !probe->isReply)
    peers_.send(from, BatcherProbe{true});
}

void ServingHost::onHeartbeat(const std::string &from,
                              const HostHeartbeat &heartbeat) {
  peers_.setLeaving(from, heartbeat.isLeaving);
  const TimePoint now = steadyNow();
  for (const auto &entry : context_.registry.all())
    entry.second->peers.erase(from);
  for (const UpstreamLoad &load : heartbeat.loads)
    if (const UpstreamStatePtr upstream = context_.registry.byId(load.upstream))
      upstream->peers[from] = {load.inFlight, load.prefillTokens,
                               load.reservedTokens, now};
  for (const UpstreamNotice &notice : heartbeat.notices)
    applyUpstreamNotice(notice, from, &context_.registry, now);
  streamOrigins_.onOrigins(from, heartbeat.origins);
  streamOrigins_.setStoreReachable(from, heartbeat.storeReachable);
  partGuard_.onHeartbeat(from, heartbeat.quarantines);
  requestLimits_.onHeartbeat(from, heartbeat.statements);
  context_.speeds.statements().learn(heartbeat.statements, now);
  answerCutPeer(from, heartbeat);
  reach_.onHeartbeat(from, heartbeat);
  onPeerStoreVersion(from, heartbeat.storeVersion, heartbeat.storeVersionAge);
  requestNewerConfiguration(from, heartbeat);
}

void ServingHost::answerCutPeer(const std::string &from,
                                const HostHeartbeat &heartbeat) {
  // In a small fleet it receives the heartbeats of all hosts.
  if (!heartbeat.reach.isCut || reach_.isCut() || isStopping() ||
      peers_.peerCount() <= PeerNetwork::HeartbeatFanout)
    return;
  const double share =
      AnswersPerCutHeartbeat / static_cast<double>(peers_.peerCount());
  if (std::bernoulli_distribution(std::min(share, 1.0))(context_.random))
    peers_.send(from, takeHeartbeat());
}

void ServingHost::onVersionUpdate(const std::string &from,
                                  const StoreVersionUpdate &update) {
  watcherSelector_.onWatcherUpdate(from, steadyNow());
  onPeerStoreVersion(from, update.version, update.age);
}

void ServingHost::onPeerStoreVersion(const std::string &from,
                                     const StoreVersion &version,
                                     Duration age) {
  follower_.onPeerVersion(version, age);
  watcherSelector_.onVersion(from, version, follower_.replica().version(),
                             steadyNow());
  replicaExchange_.fetchMissingChanges();
}

void ServingHost::requestNewerConfiguration(const std::string &from,
                                            const HostHeartbeat &heartbeat) {
  // A peer that is ahead in the store as well delivers it with other changes.
  const std::int64_t own = configurationVersion();
  if (heartbeat.configurationVersion > own &&
      !(follower_.replica().version() < heartbeat.storeVersion))
    replicaExchange_.fetchConfiguration(from, configurationText_);
}

void ServingHost::onConfigurationReply(
    const std::string &from, const OperatorConfigurationReply &reply) {
  const std::int64_t before = configurationVersion();
  if (const auto text =
          replicaExchange_.configurationIn(reply, configurationText_))
    applyConfiguration(*text, "peer");
  replicaExchange_.onConfigurationReply(from, before < configurationVersion());
}

void ServingHost::sendVersionUpdates() {
  if (!follower_.isWatching() || !follower_.isReachable() || isStopping())
    return;
  for (const std::string &host : watcherSelector_.updateRecipients())
    peers_.send(host, StoreVersionUpdate{follower_.replica().version(),
                                         follower_.versionAge()});
}

HostHeartbeat ServingHost::takeHeartbeat() {
  HostHeartbeat heartbeat = stateHeartbeat();
  heartbeat.origins = streamOrigins_.takeForHeartbeat();
  for (UpstreamStatement &statement :
       context_.speeds.statements().takeForHeartbeat(steadyNow(),
                                                     &context_.random))
    heartbeat.statements.push_back(std::move(statement));
  return heartbeat;
}

HostHeartbeat ServingHost::stateHeartbeat() {
  HostHeartbeat heartbeat;
  heartbeat.quarantines = partGuard_.statesForHeartbeat();
  heartbeat.statements = requestLimits_.statementsForHeartbeat();
  heartbeat.reach = reach_.ownReach(static_cast<std::int64_t>(requests_.size()),
                                    settings_.processorShare);
  heartbeat.handOverPort = handOverServer_.endpoint().port;
  heartbeat.storeVersion = follower_.replica().version();
  heartbeat.storeVersionAge = follower_.versionAge();
  heartbeat.storeReachable = follower_.isReachable();
  heartbeat.isLeaving = isStopping();
  heartbeat.configurationVersion = configurationVersion();
  const TimePoint now = steadyNow();
  for (const auto &entry : context_.registry.all()) {
    const UpstreamState &upstream = *entry.second;
    if (upstream.inFlight > 0)
      heartbeat.loads.push_back({upstream.entry.id, upstream.inFlight,
                                 upstream.prefillTokens,
                                 upstream.reservedTokens});
    const TimePoint unusableUntil =
        std::max(upstream.refusesUntil, upstream.ejectedUntil);
    if (upstream.hasAnnouncedLeaving || now < unusableUntil)
      heartbeat.notices.push_back({upstream.entry.id,
                                   upstream.entry.startedAtMillis,
                                   upstream.hasAnnouncedLeaving,
                                   std::max(Duration(0), unusableUntil - now)});
  }
  return heartbeat;
}

// Callers, readiness probes and metrics.

void ServingHost::onCaller(std::shared_ptr<http::Exchange> exchange) {
  startRequest(std::move(exchange), ActiveRequest::Source::Caller);
}

std::int64_t ServingHost::handedOverCount() const {
  return std::count_if(
      requests_.begin(), requests_.end(),
      [](const auto &request) { return request.second->isFromPeer(); });
}

void ServingHost::onHandedOver(std::shared_ptr<http::Exchange> exchange) {
  const std::string *key =
      exchange->head.headers.find(ActiveRequest::PeerKeyHeader);
  if (key == nullptr || *key != settings_.peerKey)
    return exchange->respond({403, {}}, "");
  exchange->head.headers.remove(ActiveRequest::PeerKeyHeader);
  const std::int64_t handedOver = handedOverCount();
  const auto own = static_cast<std::int64_t>(requests_.size()) - handedOver;
  if (isStopping() || reach_.isCut() || !mayHelp(own, handedOver)) {
    const std::string id = dialect_->parseCallerRequest(exchange->head).id;
    context_.metrics.countHandOver("refused");
    logEvent(LogLevel::Info, "help_refused",
             {{"id", id},
              {"cut", reach_.isCut()},
              {"own", static_cast<long>(own)},
              {"handed_over", static_cast<long>(handedOver)}});
    http::ResponseHead reply =
        dialect_->localReply(503, id, ActiveRequest::DefaultRetryAfter);
    reply.headers.add(ActiveRequest::NotRunHeader, "1");
    return exchange->respond(std::move(reply), "");
  }
  context_.metrics.countHandOver("taken");
  startRequest(std::move(exchange), ActiveRequest::Source::Peer);
}

void ServingHost::startRequest(std::shared_ptr<http::Exchange> exchange,
                               ActiveRequest::Source source) {
  auto request = std::make_shared<ActiveRequest>(
      &context_, std::move(exchange), source,
      handlers_.bind([this](ActiveRequest *done) { requests_.erase(done); }));
  requests_[request.get()] = request;
  request->start();
}

bool ServingHost::isReady() const {
  return !isStopping() && context_.table != nullptr;
}

void ServingHost::onReadiness(http::Exchange *exchange) {
  exchange->respond({isReady() ? 200 : 503, {}}, "");
}

void ServingHost::onMetrics(http::Exchange *exchange) {
  ServingMetrics &metrics = context_.metrics;
  metrics.set("requests_in_progress", static_cast<double>(requests_.size()));
  metrics.set("response_bytes_held",
              static_cast<double>(context_.responseBudget.heldBytes()));
  metrics.set("caller_connections",
              static_cast<double>(callerServer_.connectionCount()));
  metrics.set("caller_bytes_discarded",
              static_cast<double>(callerServer_.closedWithBytes()));
  metrics.set("store_revision",
              static_cast<double>(follower_.replica().version().revision));
  metrics.set("store_era",
              static_cast<double>(follower_.replica().version().era));
  metrics.set("store_restores", static_cast<double>(follower_.restoreCount()));
  metrics.set("store_version_age_ms", toMillis(follower_.versionAge()));
  metrics.set("store_reachable", follower_.isReachable() ? 1 : 0);
  metrics.set("store_calls", static_cast<double>(follower_.storeCalls()));
  metrics.set("configuration_version",
              static_cast<double>(configurationVersion()));
  metrics.set("upstreams", static_cast<double>(context_.registry.size()));
  metrics.set("evacuations",
              static_cast<double>(context_.registry.evacuationCount()));
  metrics.set("hosts_alive",
              static_cast<double>(peers_.availableHosts(steadyNow()).size()));
  metrics.set("stage_jobs_outstanding",
              static_cast<double>(pieceDispatcher_.outstandingCount()));
  metrics.set("stream_origins", static_cast<double>(streamOrigins_.size()));
  const StreamOriginExchange::Counters &origins = streamOrigins_.counters();
  metrics.set("origin_queries", static_cast<double>(origins.queries));
  metrics.set("origin_checks", static_cast<double>(origins.checks));
  metrics.set("origin_queries_unanswered",
              static_cast<double>(origins.unanswered));
  metrics.set("peer_repetitions", static_cast<double>(repeatedDeliveries_));
  const StreamOriginStore::Counters &stored = originStore_.counters();
  metrics.set("origin_pages_written", static_cast<double>(stored.pagesWritten));
  metrics.set("origin_writes_failed", static_cast<double>(stored.writesFailed));
  metrics.set("origins_written", static_cast<double>(stored.originsWritten));
  metrics.set("origin_reads", static_cast<double>(stored.reads));
  metrics.set("origin_reads_failed", static_cast<double>(stored.readsFailed));
  metrics.set("origins_read", static_cast<double>(stored.originsRead));
  metrics.set("origins_recovered", static_cast<double>(stored.recovered));
  metrics.set("cut", reach_.isCut() ? 1 : 0);
  metrics.set("lost_pools", static_cast<double>(reach_.lostPoolCount()));
  metrics.set("limited_upstreams",
              static_cast<double>(
                  requestLimits_.limitedCount(StatementKind::RequestLimit)));
  metrics.set("cold_upstreams", static_cast<double>(requestLimits_.limitedCount(
                                    StatementKind::Cold)));
  metrics.set("brittle_upstreams",
              static_cast<double>(
                  requestLimits_.limitedCount(StatementKind::RejectionLimit)));
  metrics.set("quarantined_parts",
              static_cast<double>(partGuard_.quarantinedCount()));
  metrics.set("suspected_parts",
              static_cast<double>(partGuard_.suspectCount()));
  const PieceDispatcher::Counters pieces = pieceDispatcher_.counters();
  metrics.set("batches_sent", static_cast<double>(pieces.batches));
  metrics.set("pieces_sent", static_cast<double>(pieces.pieces));
  metrics.set("batches_broken", static_cast<double>(pieces.failedBatches));
  metrics.set("stage_jobs_resubmitted",
              static_cast<double>(pieces.resubmitted));
  const PeerMesh::Counters mesh = peers_.counters();
  metrics.set("peer_bytes_sent", static_cast<double>(mesh.bytesSent));
  metrics.set("peer_messages_dropped",
              static_cast<double>(mesh.messagesDropped));
  const ReplicaExchange::Counters &replicas = replicaExchange_.counters();
  metrics.set("replica_fetches", static_cast<double>(replicas.fetches));
  metrics.set("replica_replies", static_cast<double>(replicas.replies));
  metrics.set("replica_bytes_sent", static_cast<double>(replicas.bytesSent));
  metrics.set("replica_bytes_received",
              static_cast<double>(replicas.bytesReceived));
  metrics.set("replica_deltas_failed",
              static_cast<double>(replicas.failedDeltas));
  metrics.set("replica_replies_outdated",
              static_cast<double>(replicas.outdatedReplies));
  http::ResponseHead head{200, {}};
  head.headers.add("Content-Type", "text/plain; version=0.0.4");
  exchange->respond(std::move(head), metrics.text());
}

void ServingHost::scheduleTick() {
  tickTimer_.startAfter(TickInterval, [this] {
    tick();
    scheduleTick();
  });
}

void ServingHost::tick() {
  const TimePoint now = steadyNow();
  ++ticks_;
  // All peers learn of a cut, since any may choose this host for a role, and
  // any may help.
  const bool tellsAll =
      reach_.tick() || (reach_.isCut() && ticks_ % TicksPerCutHeartbeat == 0);
  if (tellsAll)
    peers_.broadcast(takeHeartbeat(), peers_.peerCount());
  else if (ticks_ % TicksPerHeartbeat == 0)
    peers_.broadcast(takeHeartbeat(), PeerNetwork::HeartbeatFanout);
  repeatMissed(now);
  streamOrigins_.tick();
  partGuard_.tick();
  noteVersions(now);
  storeOrigins(now);
  if (ticks_ % TicksPerVersionUpdate == 0)
    sendVersionUpdates();
  follower_.setWatching(watcherSelector_.mustWatch(now));
  if (follower_.isWatching())
    follower_.confirmIfStale(watcherSelector_.rank());
  replicaExchange_.fetchMissingChanges();
  replicaConfirmedAt_ = now - follower_.versionAge();
  for (const std::string &dataCentre :
       context_.registry.endHeldEvacuations(now))
    logEvent(LogLevel::Warning, "evacuation_changed",
             {{"data_centre", dataCentre},
              {"change", "ended"},
              {"why", "missing since the store was restored from a copy"}});
  const std::vector<std::string> expired = context_.registry.dropExpired(now);
  for (const std::string &key : expired)
    logEvent(LogLevel::Info, "upstream_changed",
             {{"upstream", key},
              {"change", "left"},
              {"why", "still missing after the store became reachable again"}});
  if (!expired.empty())
    pieceDispatcher_.onUpstreamsChanged();
  peers_.forgetDeparted(now);
  context_.retryQuota.setSharingHosts(peers_.peerCount() + 1);
  follower_.setHostCount(peers_.peerCount() + 1);
  pieceDispatcher_.tick(now);
  if (isStopping())
    checkStopped();
}

void ServingHost::repeatMissed(TimePoint now) {
  const auto isAvailable = [&](const std::string &host) {
    return peers_.isReachable(host, now);
  };
  for (const MissedDeliveries::Due &due :
       missedDeliveries_.takeDue(isAvailable, now)) {
    ++repeatedDeliveries_;
    logEvent(LogLevel::Info, "peer_messages_repeated",
             {{"peer", due.host}, {"since_ms", toMillis(now - due.since)}});
    // In a small fleet the next heartbeat holds all but the rest.
    if (!streamOrigins_.heartbeatsReachAll())
      peers_.send(due.host, stateHeartbeat());
    streamOrigins_.repeat(due.host, due.since);
    requestLimits_.repeat(due.host, due.since);
  }
}

void ServingHost::noteVersions(TimePoint now) {
  PoolVersionHistory &history = context_.versionHistory;
  history.onConfirmed(follower_.versionAge() < MaxConfirmedAge &&
                          context_.registry.isStoreStable(now),
                      now);
  for (const auto &entry : context_.registry.all())
    history.onSeen(entry.second->entry.pool,
                   entry.second->entry.softwareVersion, now);
  history.dropOld(now);
}

void ServingHost::storeOrigins(TimePoint now) {
  if (ticks_ % TicksPerHeartbeat == 0 && context_.table) {
    Duration longest{0};
    for (const ServedRoute &route : context_.table->routes)
      if (route.isStream && route.isResumable)
        longest = std::max(
            {longest, route.timeout, context_.longestTimeout[route.name]});
    streamOrigins_.setStoredPools(longest == Duration(0)
                                      ? std::set<std::string>()
                                      : context_.versionHistory.poolsOfSeveral(
                                            longest + MaxConfirmedAge, now));
  }
  streamOrigins_.setStoreReachable(settings_.host, follower_.isReachable());
  originStore_.tick(peers_.peerCount() + 1);
}

void ServingHost::stop() {
  if (isStopping())
    return;
  const TimePoint now = steadyNow();
  context_.stop = PlannedStop{now, requestsEndAt(now)};
  logEvent(LogLevel::Info, "stopping",
           {{"requests", static_cast<unsigned long>(requests_.size())},
            {"connections",
             static_cast<unsigned long>(callerServer_.connectionCount())}});
  peers_.setLeaving(peers_.self(), true);
  peers_.broadcast(takeHeartbeat(), PeerNetwork::HeartbeatFanout);
  streamOrigins_.announce();
  pieceDispatcher_.transferJobs();
  follower_.announceLeaving();
  callerServer_.drain(IdleCloseDelay);
}

TimePoint ServingHost::requestsEndAt(TimePoint stoppingSince) const {
  return stoppingSince + settings_.stopTimeout - FinalResponseMargin;
}

void ServingHost::checkStopped() {
  const TimePoint now = steadyNow();
  const Duration since = now - context_.stop->since;
  if (since >= IdleCloseDelay && !idleConnectionsClosed_) {
    idleConnectionsClosed_ = true;
    callerServer_.close();
  }
  if (now >= context_.stop->endsAt) {
    std::vector<std::shared_ptr<ActiveRequest>> remaining;
    remaining.reserve(requests_.size());
    for (const auto &request : requests_)
      remaining.push_back(request.second);
    for (const auto &request : remaining)
      request->endForShutdown();
  }
  const bool isIdle = idleConnectionsClosed_ && requests_.empty() &&
                      callerServer_.connectionCount() == 0;
  if (!isIdle && since < settings_.stopTimeout - ExitMargin)
    return;
  // Removes the entry before the process exits, if the store responds in time.
  if (!deregistered_) {
    deregistered_ = true;
    return follower_.deregister();
  }
  logEvent(LogLevel::Info, "stopped",
           {{"clean", requests_.empty()},
            {"requests", static_cast<unsigned long>(requests_.size())}});
  peers_.stop();
  io_.stop();
}

void ServingHost::reload(const ServingSettings &settings) {
  settings_.logLevel = settings.logLevel;
  LogLevel level = LogLevel::Info;
  parseLogLevel(settings_.logLevel, &level);
  setLogLevel(level);
  settings_.retryRatio = settings.retryRatio;
  settings_.retrySlack = settings.retrySlack;
  settings_.retryWindow = settings.retryWindow;
  settings_.stopTimeout = settings.stopTimeout;
  if (isStopping())
    context_.stop->endsAt = requestsEndAt(context_.stop->since);
  context_.retryQuota.setLimits(
      {settings_.retryRatio, settings_.retrySlack, settings_.retryWindow});
  logEvent(LogLevel::Info, "settings_reloaded",
           {{"retry_ratio", settings_.retryRatio},
            {"retry_slack", settings_.retrySlack}});
}

} // namespace auburnspring
