#include "soak/fault_injector.h"

#include "auburnspring/base/clock.h"

#include <algorithm>

namespace auburnspring::soak {

namespace {

using FaultMode = platform::FakeUpstreamServer::FaultMode;

/// Share of the upstreams that a fault affects at the same time.
constexpr double FaultyUpstreamShare = 0.4;
constexpr double SilentUpstreamShare = 0.5;
constexpr double UnframedUpstreamShare = 0.6;
/// Last event within which the crashing part breaks off its stream: it comes
/// before a stream counts as sound.
constexpr int MaxCrashEvent = 4;
/// How long a sound upstream falls silent.
constexpr Duration MinSilence = std::chrono::milliseconds(800);
constexpr Duration MaxSilence = std::chrono::milliseconds(1500);
/// Hosts end a stage call after this multiple of its expected duration.
constexpr std::int64_t TimedOutSlowness = 8;
/// How long an upstream names a limit at least.
constexpr Duration MinLimitTime = std::chrono::seconds(5);

} // namespace

void FaultInjector::setUpstreamFaults(FaultMode faultMode, Duration span) {
  std::vector<platform::FakeUpstreamServer *> faulty;
  std::bernoulli_distribution isFaulty(FaultyUpstreamShare);
  for (const auto &upstream : cluster_->upstreams())
    if (isFaulty(random_))
      faulty.push_back(upstream->server.get());
  for (platform::FakeUpstreamServer *upstream : faulty)
    upstream->faultMode = faultMode;
  disruptFor("workers", span, [faulty] {
    for (platform::FakeUpstreamServer *upstream : faulty)
      upstream->faultMode = FaultMode::NoFault;
  });
}

void FaultInjector::upstreamsRejectRequests(Duration span) {
  setUpstreamFaults(FaultMode::RejectsRequest, span);
}
void FaultInjector::upstreamsRefuseHosts(Duration span) {
  setUpstreamFaults(FaultMode::RefusesHost, span);
}
void FaultInjector::upstreamsNameLimits(Duration span) {
  static constexpr double Limits[] = {1, 1.5, 3, 8};
  std::uniform_int_distribution<std::size_t> any(0, std::size(Limits) - 1);
  SoakUpstream *chosen = randomUpstream();
  platform::FakeUpstreamServer *server = chosen->server.get();
  if (server->requestLimit)
    return;
  server->requestLimit = Limits[any(random_)];
  checker_->onLimit(server->id(), server->requestLimit, steadyNow());
  // Long enough that it must be kept for some seconds.
  runAfter(span + MinLimitTime, [this, server] {
    server->requestLimit.reset();
    checker_->onLimit(server->id(), std::nullopt, steadyNow());
  });
}
void FaultInjector::upstreamsFail(Duration span) {
  setUpstreamFaults(FaultMode::Fails, span);
}
void FaultInjector::upstreamsDropResponses(Duration span) {
  setUpstreamFaults(FaultMode::DropsResponse, span);
}
void FaultInjector::upstreamsHang(Duration span) {
  setUpstreamFaults(FaultMode::Hangs, span);
}
void FaultInjector::upstreamsDamageHeads(Duration span) {
  setUpstreamFaults(FaultMode::DamagesHead, span);
}
void FaultInjector::upstreamsAbortStreams(Duration span) {
  setUpstreamFaults(FaultMode::AbortsStream, span);
}

// No disruption is recorded: either framing is sound. What an upstream sends
// stays as it is until the next change.
void FaultInjector::upstreamsChangeFraming(Duration) {
  using CrashPoint = platform::FakeUpstreamServer::CrashPoint;
  std::bernoulli_distribution isUnframed(UnframedUpstreamShare);
  std::bernoulli_distribution isInsideEvent(0.5);
  std::uniform_int_distribution<int> event(1, MaxCrashEvent);
  for (const auto &upstream : cluster_->upstreams()) {
    platform::FakeUpstreamServer *server = upstream->server.get();
    if (upstream->service != "models")
      continue;
    server->sendsUnframedStreams = isUnframed(random_);
    server->crashPoint = isInsideEvent(random_) ? CrashPoint::InsideEvent
                                                : CrashPoint::AfterHead;
    server->crashEvent = event(random_);
  }
}

void FaultInjector::impairUpstreamLink(Duration span) {
  SoakUpstream *upstream = randomUpstream();
  impairLink(upstream->link.get(), randomLinkFault(), "workers", span);
  disruptFor(upstream->server->id(), span, [] {});
}

void FaultInjector::blackholeUpstream(Duration) {
  SoakUpstream *upstream = randomUpstream();
  upstream->link->blackholeConnections();
  disruptFor("workers", Duration(0), [] {});
  disruptFor(upstream->server->id(), Duration(0), [] {});
}

void FaultInjector::replaceUpstream(Duration) {
  SoakUpstream *upstream = randomUpstream();
  cluster_->addUpstream(upstream->service, upstream->server->softwareVersion);
  cluster_->drainUpstream(upstream);
}

void FaultInjector::unlistUpstream(Duration span) {
  SoakUpstream *upstream = randomUpstream();
  cluster_->unlistUpstream(upstream);
  disruptFor("workers", span,
             [this, upstream] { cluster_->listUpstream(upstream); });
}

// No disruption is recorded: a sound upstream's silence excuses nothing.
void FaultInjector::upstreamsFallSilent(Duration span) {
  std::uniform_int_distribution<std::int64_t> silence(MinSilence.count(),
                                                      MaxSilence.count());
  std::uniform_int_distribution<int> event(1,
                                           cluster_->options().eventsPerStream);
  std::bernoulli_distribution isSilent(SilentUpstreamShare);
  std::vector<platform::FakeUpstreamServer *> silent;
  for (const auto &upstream : cluster_->upstreams()) {
    platform::FakeUpstreamServer *server = upstream->server.get();
    if (upstream->service != "models" || !isSilent(random_))
      continue;
    const Duration pause(silence(random_));
    // Half of them before the first event.
    const bool beforeFirst = std::bernoulli_distribution(0.5)(random_);
    const int number = event(random_);
    if (server->faultMode != FaultMode::NoFault)
      continue;
    server->pause = pause;
    server->pausesBeforeEvent = beforeFirst ? 1 : number;
    server->faultMode = FaultMode::PausesStream;
    silent.push_back(server);
  }
  runAfter(span, [silent] {
    for (platform::FakeUpstreamServer *server : silent)
      if (server->faultMode == FaultMode::PausesStream)
        server->faultMode = FaultMode::NoFault;
  });
}

void FaultInjector::stageUpstreamsMeetTimeouts(Duration span) {
  std::vector<platform::FakeUpstreamServer *> slow;
  for (const auto &upstream : cluster_->upstreams())
    if (upstream->service == "stock")
      slow.push_back(upstream->server.get());
  for (platform::FakeUpstreamServer *server : slow) {
    server->batchTime = SoakCluster::BatchTime * TimedOutSlowness;
    server->pieceTime = SoakCluster::PieceTime * TimedOutSlowness;
  }
  disruptFor("workers", span, [slow] {
    for (platform::FakeUpstreamServer *server : slow)
      server->batchTime = server->pieceTime = Duration(0);
  });
}

void FaultInjector::releaseUpstream(Duration) {
  SoakUpstream *upstream = randomModelUpstream();
  if (upstream == nullptr)
    return;
  std::vector<std::string> others;
  for (const std::string &version : cluster_->options().modelVersions)
    if (version != upstream->server->softwareVersion)
      others.push_back(version);
  std::uniform_int_distribution<std::size_t> any(0, others.size() - 1);
  cluster_->addUpstream(upstream->service, others[any(random_)]);
  cluster_->drainUpstream(upstream);
}

void FaultInjector::crashUpstream(Duration) {
  SoakUpstream *upstream = randomModelUpstream();
  if (upstream != nullptr)
    cluster_->crashUpstream(upstream);
}

} // namespace auburnspring::soak
