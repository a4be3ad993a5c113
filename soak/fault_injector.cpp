#include "soak/fault_injector.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>
#include <csignal>

namespace auburnspring::soak {

namespace {

using FaultMode = platform::FakeUpstreamServer::FaultMode;
using StoreFaultMode = platform::FakeStoreServer::StoreFaultMode;

constexpr Duration MaxFaultGap = std::chrono::milliseconds(900);
constexpr Duration MaxStreamFaultGap = std::chrono::milliseconds(500);
constexpr Duration MinFaultTime = std::chrono::milliseconds(100);
constexpr Duration MaxFaultTime = std::chrono::milliseconds(4000);
constexpr Duration BurstInterval = std::chrono::milliseconds(200);
/// How long the store is away at most before it is restored from a copy, and
/// from then until the operator and the upstreams have written again.
constexpr Duration MaxRestoreOutage = std::chrono::milliseconds(800);
constexpr Duration RewriteDelay = std::chrono::milliseconds(700);
/// Time in which streams gather at an upstream that is about to crash, and time
/// in which they then bring events from another one.
constexpr Duration DispatchToldTime = std::chrono::milliseconds(500);
constexpr Duration CorrectedStreamTime = std::chrono::milliseconds(200);
/// After this time without acknowledgements a connection is given up.
constexpr Duration AckTimeout = std::chrono::milliseconds(1600);

} // namespace

FaultInjector::FaultInjector(asio::io_context &io, SoakCluster *cluster,
                             GuaranteeChecker *checker, std::uint64_t seed,
                             int faultSet)
    : io_(io), cluster_(cluster), checker_(checker), random_(seed),
      kinds_(kindsOf(faultSet)), hasLimits_(faultSet >= LimitsFaultSet),
      killsAmidStreams_(faultSet >= KilledStreamsFaultSet),
      hasSilentPairs_(faultSet >= SilentPairFaultSet),
      hasUnframedStreams_(faultSet >= UnframedStreamsFaultSet),
      maxGap_(MaxFaultGap) {}

std::vector<FaultInjector::Kind> FaultInjector::kindsOf(int faultSet) {
  using Self = FaultInjector;
  std::vector<Kind> kinds = {
      {"kill", &Self::killHost},
      {"kill_all", &Self::killAll},
      {"pause", &Self::pauseHost},
      {"stop", &Self::stopHost},
      {"stop", &Self::stopHost},
      {"hang_up", &Self::reloadHostSettings},
      {"cut_store_link", &Self::impairStoreLink},
      {"reset_store_link", &Self::resetStoreLink},
      {"silence_store_link", &Self::blackholeStoreLink},
      {"harm_caller_link", &Self::impairCallerLink},
      {"reset_callers", &Self::resetCallers},
      {"harm_peer_link", &Self::impairPeerLink},
      {"silence_peers", &Self::blackholePeers},
      {"store_busy", &Self::storeBusy},
      {"store_silent", &Self::storeUnresponsive},
      {"store_resets", &Self::storeResets},
      {"store_loses_answers", &Self::storeDropsResponses},
      {"store_slow", &Self::storeSlow},
      {"store_forgets", &Self::storeDiscardsHistory},
      {"workers_full", &Self::upstreamsRejectRequests},
      {"workers_fail", &Self::upstreamsFail},
      {"workers_lose_answers", &Self::upstreamsDropResponses},
      {"workers_hang", &Self::upstreamsHang},
      {"workers_break_off", &Self::upstreamsAbortStreams},
      {"harm_worker_link", &Self::impairUpstreamLink},
      {"silence_worker", &Self::blackholeUpstream},
      {"replace_worker", &Self::replaceUpstream},
      {"unlist_worker", &Self::unlistUpstream},
      {"change_configuration", &Self::changeConfiguration},
      {"change_configuration", &Self::changeConfiguration},
      {"storm_of_configurations", &Self::burstOfConfigurations},
      {"store_restored", &Self::storeRestored, 2},
      {"store_restored", &Self::storeRestored, 2},
      {"workers_refuse_hosts", &Self::upstreamsRefuseHosts, 2},
      {"workers_fall_silent", &Self::upstreamsFallSilent, 3},
      {"workers_fall_silent", &Self::upstreamsFallSilent, 3},
      {"release_worker", &Self::releaseUpstream, 3},
      {"release_worker", &Self::releaseUpstream, 3},
      {"crash_worker", &Self::crashUpstream, 3},
      {"crash_worker", &Self::crashUpstream, 3},
      {"workers_name_limits", &Self::upstreamsNameLimits, LimitsFaultSet},
      {"workers_name_limits", &Self::upstreamsNameLimits, LimitsFaultSet},
      {"large_configurations", &Self::burstOfLargeConfigurations,
       MalformedEntriesFaultSet},
      {"malformed_entry", &Self::malformedEntry, MalformedEntriesFaultSet},
      {"stage_calls_time_out", &Self::stageUpstreamsMeetTimeouts,
       StageTimeoutsFaultSet},
      {"stage_calls_time_out", &Self::stageUpstreamsMeetTimeouts,
       StageTimeoutsFaultSet},
      {"pause", &Self::pauseHost, StageTimeoutsFaultSet},
      {"workers_damage_heads", &Self::upstreamsDamageHeads,
       DamagedHeadsFaultSet},
      {"workers_damage_heads", &Self::upstreamsDamageHeads,
       DamagedHeadsFaultSet},
      {"silence_pair", &Self::silencePair, SilentPairFaultSet},
      {"silence_corrections", &Self::silenceCorrections, SilentPairFaultSet},
      {"workers_change_framing", &Self::upstreamsChangeFraming,
       UnframedStreamsFaultSet},
      {"workers_change_framing", &Self::upstreamsChangeFraming,
       UnframedStreamsFaultSet},
      {"workers_break_off", &Self::upstreamsAbortStreams,
       UnframedStreamsFaultSet},
  };
  kinds.erase(
      std::remove_if(kinds.begin(), kinds.end(),
                     [&](const Kind &kind) { return kind.since > faultSet; }),
      kinds.end());
  return kinds;
}

void FaultInjector::inject(Duration span) { scheduleNext(steadyNow() + span); }

void FaultInjector::injectStreamFaults(Duration span) {
  using Self = FaultInjector;
  maxGap_ = MaxStreamFaultGap;
  kinds_ = {{"workers_fall_silent", &Self::upstreamsFallSilent},
            {"workers_fall_silent", &Self::upstreamsFallSilent},
            {"release_worker", &Self::releaseUpstream},
            {"crash_worker", &Self::crashUpstream},
            {"reset_callers", &Self::resetCallersOfFirstHost}};
  if (killsAmidStreams_)
    kinds_.push_back({"kill_all", &Self::killAll});
  if (hasSilentPairs_) {
    kinds_.push_back({"silence_corrections", &Self::silenceCorrections});
    kinds_.push_back({"silence_corrections", &Self::silenceCorrections});
  }
  if (hasUnframedStreams_)
    kinds_.push_back({"workers_change_framing", &Self::upstreamsChangeFraming});
  if (hasLimits_)
    kinds_.push_back({"workers_name_limits", &Self::upstreamsNameLimits});
  inject(span);
}

void FaultInjector::scheduleNext(TimePoint until) {
  std::uniform_int_distribution<std::int64_t> gap(0, maxGap_.count());
  runAfter(Duration(gap(random_)), [this, until] {
    const Duration left = until - steadyNow();
    if (left < MinFaultTime)
      return;
    std::uniform_int_distribution<std::size_t> any(0, kinds_.size() - 1);
    const Kind &kind = kinds_[any(random_)];
    std::uniform_int_distribution<std::int64_t> length(
        MinFaultTime.count(), std::min(left, MaxFaultTime).count());
    const Duration span(length(random_));
    logEvent(LogLevel::Info, "fault",
             {{"kind", kind.name}, {"ms", toMillis(span)}});
    (this->*kind.begin)(span);
    scheduleNext(until);
  });
}

void FaultInjector::runAfter(Duration span, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, span);
  timer->async_wait(
      [timer, action = std::move(action)](asio::error_code error) {
        if (!error)
          action();
      });
}

void FaultInjector::disruptFor(const std::string &subject, Duration span,
                               std::function<void()> restore) {
  checker_->disruptions().recordStart(subject, steadyNow());
  runAfter(span, [this, subject, restore = std::move(restore)] {
    restore();
    checker_->disruptions().recordEnd(subject, steadyNow());
  });
}

void FaultInjector::impairLink(LoopbackProxy *link, LinkState state,
                               const std::string &subject, Duration span) {
  link->setState(state);
  disruptFor(subject, span, [link] { link->setState(LinkState::Open); });
}

SoakHost *FaultInjector::randomHost() {
  std::uniform_int_distribution<std::size_t> any(0,
                                                 cluster_->hosts().size() - 1);
  return cluster_->hosts()[any(random_)].get();
}

SoakUpstream *FaultInjector::randomUpstream() {
  std::vector<SoakUpstream *> listed;
  for (const auto &upstream : cluster_->upstreams())
    if (upstream->isListed)
      listed.push_back(upstream.get());
  std::uniform_int_distribution<std::size_t> any(0, listed.size() - 1);
  return listed[any(random_)];
}

SoakUpstream *FaultInjector::randomModelUpstream() {
  std::vector<SoakUpstream *> listed;
  for (const auto &upstream : cluster_->upstreams())
    if (upstream->isListed && upstream->service == "models")
      listed.push_back(upstream.get());
  if (listed.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, listed.size() - 1);
  return listed[any(random_)];
}

LinkState FaultInjector::randomLinkFault() {
  static constexpr LinkState States[] = {LinkState::Cut, LinkState::CutForward,
                                         LinkState::CutBack, LinkState::Delayed,
                                         LinkState::Reset};
  std::uniform_int_distribution<std::size_t> any(0, std::size(States) - 1);
  return States[any(random_)];
}

// Processes.

void FaultInjector::killHost(Duration span) {
  cluster_->killHost(randomHost(), span);
}

void FaultInjector::killAll(Duration span) {
  for (const auto &host : cluster_->hosts())
    cluster_->killHost(host.get(), span);
}

void FaultInjector::pauseHost(Duration span) {
  SoakHost *host = randomHost();
  cluster_->pauseHost(host);
  runAfter(span, [this, host] { cluster_->resumeHost(host); });
}

void FaultInjector::stopHost(Duration) { cluster_->stopHost(randomHost()); }

void FaultInjector::reloadHostSettings(Duration) {
  randomHost()->process.signal(SIGHUP);
}

// Links.

void FaultInjector::impairStoreLink(Duration span) {
  SoakHost *host = randomHost();
  impairLink(host->storeLink.get(), randomLinkFault(), host->name, span);
}

void FaultInjector::resetStoreLink(Duration) {
  SoakHost *host = randomHost();
  host->storeLink->resetConnections();
  disruptFor(host->name, Duration(0), [] {});
}

void FaultInjector::blackholeStoreLink(Duration) {
  SoakHost *host = randomHost();
  host->storeLink->blackholeConnections();
  disruptFor(host->name, Duration(0), [] {});
}

void FaultInjector::impairCallerLink(Duration span) {
  SoakHost *host = randomHost();
  impairLink(host->callerLink.get(), randomLinkFault(), host->name, span);
}

void FaultInjector::resetCallersOf(SoakHost *host) {
  host->callerLink->resetConnections();
  disruptFor(host->name, Duration(0), [] {});
}

void FaultInjector::resetCallers(Duration) { resetCallersOf(randomHost()); }

void FaultInjector::resetCallersOfFirstHost(Duration) {
  resetCallersOf(cluster_->hosts().front().get());
}

void FaultInjector::impairPeerLink(Duration span) {
  impairLink(randomHost()->peerLink.get(), randomLinkFault(), "world", span);
}

void FaultInjector::blackholePeers(Duration) {
  randomHost()->peerLink->blackholeConnections();
  disruptFor("world", Duration(0), [] {});
}

void FaultInjector::silencePair(Duration) {
  const bool isOneWay = std::bernoulli_distribution(0.5)(random_);
  randomHost()->peerLink->silenceOneConnection(&random_, isOneWay);
  disruptFor("world", Duration(0), [] {});
}

void FaultInjector::silenceCorrections(Duration span) {
  SoakUpstream *upstream = randomModelUpstream();
  if (upstream == nullptr || upstream->server->faultMode != FaultMode::NoFault)
    return;
  upstream->server->pause = MaxFaultTime;
  upstream->server->pausesBeforeEvent = 1;
  upstream->server->faultMode = FaultMode::PausesStream;
  // The dispatches have been announced to peers by then.
  runAfter(DispatchToldTime, [this, span, upstream] {
    silencePair(span);
    runAfter(AckTimeout, [this] {
      for (const auto &host : cluster_->hosts())
        host->peerLink->resetSilentConnections();
    });
    if (upstream->isListed)
      cluster_->crashUpstream(upstream);
  });
  // Their callers lose them while they go on at other versions.
  runAfter(DispatchToldTime + CorrectedStreamTime, [this] {
    for (const auto &host : cluster_->hosts())
      resetCallersOf(host.get());
  });
}

// Store.

void FaultInjector::setStoreFault(StoreFaultMode faultMode, Duration span) {
  cluster_->store().setFaultMode(faultMode);
  disruptFor("store", span, [this] {
    cluster_->store().setFaultMode(StoreFaultMode::NoFault);
  });
}

void FaultInjector::storeBusy(Duration span) {
  setStoreFault(StoreFaultMode::Busy, span);
}
void FaultInjector::storeUnresponsive(Duration span) {
  setStoreFault(StoreFaultMode::Unresponsive, span);
}
void FaultInjector::storeResets(Duration span) {
  setStoreFault(StoreFaultMode::Reset, span);
}
void FaultInjector::storeSlow(Duration span) {
  setStoreFault(StoreFaultMode::Slow, span);
}
void FaultInjector::storeDropsResponses(Duration span) {
  setStoreFault(StoreFaultMode::DropsWriteResponses, span);
}

void FaultInjector::storeDiscardsHistory(Duration) {
  cluster_->store().discardHistory();
  disruptFor("store", Duration(0), [] {});
}

void FaultInjector::storeRestored(Duration span) {
  const Duration outage = std::min(span, MaxRestoreOutage);
  cluster_->store().setFaultMode(StoreFaultMode::Unresponsive);
  runAfter(outage, [this, span] {
    cluster_->store().setFaultMode(StoreFaultMode::NoFault);
    // The longer the fault, the older the copy.
    cluster_->store().restore(span);
  });
  disruptFor("store", outage + RewriteDelay,
             [this] { cluster_->rewriteEntries(); });
}

// Configuration.

void FaultInjector::changeConfiguration(Duration) {
  cluster_->publishConfiguration();
}

void FaultInjector::burstOfConfigurations(Duration span) {
  for (Duration at(0); at < span; at += BurstInterval)
    runAfter(at, [this] { cluster_->publishConfiguration(); });
}

void FaultInjector::burstOfLargeConfigurations(Duration span) {
  cluster_->growConfiguration();
  burstOfConfigurations(span);
}

// No disruption is recorded: hosts ignore what they can't use.
void FaultInjector::malformedEntry(Duration span) {
  cluster_->writeMalformedEntry(random_());
  runAfter(span, [this] { cluster_->removeMalformedEntry(); });
}

} // namespace auburnspring::soak
