#include "auburnspring/serving/serving_host.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <fmt/format.h>

#include <random>

namespace auburnspring {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// A beat every so many ticks.
constexpr std::uint64_t TicksPerBeat = 2;
/// A host that watches the store says so every so many ticks.
constexpr std::uint64_t TicksPerNews = 2;
/// Peers that one beat goes to.
constexpr std::size_t BeatFanout = 12;
/// After SIGTERM connections without a request stay open this long, so that
/// callers that have not heard of it can still send.
constexpr Duration IdleAfterStop = std::chrono::milliseconds(3500);
/// Requests that come this long after SIGTERM are refused: they could be cut
/// off in the middle, and another host serves them now.
constexpr Duration RefuseAfterStop = std::chrono::milliseconds(2500);
/// What is still under way gets its answer this long before the process would
/// be killed, and the process ends a little later.
constexpr Duration AnswerMargin = std::chrono::milliseconds(1000);
constexpr Duration StopMargin = std::chrono::milliseconds(400);
/// When a caller that meets a stopping host may try another one.
constexpr Duration ReturnAfterStop = std::chrono::milliseconds(50);

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Fourth word of a host's entry while it stops.
constexpr const char *LeavingWord = "leaving";

std::string hostEntry(const ServingSettings &settings, bool isLeaving) {
  return fmt::format("{} {} {}{}{}", toString(settings.peers),
                     settings.dataCentre, settings.processorShare,
                     isLeaving ? " " : "", isLeaving ? LeavingWord : "");
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
          [this](const std::string &host) { pieces_.onPeerLost(host); }),
      pieces_(io, dialect, &peers_, &context_.registry,
              [this](const std::string &pool) -> const BatchLimits * {
                const ServedPool *found =
                    context_.table ? context_.table->pool(pool) : nullptr;
                return found != nullptr && found->batches ? &*found->batches
                                                          : nullptr;
              }),
      follower_(io, store,
                {dialect->hostPrefix() + settings_.host,
                 hostEntry(settings_, false), hostEntry(settings_, true),
                 randomSeed()},
                {[this](const std::vector<StoreChange> &changes) {
                   onStoreChanges(changes);
                 },
                 [this](bool reachable, std::string_view why) {
                   onStoreReachable(reachable, why);
                 }}),
      callers_(io,
               [this](std::shared_ptr<http::Exchange> exchange) {
                 onCaller(std::move(exchange));
               }),
      readiness_(io,
                 [this](const std::shared_ptr<http::Exchange> &exchange) {
                   onReadiness(exchange.get());
                 }),
      metrics_(io,
               [this](const std::shared_ptr<http::Exchange> &exchange) {
                 onMetrics(exchange.get());
               }),
      tickTimer_(io),
      duty_(settings_.host, {settings_.dataCentre, settings_.processorShare}) {
  context_.io = &io;
  context_.dialect = dialect;
  context_.pieces = &pieces_;
  context_.random.seed(randomSeed());
  context_.repeats.setLimits({settings_.retryRatio,
                              static_cast<double>(settings_.retrySlack),
                              settings_.retryWindow});
}

ServingHost::~ServingHost() = default;

absl::Status ServingHost::start() {
  absl::Status status = peers_.start();
  if (status.ok())
    status = callers_.listen(settings_.callers);
  if (status.ok())
    status = readiness_.listen(settings_.readiness);
  if (!status.ok())
    return status;
  // Metrics are a convenience: the host serves without them.
  const absl::Status metrics = metrics_.listen(settings_.metrics);
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

// Beliefs.

void ServingHost::onStoreChanges(const std::vector<StoreChange> &changes) {
  const std::uint64_t before = context_.registry.changes();
  for (const StoreChange &change : changes) {
    if (change.key == dialect_->configurationKey())
      onConfiguration(change);
    else if (absl::StartsWith(change.key, dialect_->upstreamPrefix()))
      onUpstream(change);
    else if (absl::StartsWith(change.key, dialect_->hostPrefix()))
      onHost(change);
  }
  if (context_.registry.changes() != before)
    pieces_.onUpstreamsChanged();
  tellNews();
}

void ServingHost::onConfiguration(const StoreChange &change) {
  if (change.removed) {
    logEvent(LogLevel::Warning, "configuration_removed",
             {{"revision", static_cast<long>(change.revision)}});
    return;
  }
  absl::StatusOr<RoutingTable> table =
      dialect_->readConfiguration(change.value);
  if (!table.ok()) {
    logEvent(LogLevel::Error, "configuration_unreadable",
             {{"revision", static_cast<long>(change.revision)},
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
            {"revision", static_cast<long>(change.revision)},
            {"routes", static_cast<unsigned long>(table->routes.size())},
            {"pools", static_cast<unsigned long>(table->pools.size())},
            {"organisations",
             static_cast<unsigned long>(table->organisations.size())}});
  context_.table = std::make_shared<const RoutingTable>(*std::move(table));
  const CallerLimits &limits = context_.table->limits;
  callers_.setLimits({static_cast<std::size_t>(limits.maxHeadBytes),
                      static_cast<std::size_t>(limits.maxBodyBytes),
                      limits.headTimeout, limits.idleTimeout});
  pieces_.onUpstreamsChanged();
}

void ServingHost::onUpstream(const StoreChange &change) {
  using Change = UpstreamRegistry::Change;
  static constexpr const char *Names[] = {"none", "joined", "left", "updated",
                                          "lapsed"};
  Change what = Change::None;
  if (!change.removed) {
    absl::StatusOr<UpstreamEntry> entry =
        dialect_->readUpstream(change.key, change.value);
    if (entry.ok()) {
      what = context_.registry.put(change.key, *std::move(entry));
    } else {
      logEvent(LogLevel::Warning, "upstream_entry_ignored",
               {{"key", change.key},
                {"revision", static_cast<long>(change.revision)},
                {"error", std::string(entry.status().message())}});
      what = context_.registry.remove(change.key, steadyNow(),
                                      removalsAreCertain_);
    }
  } else {
    what =
        context_.registry.remove(change.key, steadyNow(), removalsAreCertain_);
  }
  if (what != Change::None && what != Change::Updated)
    logEvent(LogLevel::Info, "upstream_changed",
             {{"upstream", change.key},
              {"change", Names[static_cast<int>(what)]},
              {"removed", change.removed},
              {"revision", static_cast<long>(change.revision)},
              {"store_reachable", follower_.isReachable()}});
}

void ServingHost::onHost(const StoreChange &change) {
  const std::string host = change.key.substr(dialect_->hostPrefix().size());
  const TimePoint now = steadyNow();
  if (change.removed) {
    duty_.removeHost(host);
    return peers_.setUnlisted(host, now);
  }
  const std::vector<std::string> fields = absl::StrSplit(change.value, ' ');
  const std::optional<Endpoint> endpoint = parseEndpoint(fields[0]);
  if (!endpoint) {
    logEvent(LogLevel::Warning, "host_entry_ignored", {{"key", change.key}});
    return;
  }
  double share = 1;
  if (fields.size() > 2 && (!absl::SimpleAtod(fields[2], &share) || share <= 0))
    share = 1;
  const bool isLeaving = fields.size() > 3 && fields[3] == LeavingWord;
  peers_.setListed(host, *endpoint, share, now);
  if (host != peers_.self())
    peers_.setLeaving(host, isLeaving);
  if (isLeaving)
    duty_.removeHost(host);
  else
    duty_.setHost(host, {fields.size() > 1 ? fields[1] : "", share});
}

void ServingHost::onStoreReachable(bool reachable, std::string_view) {
  if (reachable)
    context_.registry.storeBack(steadyNow());
  else
    context_.registry.storeLost();
}

// Peers.

void ServingHost::onPeerMessage(const std::string &from,
                                const PeerMessage &message) {
  if (const auto *beat = std::get_if<HostBeat>(&message))
    return onBeat(from, *beat);
  if (const auto *submit = std::get_if<PieceSubmit>(&message))
    return pieces_.onSubmit(from, *submit);
  if (const auto *outcomes = std::get_if<PieceOutcomes>(&message))
    return pieces_.onOutcomes(*outcomes);
  if (const auto *release = std::get_if<PieceRelease>(&message))
    return pieces_.onRelease(*release);
  if (const auto *withdraw = std::get_if<PieceWithdraw>(&message))
    return pieces_.onWithdraw(from, *withdraw);
  if (const auto *request = std::get_if<ReplicaRequest>(&message))
    return onReplicaRequest(from, *request);
  if (const auto *reply = std::get_if<ReplicaReply>(&message))
    return onReplicaReply(*reply);
  if (const auto *news = std::get_if<StoreNews>(&message))
    return onNews(from, *news);
  if (const auto *ping = std::get_if<GathererPing>(&message);
      ping != nullptr && !ping->isAnswer)
    peers_.send(from, GathererPing{true});
}

void ServingHost::onBeat(const std::string &from, const HostBeat &beat) {
  peers_.setLeaving(from, beat.isLeaving);
  const TimePoint now = steadyNow();
  for (const auto &entry : context_.registry.all())
    entry.second->peers.erase(from);
  for (const UpstreamLoad &load : beat.loads)
    if (const ServedUpstreamPtr upstream =
            context_.registry.byId(load.upstream))
      upstream->peers[from] = {load.inFlight, load.prefillTokens,
                               load.heldTokens, now};
  duty_.onRevision(from, beat.storeRevision, follower_.replica().revision(),
                   now);
  askIfBehind();
}

void ServingHost::onNews(const std::string &from, const StoreNews &news) {
  const TimePoint now = steadyNow();
  duty_.onNews(from, now);
  duty_.onRevision(from, news.revision, follower_.replica().revision(), now);
  askIfBehind();
}

void ServingHost::askIfBehind() {
  const std::int64_t own = follower_.replica().revision();
  if (const auto host = duty_.whomToAsk(own, steadyNow()))
    peers_.send(*host, ReplicaRequest{own});
}

void ServingHost::tellNews() {
  if (!follower_.isWatching() || !follower_.isReachable() || stopping_)
    return;
  for (const std::string &host : duty_.listeners())
    peers_.send(host, StoreNews{follower_.replica().revision()});
}

void ServingHost::onReplicaReply(const ReplicaReply &reply) {
  removalsAreCertain_ = reply.isSteady;
  follower_.applyFromPeer(reply.isWhole, reply.revision, reply.changes);
  removalsAreCertain_ = false;
}

void ServingHost::onReplicaRequest(const std::string &from,
                                   const ReplicaRequest &request) {
  ReplicaReply reply;
  const StoreReplica &replica = follower_.replica();
  reply.revision = replica.revision();
  reply.isSteady = context_.registry.isStoreSteady(steadyNow());
  if (!replica.changesAfter(request.revision, &reply.changes)) {
    reply.isWhole = true;
    reply.changes = replica.snapshot();
  }
  peers_.send(from, std::move(reply));
}

HostBeat ServingHost::beat() const {
  HostBeat beat;
  beat.storeRevision = follower_.replica().revision();
  beat.storeReachable = follower_.isReachable();
  beat.isLeaving = stopping_;
  for (const auto &entry : context_.registry.all())
    if (entry.second->inFlight > 0)
      beat.loads.push_back({entry.second->entry.id, entry.second->inFlight,
                            entry.second->prefillTokens,
                            entry.second->heldTokens});
  return beat;
}

// Callers and the platform.

void ServingHost::onCaller(std::shared_ptr<http::Exchange> exchange) {
  if (stopping_ && steadyNow() - stoppingSince_ > RefuseAfterStop) {
    const std::string id = dialect_->readCaller(exchange->head).id;
    logEvent(LogLevel::Info, "request_done",
             {{"id", id}, {"outcome", "not_run"}, {"reason", "stopping"}});
    return exchange->respond(dialect_->ownAnswer(503, id, ReturnAfterStop), "");
  }
  auto run = std::make_shared<CallerRun>(
      &context_, std::move(exchange),
      [this](CallerRun *finished) { runs_.erase(finished); });
  runs_[run.get()] = run;
  run->start();
}

bool ServingHost::isReady() const {
  return !stopping_ && context_.table != nullptr;
}

void ServingHost::onReadiness(http::Exchange *exchange) {
  exchange->respond({isReady() ? 200 : 503, {}}, "");
}

void ServingHost::onMetrics(http::Exchange *exchange) {
  ServingMetrics &metrics = context_.metrics;
  metrics.set("requests_in_progress", static_cast<double>(runs_.size()));
  metrics.set("caller_connections",
              static_cast<double>(callers_.connectionCount()));
  metrics.set("store_revision",
              static_cast<double>(follower_.replica().revision()));
  metrics.set("store_reachable", follower_.isReachable() ? 1 : 0);
  metrics.set("store_calls", static_cast<double>(follower_.callsMade()));
  metrics.set("configuration_version",
              context_.table ? static_cast<double>(context_.table->version)
                             : 0);
  metrics.set("upstreams", static_cast<double>(context_.registry.size()));
  metrics.set("hosts_alive",
              static_cast<double>(peers_.alive(steadyNow()).size()));
  metrics.set("stage_jobs_outstanding",
              static_cast<double>(pieces_.outstandingCount()));
  const PieceDesk::Counters pieces = pieces_.counters();
  metrics.set("batches_sent", static_cast<double>(pieces.batches));
  metrics.set("pieces_sent", static_cast<double>(pieces.pieces));
  metrics.set("batches_broken", static_cast<double>(pieces.brokenBatches));
  metrics.set("stage_jobs_resubmitted",
              static_cast<double>(pieces.resubmitted));
  const PeerMesh::Counters mesh = peers_.counters();
  metrics.set("peer_bytes_sent", static_cast<double>(mesh.bytesSent));
  http::ResponseHead head{200, {}};
  head.headers.add("Content-Type", "text/plain; version=0.0.4");
  exchange->respond(std::move(head), metrics.text());
}

void ServingHost::scheduleTick() {
  tickTimer_.expires_after(TickInterval);
  tickTimer_.async_wait([this](asio::error_code error) {
    if (error)
      return;
    tick();
    scheduleTick();
  });
}

void ServingHost::tick() {
  const TimePoint now = steadyNow();
  if (++ticks_ % TicksPerBeat == 0)
    peers_.broadcast(beat(), BeatFanout);
  if (ticks_ % TicksPerNews == 0)
    tellNews();
  follower_.setWatching(duty_.mustWatch(now));
  askIfBehind();
  const std::vector<std::string> gone = context_.registry.expire(now);
  for (const std::string &key : gone)
    logEvent(LogLevel::Info, "upstream_changed",
             {{"upstream", key},
              {"change", "left"},
              {"why", "still missing after the store's return"}});
  if (!gone.empty())
    pieces_.onUpstreamsChanged();
  context_.repeats.setSharers(peers_.knownCount() + 1);
  follower_.setHostCount(peers_.knownCount() + 1);
  pieces_.tick(now);
  if (stopping_)
    checkStopped();
}

void ServingHost::stop() {
  if (stopping_)
    return;
  stopping_ = true;
  stoppingSince_ = steadyNow();
  logEvent(LogLevel::Info, "stopping",
           {{"requests", static_cast<unsigned long>(runs_.size())},
            {"connections",
             static_cast<unsigned long>(callers_.connectionCount())}});
  peers_.setLeaving(peers_.self(), true);
  peers_.broadcast(beat(), BeatFanout);
  pieces_.handOver();
  follower_.leave();
  callers_.drain(IdleAfterStop);
}

void ServingHost::checkStopped() {
  const Duration since = steadyNow() - stoppingSince_;
  if (since >= IdleAfterStop && !idleClosed_) {
    idleClosed_ = true;
    callers_.close();
  }
  if (since >= settings_.stopTimeout - AnswerMargin) {
    std::vector<std::shared_ptr<CallerRun>> left;
    left.reserve(runs_.size());
    for (const auto &run : runs_)
      left.push_back(run.second);
    for (const auto &run : left)
      run->endWithHost();
  }
  const bool isIdle =
      idleClosed_ && runs_.empty() && callers_.connectionCount() == 0;
  if (!isIdle && since < settings_.stopTimeout - StopMargin)
    return;
  // The entry is gone before the process is, if the store answers in time.
  if (!withdrawn_) {
    withdrawn_ = true;
    return follower_.withdraw();
  }
  logEvent(LogLevel::Info, "stopped",
           {{"clean", runs_.empty()},
            {"requests", static_cast<unsigned long>(runs_.size())}});
  peers_.stop();
  io_.stop();
}

void ServingHost::reload(const ServingSettings &settings) {
  settings_.logLevel = settings.logLevel;
  settings_.retryRatio = settings.retryRatio;
  settings_.retrySlack = settings.retrySlack;
  settings_.retryWindow = settings.retryWindow;
  settings_.stopTimeout = settings.stopTimeout;
  context_.repeats.setLimits({settings_.retryRatio,
                              static_cast<double>(settings_.retrySlack),
                              settings_.retryWindow});
  logEvent(LogLevel::Info, "settings_reloaded",
           {{"retry_ratio", settings_.retryRatio},
            {"retry_slack", static_cast<long>(settings_.retrySlack)}});
}

} // namespace auburnspring
