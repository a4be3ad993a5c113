#include "soak/soak_site.h"

#include "auburnspring/base/clock.h"
#include "platform/names.h"
#include "platform/testing/free_ports.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace auburnspring::soak {

namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// The balancer asks for readiness every so many ticks.
constexpr std::uint64_t TicksPerReadiness = 20;
constexpr int MissesOutOfRotation = 2;
/// From SIGTERM to SIGKILL.
constexpr Duration GracePeriod = std::chrono::seconds(8);
/// A process that has ended starts again after this time.
constexpr Duration RestartAfter = std::chrono::milliseconds(600);
/// A worker that leaves serves on for so long.
constexpr Duration LingerTime = std::chrono::milliseconds(3500);

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

SoakSite::SoakSite(asio::io_context &io, SiteOptions options, PromiseBook *book)
    : io_(io), options_(std::move(options)), book_(book), store_(io),
      tickTimer_(io) {
  constexpr std::size_t PortsPerHost = 4;
  const std::vector<std::uint16_t> ports =
      platform::freePorts(io, options_.hosts * PortsPerHost);
  for (std::size_t i = 0; i < options_.hosts; ++i) {
    auto host = std::make_unique<SoakHost>();
    host->name = fmt::format("entry-{}", i + 1);
    host->settingsFile = fmt::format("{}/{}.json", options_.folder, host->name);
    host->logFile = fmt::format("{}/{}.log", options_.folder, host->name);
    const std::uint16_t *own = &ports[i * PortsPerHost];
    host->callers = {"127.0.0.1", own[0]};
    host->readiness = {"127.0.0.1", own[1]};
    host->peers = {"127.0.0.1", own[2]};
    host->callerLink = std::make_unique<LoopbackProxy>(io, host->callers);
    host->peerLink = std::make_unique<LoopbackProxy>(io, host->peers);
    host->storeLink = std::make_unique<LoopbackProxy>(io, store_.endpoint());
    writeSettings(host.get(), own[3]);
    hosts_.push_back(std::move(host));
  }
  // Hosts find each other by the store, so that their links can be harmed.
  store_.onWrite = [this](const std::string &key, const std::string &value) {
    for (const auto &host : hosts_)
      if (key == names::HostPrefix + host->name)
        return toString(host->peerLink->endpoint()) +
               value.substr(value.find(' '));
    return value;
  };
  for (const char *service :
       {"jobs", "jobs", "jobs", "models", "models", "models", "stock", "stock"})
    addWorker(service);
  publishConfiguration();
  tick();
}

void SoakSite::writeSettings(SoakHost *host, std::uint16_t metricsPort) {
  const json settings = {{"host", host->name},
                         {"data_centre", "a"},
                         {"callers", toString(host->callers)},
                         {"readiness", toString(host->readiness)},
                         {"ip", "127.0.0.1"},
                         {"peer_port", host->peers.port},
                         {"metrics_port", metricsPort},
                         {"peer_key", "soak"},
                         {"retry_ratio", 0.2},
                         {"retry_slack", 40},
                         {"retry_window_s", 10},
                         {"stop_timeout_s", 8},
                         {"store", toString(host->storeLink->endpoint())}};
  std::ofstream(host->settingsFile) << settings.dump(2) << "\n";
}

void SoakSite::startHosts() {
  for (const auto &host : hosts_)
    startHost(host.get());
}

void SoakSite::startHost(SoakHost *host) {
  const TimePoint now = steadyNow();
  ++host->life;
  host->isKilled = host->isStopping = host->isPaused = false;
  host->startAt = TimePoint();
  book_->calm().disturb(host->name, now);
  book_->calm().settle(host->name, now);
  if (!host->process.start({options_.program, "--settings", host->settingsFile},
                           host->logFile))
    book_->breach("SOAK", "can't start " + options_.program);
}

void SoakSite::stopHost(SoakHost *host) {
  if (!host->process.isRunning() || host->isStopping || host->isPaused)
    return;
  host->isStopping = true;
  host->stopAskedAt = steadyNow();
  book_->onStopAsked(host->name, host->stopAskedAt);
  host->process.signal(SIGTERM);
}

void SoakSite::killHost(SoakHost *host, Duration downFor) {
  if (!host->process.isRunning())
    return;
  const TimePoint now = steadyNow();
  host->isKilled = true;
  host->startAt = now + downFor;
  book_->calm().disturb(host->name, now);
  host->process.signal(SIGKILL);
}

void SoakSite::pauseHost(SoakHost *host) {
  if (!host->process.isRunning() || host->isPaused)
    return;
  host->isPaused = true;
  book_->calm().disturb(host->name, steadyNow());
  host->process.signal(SIGSTOP);
}

void SoakSite::resumeHost(SoakHost *host) {
  if (!host->isPaused)
    return;
  host->isPaused = false;
  host->process.signal(SIGCONT);
  book_->calm().settle(host->name, steadyNow());
}

void SoakSite::publishConfiguration() {
  const std::int64_t version = version_ + 1 + version_ % 2;
  json draft = route("draft", "/stream/draft/", "streaming", "models", true);
  draft["Stages"] = json::array(
      {{{"Service", "stock"}, {"After", json::array()}, {"Bytes", 1000}},
       {{"Service", "stock"}, {"After", {0}}, {"Bytes", 10}}});
  const std::string own = fmt::format("/v/{}/", version);
  const json config = {
      {"Version", version},
      {"Routes",
       {route("book", "/book/", "unsafe", "jobs", false),
        route("look", "/look/", "safe", "jobs", false),
        route("query", "/stream/query/", "streaming", "models", false), draft,
        route("own", own.c_str(), "safe", "jobs", false)}},
      {"Services",
       {{{"Name", "jobs"}},
        {{"Name", "models"},
         {"Engine", {{"Slots", 16}, {"KvCacheTokens", 1000000}}}},
        {{"Name", "stock"},
         {"Pieces",
          {{"Slots", 1},
           {"Queue", 2},
           {"Batch", 8},
           {"CallMs", 20},
           {"ItemMs", 1},
           {"HeadroomMb", 8},
           {"HandleS", 4}}}}}},
      {"Tenants",
       {{{"Name", "bozi"},
         {"ApiKeys", {"k1", fmt::format("k1-{}", version)}}}}}};
  store_.put(names::ConfigurationKey, config.dump());
  previousVersion_ = std::exchange(version_, version);
  book_->onConfiguration(version, steadyNow());
}

void SoakSite::addWorker(const std::string &service) {
  auto worker = std::make_unique<SoakWorker>();
  const std::string id = fmt::format("w{}", nextWorker_++);
  worker->service = service;
  worker->standIn = std::make_unique<platform::WorkerStandIn>(io_, id);
  platform::WorkerStandIn *standIn = worker->standIn.get();
  worker->link = std::make_unique<LoopbackProxy>(io_, standIn->endpoint());
  standIn->advertise(worker->link->endpoint());
  standIn->workTime = std::chrono::milliseconds(15);
  standIn->eventGap = std::chrono::milliseconds(40);
  standIn->namesRequest = true;
  standIn->onArrival = [this, service, id](const std::string &request) {
    book_->onArrival(request, service, id, steadyNow());
  };
  standIn->onRun = [this, service](const std::string &request) {
    book_->onRun(request, service, steadyNow());
  };
  workers_.push_back(std::move(worker));
  listWorker(workers_.back().get());
}

void SoakSite::listWorker(SoakWorker *worker) {
  worker->isListed = true;
  store_.put(names::UpstreamPrefix + worker->standIn->id(),
             worker->standIn->entry(worker->service, "a"));
}

void SoakSite::unlistWorker(SoakWorker *worker) {
  worker->isListed = false;
  store_.remove(names::UpstreamPrefix + worker->standIn->id());
}

void SoakSite::drainWorker(SoakWorker *worker) {
  const std::string id = worker->standIn->id();
  worker->isListed = false;
  store_.put(names::UpstreamPrefix + id,
             worker->standIn->entry(worker->service, "a", "draining"));
  book_->onWorkerLeaves(id, steadyNow());
  const auto timer = std::make_shared<asio::steady_timer>(io_, LingerTime);
  timer->async_wait([this, timer, worker, id](asio::error_code error) {
    if (error)
      return;
    store_.remove(names::UpstreamPrefix + id);
    worker->link->setState(LinkState::Reset);
  });
}

void SoakSite::tick() {
  const TimePoint now = steadyNow();
  for (const auto &host : hosts_)
    watchProcess(host.get(), now);
  if (++ticks_ % TicksPerReadiness == 0)
    for (const auto &host : hosts_)
      askReadiness(host.get());
  tickTimer_.expires_after(TickInterval);
  tickTimer_.async_wait([this](asio::error_code error) {
    if (!error)
      tick();
  });
}

void SoakSite::watchProcess(SoakHost *host, TimePoint now) {
  if (host->life == 0)
    return;
  if (host->process.isRunning()) {
    if (host->isStopping && !host->isKilled && !host->isPaused &&
        now > host->stopAskedAt + GracePeriod) {
      if (book_->calm().isCalm(host->name, host->stopAskedAt, now))
        book_->breach("STOP", host->name + " still runs at the end of its "
                                           "grace period");
      killHost(host, RestartAfter);
    }
    return;
  }
  if (host->startAt == TimePoint()) {
    const int result = host->process.result();
    if (host->isStopping)
      book_->onStopped(host->name, now);
    if (!host->isStopping || result != 0)
      book_->breach("ENDED", fmt::format("{} ended by itself with {}",
                                         host->name, result));
    host->startAt = now + RestartAfter;
    return;
  }
  if (now < host->startAt)
    return;
  if (host->isKilled) {
    book_->onStopped(host->name, now);
    book_->calm().settle(host->name, now);
  }
  startHost(host);
}

void SoakSite::askReadiness(SoakHost *host) {
  http::CallOptions options;
  options.endpoint = host->readiness;
  options.connectTimeout = std::chrono::milliseconds(200);
  // A question that has no answer by now is a miss.
  if (readinessCalls_.count(host->name) > 0)
    ++host->readinessMisses;
  http::CallEvents events;
  events.onHead = [host](const http::ResponseHead &head) {
    host->readinessMisses = head.status == 200 ? 0 : host->readinessMisses + 1;
  };
  events.onEnd = [this, host](http::CallEnd end, std::string_view) {
    if (end != http::CallEnd::Complete)
      ++host->readinessMisses;
    host->isInRotation = host->readinessMisses < MissesOutOfRotation;
    asio::post(io_, [this, host] { readinessCalls_.erase(host->name); });
  };
  host->isInRotation = host->readinessMisses < MissesOutOfRotation;
  auto call = std::make_unique<http::ClientCall>(io_, std::move(options),
                                                 std::move(events));
  http::RequestHead head{"GET", names::Readiness, {}};
  head.headers.add("Host", toString(host->readiness));
  head.headers.add("Connection", "close");
  call->start(head, "");
  readinessCalls_[host->name] = std::move(call);
}

} // namespace auburnspring::soak
