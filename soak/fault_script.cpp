#include "soak/fault_script.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <csignal>

namespace auburnspring::soak {

namespace {

using Conduct = platform::WorkerStandIn::Conduct;
using Mood = platform::StoreStandIn::Mood;

constexpr Duration LongestGap = std::chrono::milliseconds(900);
constexpr Duration ShortestFault = std::chrono::milliseconds(100);
constexpr Duration LongestFault = std::chrono::milliseconds(4000);
constexpr Duration StormInterval = std::chrono::milliseconds(200);
/// Share of the workers that misbehave together.
constexpr double MisbehavingShare = 0.4;

} // namespace

FaultScript::FaultScript(asio::io_context &io, SoakSite *site,
                         PromiseBook *book, std::uint64_t seed)
    : io_(io), site_(site), book_(book), random_(seed) {}

const std::vector<FaultScript::Kind> &FaultScript::kinds() {
  using Self = FaultScript;
  static const std::vector<Kind> all = {
      {"kill", &Self::killHost},
      {"kill_all", &Self::killAll},
      {"pause", &Self::pauseHost},
      {"stop", &Self::stopHost},
      {"stop", &Self::stopHost},
      {"hang_up", &Self::hangUpHost},
      {"cut_store_link", &Self::cutStoreLink},
      {"reset_store_link", &Self::resetStoreLink},
      {"silence_store_link", &Self::silenceStoreLink},
      {"harm_caller_link", &Self::harmCallerLink},
      {"reset_callers", &Self::resetCallers},
      {"harm_peer_link", &Self::harmPeerLink},
      {"silence_peers", &Self::silencePeers},
      {"store_busy", &Self::storeBusy},
      {"store_silent", &Self::storeSilent},
      {"store_resets", &Self::storeResets},
      {"store_loses_answers", &Self::storeLosesAnswers},
      {"store_slow", &Self::storeSlow},
      {"store_forgets", &Self::storeForgets},
      {"workers_full", &Self::workersFull},
      {"workers_fail", &Self::workersFail},
      {"workers_lose_answers", &Self::workersLoseAnswers},
      {"workers_hang", &Self::workersHang},
      {"workers_break_off", &Self::workersBreakOff},
      {"harm_worker_link", &Self::harmWorkerLink},
      {"silence_worker", &Self::silenceWorker},
      {"replace_worker", &Self::replaceWorker},
      {"unlist_worker", &Self::unlistWorker},
      {"change_configuration", &Self::changeConfiguration},
      {"change_configuration", &Self::changeConfiguration},
      {"storm_of_configurations", &Self::stormOfConfigurations},
  };
  return all;
}

void FaultScript::play(Duration span) { next(steadyNow() + span); }

void FaultScript::next(TimePoint until) {
  std::uniform_int_distribution<std::int64_t> gap(0, LongestGap.count());
  after(Duration(gap(random_)), [this, until] {
    const Duration left = until - steadyNow();
    if (left < ShortestFault)
      return;
    std::uniform_int_distribution<std::size_t> any(0, kinds().size() - 1);
    const Kind &kind = kinds()[any(random_)];
    std::uniform_int_distribution<std::int64_t> length(
        ShortestFault.count(), std::min(left, LongestFault).count());
    const Duration span(length(random_));
    logEvent(LogLevel::Info, "fault",
             {{"kind", kind.name}, {"ms", toMillis(span)}});
    (this->*kind.begin)(span);
    next(until);
  });
}

void FaultScript::after(Duration span, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, span);
  timer->async_wait(
      [timer, action = std::move(action)](asio::error_code error) {
        if (!error)
          action();
      });
}

void FaultScript::disturb(const std::string &subject, Duration span,
                          std::function<void()> end) {
  book_->calm().disturb(subject, steadyNow());
  after(span, [this, subject, end = std::move(end)] {
    end();
    book_->calm().settle(subject, steadyNow());
  });
}

void FaultScript::harmLink(LoopbackProxy *link, LinkState state,
                           const std::string &subject, Duration span) {
  link->setState(state);
  disturb(subject, span, [link] { link->setState(LinkState::Open); });
}

SoakHost *FaultScript::anyHost() {
  std::uniform_int_distribution<std::size_t> any(0, site_->hosts().size() - 1);
  return site_->hosts()[any(random_)].get();
}

SoakWorker *FaultScript::anyWorker() {
  std::vector<SoakWorker *> listed;
  for (const auto &worker : site_->workers())
    if (worker->isListed)
      listed.push_back(worker.get());
  std::uniform_int_distribution<std::size_t> any(0, listed.size() - 1);
  return listed[any(random_)];
}

LinkState FaultScript::anyCut() {
  static constexpr LinkState States[] = {LinkState::Cut, LinkState::CutForward,
                                         LinkState::CutBack, LinkState::Delayed,
                                         LinkState::Reset};
  std::uniform_int_distribution<std::size_t> any(0, std::size(States) - 1);
  return States[any(random_)];
}

// Processes.

void FaultScript::killHost(Duration span) { site_->killHost(anyHost(), span); }

void FaultScript::killAll(Duration span) {
  for (const auto &host : site_->hosts())
    site_->killHost(host.get(), span);
}

void FaultScript::pauseHost(Duration span) {
  SoakHost *host = anyHost();
  site_->pauseHost(host);
  after(span, [this, host] { site_->resumeHost(host); });
}

void FaultScript::stopHost(Duration) { site_->stopHost(anyHost()); }

void FaultScript::hangUpHost(Duration) { anyHost()->process.signal(SIGHUP); }

// Links.

void FaultScript::cutStoreLink(Duration span) {
  SoakHost *host = anyHost();
  harmLink(host->storeLink.get(), anyCut(), host->name, span);
}

void FaultScript::resetStoreLink(Duration) {
  SoakHost *host = anyHost();
  host->storeLink->resetOpen();
  disturb(host->name, Duration(0), [] {});
}

void FaultScript::silenceStoreLink(Duration) {
  SoakHost *host = anyHost();
  host->storeLink->silenceOpen();
  disturb(host->name, Duration(0), [] {});
}

void FaultScript::harmCallerLink(Duration span) {
  SoakHost *host = anyHost();
  harmLink(host->callerLink.get(), anyCut(), host->name, span);
}

void FaultScript::resetCallers(Duration) {
  SoakHost *host = anyHost();
  host->callerLink->resetOpen();
  disturb(host->name, Duration(0), [] {});
}

void FaultScript::harmPeerLink(Duration span) {
  harmLink(anyHost()->peerLink.get(), anyCut(), "world", span);
}

void FaultScript::silencePeers(Duration) {
  anyHost()->peerLink->silenceOpen();
  disturb("world", Duration(0), [] {});
}

// Store.

void FaultScript::setStore(Mood mood, Duration span) {
  site_->store().setMood(mood);
  disturb("store", span, [this] { site_->store().setMood(Mood::Sound); });
}

void FaultScript::storeBusy(Duration span) { setStore(Mood::Busy, span); }
void FaultScript::storeSilent(Duration span) { setStore(Mood::Silent, span); }
void FaultScript::storeResets(Duration span) { setStore(Mood::Reset, span); }
void FaultScript::storeSlow(Duration span) { setStore(Mood::Slow, span); }
void FaultScript::storeLosesAnswers(Duration span) {
  setStore(Mood::LosesAnswers, span);
}

void FaultScript::storeForgets(Duration) {
  site_->store().dropHistory();
  disturb("store", Duration(0), [] {});
}

// Workers.

void FaultScript::setWorkers(Conduct conduct, Duration span) {
  std::vector<platform::WorkerStandIn *> chosen;
  std::bernoulli_distribution isChosen(MisbehavingShare);
  for (const auto &worker : site_->workers())
    if (isChosen(random_))
      chosen.push_back(worker->standIn.get());
  for (platform::WorkerStandIn *worker : chosen)
    worker->conduct = conduct;
  disturb("workers", span, [chosen] {
    for (platform::WorkerStandIn *worker : chosen)
      worker->conduct = Conduct::Sound;
  });
}

void FaultScript::workersFull(Duration span) {
  setWorkers(Conduct::Full, span);
}
void FaultScript::workersFail(Duration span) {
  setWorkers(Conduct::Fails, span);
}
void FaultScript::workersLoseAnswers(Duration span) {
  setWorkers(Conduct::LosesAnswer, span);
}
void FaultScript::workersHang(Duration span) {
  setWorkers(Conduct::Hangs, span);
}
void FaultScript::workersBreakOff(Duration span) {
  setWorkers(Conduct::BreaksOff, span);
}

void FaultScript::harmWorkerLink(Duration span) {
  harmLink(anyWorker()->link.get(), anyCut(), "workers", span);
}

void FaultScript::silenceWorker(Duration) {
  anyWorker()->link->silenceOpen();
  disturb("workers", Duration(0), [] {});
}

void FaultScript::replaceWorker(Duration) {
  SoakWorker *worker = anyWorker();
  site_->addWorker(worker->service);
  site_->drainWorker(worker);
}

void FaultScript::unlistWorker(Duration span) {
  SoakWorker *worker = anyWorker();
  site_->unlistWorker(worker);
  disturb("workers", span, [this, worker] { site_->listWorker(worker); });
}

// Configuration.

void FaultScript::changeConfiguration(Duration) {
  site_->publishConfiguration();
}

void FaultScript::stormOfConfigurations(Duration span) {
  for (Duration at(0); at < span; at += StormInterval)
    after(at, [this] { site_->publishConfiguration(); });
}

} // namespace auburnspring::soak
