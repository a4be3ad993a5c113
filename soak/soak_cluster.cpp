#include "soak/soak_cluster.h"

#include "auburnspring/base/clock.h"
#include "platform/names.h"
#include "platform/testing/free_ports.h"
#include "platform/testing/random_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace auburnspring::soak {

namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// Ticks between the load balancer's readiness probes.
constexpr std::uint64_t TicksPerProbe = 20;
constexpr int UnhealthyThreshold = 2;
/// From SIGTERM to SIGKILL.
constexpr Duration GracePeriod = std::chrono::seconds(8);
/// From the end of a process to its restart.
constexpr Duration RestartDelay = std::chrono::milliseconds(600);
/// How long a draining upstream still serves.
constexpr Duration DrainTime = std::chrono::milliseconds(3500);
/// From an upstream's crash until its entry is gone and another one starts.
constexpr Duration CrashedTime = std::chrono::milliseconds(1000);
constexpr const char *FirstVersion = "v1";
/// Length of what makes a configuration large, the same in each.
constexpr std::size_t LargeCommentBytes = 300000;
constexpr std::size_t NestedEntryBytes = 1 << 20;
constexpr const char *MalformedEntryKey = "servers/malformed";

json route(const char *name, const char *prefix, const char *kind,
           const char *service, bool isResumable) {
  return {{"Name", name},
          {"Host", "shop"},
          {"PathPrefix", prefix},
          {"Kind", kind},
          {"Resumable", isResumable},
          {"TimeoutMs", 3000},
          {"TargetLatencyMs", 500},
          {"GapAimMs", 300},
          {"Service", service},
          {"MaxAttempts", isResumable || kind == std::string("safe") ? 2 : 1}};
}

} // namespace

SoakCluster::SoakCluster(asio::io_context &io, ClusterOptions options,
                         GuaranteeChecker *checker)
    : io_(io), options_(std::move(options)), checker_(checker), store_(io),
      tickTimer_(io) {
  constexpr std::size_t PortsPerHost = 4;
  const std::vector<std::uint16_t> ports =
      platform::freePorts(io, options_.hosts * PortsPerHost);
  for (std::size_t i = 0; i < options_.hosts; ++i) {
    auto host = std::make_unique<SoakHost>();
    host->name = fmt::format("entry-{}", i + 1);
    host->program = options_.programs[i % options_.programs.size()];
    host->settingsFile =
        fmt::format("{}/{}.json", options_.directory, host->name);
    host->logFile = fmt::format("{}/{}.log", options_.directory, host->name);
    const std::uint16_t *hostPorts = &ports[i * PortsPerHost];
    host->callerEndpoint = {"127.0.0.1", hostPorts[0]};
    host->readinessEndpoint = {"127.0.0.1", hostPorts[1]};
    host->peerEndpoint = {"127.0.0.1", hostPorts[2]};
    host->callerLink =
        std::make_unique<LoopbackProxy>(io, host->callerEndpoint);
    host->peerLink = std::make_unique<LoopbackProxy>(io, host->peerEndpoint);
    host->storeLink = std::make_unique<LoopbackProxy>(io, store_.endpoint());
    writeSettings(host.get(), hostPorts[3]);
    hosts_.push_back(std::move(host));
  }
  // Replaces each host's address in the store by that of its proxy, so that
  // peers connect through the proxy.
  store_.transformWrite = [this](const std::string &key,
                                 const std::string &value) {
    for (const auto &host : hosts_)
      if (key == names::HostPrefix + host->name)
        return toString(host->peerLink->endpoint()) +
               value.substr(value.find(' '));
    return value;
  };
  for (int i = 0; i < 3; ++i)
    addUpstream("jobs", FirstVersion);
  for (const std::string &version : options_.modelVersions)
    addUpstream("models", version);
  for (int i = 0; i < 2; ++i)
    addUpstream("stock", FirstVersion);
  publishConfiguration();
  tick();
}

void SoakCluster::writeSettings(SoakHost *host, std::uint16_t metricsPort) {
  const json settings = {{"host", host->name},
                         {"data_centre", "a"},
                         {"callers", toString(host->callerEndpoint)},
                         {"readiness", toString(host->readinessEndpoint)},
                         {"ip", "127.0.0.1"},
                         {"peer_port", host->peerEndpoint.port},
                         {"metrics_port", metricsPort},
                         {"peer_key", "soak"},
                         {"retry_ratio", 0.2},
                         {"retry_slack", 40},
                         {"retry_window_s", 10},
                         {"stop_timeout_s", 8},
                         {"store", toString(host->storeLink->endpoint())}};
  std::ofstream(host->settingsFile) << settings.dump(2) << "\n";
}

void SoakCluster::startHosts() {
  for (const auto &host : hosts_)
    startHost(host.get());
}

void SoakCluster::startHost(SoakHost *host) {
  const TimePoint now = steadyNow();
  ++host->incarnation;
  host->isKilled = host->isStopping = host->isPaused = false;
  host->restartAt = TimePoint();
  checker_->disruptions().recordStart(host->name, now);
  checker_->disruptions().recordEnd(host->name, now);
  if (!host->process.start({host->program, "--settings", host->settingsFile},
                           host->logFile))
    checker_->reportViolation("SOAK", "can't start " + host->program);
}

void SoakCluster::stopHost(SoakHost *host) {
  if (!host->process.isRunning() || host->isStopping || host->isPaused)
    return;
  host->isStopping = true;
  host->stopRequestedAt = steadyNow();
  checker_->onStopRequested(host->name, host->stopRequestedAt);
  host->process.signal(SIGTERM);
}

void SoakCluster::killHost(SoakHost *host, Duration downtime) {
  if (!host->process.isRunning())
    return;
  const TimePoint now = steadyNow();
  host->isKilled = true;
  host->restartAt = now + downtime;
  checker_->disruptions().recordStart(host->name, now);
  host->process.signal(SIGKILL);
}

void SoakCluster::pauseHost(SoakHost *host) {
  if (!host->process.isRunning() || host->isPaused)
    return;
  host->isPaused = true;
  checker_->disruptions().recordStart(host->name, steadyNow());
  checker_->onPaused(host->name, steadyNow());
  host->process.signal(SIGSTOP);
}

void SoakCluster::resumeHost(SoakHost *host) {
  if (!host->isPaused)
    return;
  host->isPaused = false;
  host->process.signal(SIGCONT);
  checker_->onResumed(host->name, steadyNow());
  checker_->disruptions().recordEnd(host->name, steadyNow());
}

void SoakCluster::publishConfiguration() {
  const std::int64_t version = version_ + 1 + version_ % 2;
  json draft = route("draft", "/stream/draft/", "streaming", "models", true);
  draft["Stages"] = json::array(
      {{{"Service", "stock"}, {"After", json::array()}, {"Bytes", 1000}},
       {{"Service", "stock"}, {"After", {0}}, {"Bytes", 10}}});
  draft["GapAimMs"] = options_.streamGapAimMs;
  json single = draft;
  single["Name"] = "single";
  single["PathPrefix"] = "/stream/single/";
  single["MaxAttempts"] = 1;
  const std::string versionPath = fmt::format("/v/{}/", version);
  json config = {
      {"Version", version},
      {"Routes",
       {route("book", "/book/", "unsafe", "jobs", false),
        route("look", "/look/", "safe", "jobs", false),
        route("query", "/stream/query/", "streaming", "models", false), draft,
        single, route("own", versionPath.c_str(), "safe", "jobs", false)}},
      {"Services",
       {{{"Name", "jobs"}},
        {{"Name", "models"},
         {"Engine", {{"Slots", 16}, {"KvCacheTokens", 1000000}}}},
        {{"Name", "stock"},
         {"Pieces",
          {{"Slots", 1},
           {"Queue", 2},
           {"Batch", 8},
           {"CallMs", BatchTime.count()},
           {"ItemMs", PieceTime.count()},
           {"HeadroomMb", 8},
           {"HandleS", 4}}}}}},
      {"Tenants",
       {{{"Name", "bozi"},
         {"ApiKeys", {"k1", fmt::format("k1-{}", version)}}}}}};
  if (commentBytes_ > 0)
    config["Comment"] = platform::randomText(commentBytes_, 1);
  configuration_ = config.dump();
  store_.put(names::ConfigurationKey, configuration_);
  previousVersion_ = std::exchange(version_, version);
  checker_->onConfiguration(version, steadyNow());
}

void SoakCluster::growConfiguration() { commentBytes_ = LargeCommentBytes; }

void SoakCluster::writeMalformedEntry(std::size_t kind) {
  static const std::vector<std::string> values = {
      std::string(NestedEntryBytes, '['),
      R"({"Service":"jobs","Address":"127.0.0.1:99999","Zone":"a",
          "Version":"v1","Slots":8,"State":"ready"})",
      R"({"Service":"jobs","Address":"127.0.0.1:80","Zone":"a",
          "Version":"v1","Slots":1e18,"State":"ready"})",
      "\xff\xfe"};
  store_.put(MalformedEntryKey, values[kind % values.size()]);
}

void SoakCluster::removeMalformedEntry() { store_.remove(MalformedEntryKey); }

void SoakCluster::addUpstream(const std::string &service,
                              const std::string &version) {
  auto upstream = std::make_unique<SoakUpstream>();
  const std::string id = fmt::format("w{}", nextUpstream_++);
  upstream->service = service;
  upstream->server = std::make_unique<platform::FakeUpstreamServer>(io_, id);
  platform::FakeUpstreamServer *server = upstream->server.get();
  upstream->link = std::make_unique<LoopbackProxy>(io_, server->endpoint());
  server->advertise(upstream->link->endpoint());
  server->processingTime = std::chrono::milliseconds(15);
  server->eventGap = std::chrono::milliseconds(40);
  server->echoesRequestId = server->showsVersion = true;
  server->softwareVersion = version;
  server->eventsPerStream = options_.eventsPerStream;
  server->onArrival = [this, service, id](const std::string &request) {
    checker_->onArrival(request, service, id, steadyNow());
  };
  server->crashingPart = options_.crashingPart;
  server->onCrash = [this, service, server] {
    checker_->onPartCrash(steadyNow());
    checker_->disruptions().recordStart("workers", steadyNow());
    checker_->disruptions().recordEnd("workers", steadyNow());
    store_.put(names::UpstreamPrefix + server->id(),
               server->entry(service, "a"));
  };
  server->onLeavingStated = [this, id](const std::string &request) {
    checker_->onLeavingStated(request, id, steadyNow());
  };
  server->onLimitNamed = [this, id](const std::string &request) {
    checker_->onLimitNamed(request, id, steadyNow());
  };
  server->onRefused = [this, id, server](const std::string &request) {
    checker_->onHostRefused(request, id, server->retryAfter, steadyNow());
  };
  server->onRun = [this, service, server](const std::string &request) {
    checker_->onRun(request, service, steadyNow(), server->softwareVersion);
  };
  server->onLeftInPause = [this, id](const std::string &request) {
    checker_->onLeftInPause(request, id);
  };
  upstreams_.push_back(std::move(upstream));
  listUpstream(upstreams_.back().get());
}

void SoakCluster::listUpstream(SoakUpstream *upstream) {
  upstream->isListed = true;
  upstream->state = "ready";
  store_.put(names::UpstreamPrefix + upstream->server->id(),
             upstream->server->entry(upstream->service, "a"));
}

void SoakCluster::rewriteEntries() {
  store_.put(names::ConfigurationKey, configuration_);
  for (const auto &upstream : upstreams_) {
    const std::string key = names::UpstreamPrefix + upstream->server->id();
    if (upstream->state.empty())
      store_.remove(key);
    else
      store_.put(key, upstream->server->entry(upstream->service, "a",
                                              upstream->state));
  }
}

void SoakCluster::unlistUpstream(SoakUpstream *upstream) {
  upstream->isListed = false;
  upstream->state.clear();
  store_.remove(names::UpstreamPrefix + upstream->server->id());
}

void SoakCluster::drainUpstream(SoakUpstream *upstream) {
  const std::string id = upstream->server->id();
  upstream->isListed = false;
  upstream->state = "draining";
  upstream->server->statesLeaving = true;
  store_.put(names::UpstreamPrefix + id,
             upstream->server->entry(upstream->service, "a", upstream->state));
  checker_->onUpstreamDraining(id, steadyNow());
  runAfter(DrainTime, [this, upstream, id] {
    upstream->state.clear();
    store_.remove(names::UpstreamPrefix + id);
    checker_->disruptions().recordStart(id, steadyNow());
    upstream->link->setState(LinkState::Reset);
  });
}

void SoakCluster::crashUpstream(SoakUpstream *upstream) {
  const std::string id = upstream->server->id();
  upstream->isListed = false;
  checker_->disruptions().recordStart(id, steadyNow());
  checker_->disruptions().recordStart("workers", steadyNow());
  upstream->link->setState(LinkState::Reset);
  runAfter(CrashedTime, [this, upstream, id] {
    upstream->state.clear();
    store_.remove(names::UpstreamPrefix + id);
    checker_->disruptions().recordEnd("workers", steadyNow());
    addUpstream(upstream->service, upstream->server->softwareVersion);
  });
}

std::size_t SoakCluster::servingUpstreams(std::string_view version) const {
  using FaultMode = platform::FakeUpstreamServer::FaultMode;
  return static_cast<std::size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto &upstream) {
        const FaultMode faultMode = upstream->server->faultMode;
        return upstream->service == "models" && upstream->isListed &&
               upstream->server->softwareVersion == version &&
               upstream->link->state() == LinkState::Open &&
               (faultMode == FaultMode::NoFault ||
                faultMode == FaultMode::PausesStream);
      }));
}

void SoakCluster::runAfter(Duration span, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, span);
  timer->async_wait(
      [timer, action = std::move(action)](asio::error_code error) {
        if (!error)
          action();
      });
}

void SoakCluster::tick() {
  const TimePoint now = steadyNow();
  for (const auto &host : hosts_)
    superviseProcess(host.get(), now);
  if (++ticks_ % TicksPerProbe == 0)
    for (const auto &host : hosts_)
      probeReadiness(host.get());
  tickTimer_.expires_after(TickInterval);
  tickTimer_.async_wait([this](asio::error_code error) {
    if (!error)
      tick();
  });
}

void SoakCluster::superviseProcess(SoakHost *host, TimePoint now) {
  if (host->incarnation == 0)
    return;
  if (host->process.isRunning()) {
    if (host->isStopping && !host->isKilled && !host->isPaused &&
        now > host->stopRequestedAt + GracePeriod) {
      if (checker_->disruptions().isUndisrupted(host->name,
                                                host->stopRequestedAt, now))
        checker_->reportViolation("STOP", host->name +
                                              " still runs at the end of the "
                                              "grace period");
      killHost(host, RestartDelay);
    }
    return;
  }
  if (host->restartAt == TimePoint()) {
    const int exitCode = host->process.exitCode();
    if (host->isStopping)
      checker_->onStopped(host->name, now);
    if (!host->isStopping || exitCode != 0)
      checker_->reportViolation(
          "ENDED", fmt::format("{} ended unexpectedly with code {}", host->name,
                               exitCode));
    host->restartAt = now + RestartDelay;
    return;
  }
  if (now < host->restartAt)
    return;
  if (host->isKilled) {
    checker_->onStopped(host->name, now);
    checker_->disruptions().recordEnd(host->name, now);
  }
  startHost(host);
}

void SoakCluster::probeReadiness(SoakHost *host) {
  http::CallOptions options;
  options.endpoint = host->readinessEndpoint;
  options.connectTimeout = std::chrono::milliseconds(200);
  // A probe without a response by the next one has failed.
  if (readinessProbes_.count(host->name) > 0)
    ++host->readinessFailures;
  http::ClientCallbacks events;
  events.onHead = [host](const http::ResponseHead &head) {
    host->readinessFailures =
        head.status == 200 ? 0 : host->readinessFailures + 1;
  };
  events.onEnd = [this, host](http::CallStatus end, std::string_view) {
    if (end != http::CallStatus::Complete)
      ++host->readinessFailures;
    host->isInRotation = host->readinessFailures < UnhealthyThreshold;
    asio::post(io_, [this, host] { readinessProbes_.erase(host->name); });
  };
  host->isInRotation = host->readinessFailures < UnhealthyThreshold;
  auto call = std::make_unique<http::ClientCall>(io_, std::move(options),
                                                 std::move(events));
  http::RequestHead head{"GET", names::ReadinessPath, {}};
  head.headers.add("Host", toString(host->readinessEndpoint));
  head.headers.add("Connection", "close");
  call->start(head, "");
  readinessProbes_[host->name] = std::move(call);
}

} // namespace auburnspring::soak
