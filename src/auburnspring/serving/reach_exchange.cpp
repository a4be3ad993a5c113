#include "auburnspring/serving/reach_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace auburnspring {

namespace {

/// A probe that takes longer has failed.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);
/// Evidence of reach is refreshed from this age on while a peer is cut, and how
/// often at most.
constexpr Duration RefreshAge = std::chrono::milliseconds(1000);
constexpr Duration RefreshInterval = std::chrono::milliseconds(500);
/// Upstreams of a pool that are probed when one of them can't be connected to.
constexpr std::size_t MaxPoolProbes = 6;
/// A peer that has not been heard of for this time is forgotten.
constexpr Duration HelperRetention = std::chrono::seconds(10);

/// One connection that is closed as soon as it is established.
struct Probe {
  explicit Probe(asio::io_context &io) : socket(io), timer(io) {}
  asio::ip::tcp::socket socket;
  http::Timer timer;
  HandlerScope handlers;
};

} // namespace

void ReachExchange::onConnected(UpstreamState *upstream, TimePoint begunAt) {
  recordConnected(upstream, begunAt);
  monitor_.onConnected(begunAt);
}

void ReachExchange::onUnreachable(UpstreamState *upstream, TimePoint begunAt) {
  recordConnectFailure(upstream, begunAt, steadyNow());
  monitor_.onUnreachable(upstream->entry.id, steadyNow());
  probe();
  probeLost();
  probePool(upstream->entry.pool);
}

void ReachExchange::probePool(const std::string &pool) {
  const TimePoint now = steadyNow();
  TimePoint &probedAt = poolProbedAt_[pool];
  if (now < probedAt + RefreshInterval)
    return;
  probedAt = now;
  std::vector<UpstreamStatePtr> members = registry_->pool(pool);
  std::shuffle(members.begin(), members.end(), random_);
  std::size_t count = 0;
  for (const UpstreamStatePtr &member : members) {
    const bool isKnown =
        member->failedConnections > 0 ||
        (member->connectedAt && now < *member->connectedAt + RefreshInterval);
    if (!isKnown && !member->isClosed(now) && count++ < MaxPoolProbes)
      probeUpstream(member);
  }
}

void ReachExchange::probeLost() {
  for (const UpstreamStatePtr &upstream :
       takeReachProbes(*registry_, steadyNow()))
    probeUpstream(upstream);
}

void ReachExchange::probeUpstream(const UpstreamStatePtr &upstream) {
  startProbe(upstream->entry.endpoint,
             [this, upstream, begunAt = steadyNow()](bool isConnected) {
               if (isConnected)
                 return onConnected(upstream.get(), begunAt);
               recordConnectFailure(upstream.get(), begunAt, steadyNow());
             });
}

void ReachExchange::refreshEvidence(const std::string &pool) {
  const TimePoint now = steadyNow();
  const PoolReach own = poolReach(*registry_, pool, now);
  const std::vector<UpstreamStatePtr> &members = registry_->pool(pool);
  if ((own.connectionAge && *own.connectionAge < RefreshAge) || own.isLost() ||
      members.empty())
    return;
  TimePoint &refreshedAt = poolRefreshedAt_[pool];
  if (now < refreshedAt + RefreshInterval)
    return;
  refreshedAt = now;
  std::uniform_int_distribution<std::size_t> any(0, members.size() - 1);
  probeUpstream(members[any(random_)]);
}

void ReachExchange::probe() {
  const std::size_t count =
      monitor_.beginProbes(registry_->size(), steadyNow());
  std::vector<Endpoint> endpoints;
  for (const auto &entry : registry_->all())
    endpoints.push_back(entry.second->entry.endpoint);
  std::shuffle(endpoints.begin(), endpoints.end(), random_);
  for (std::size_t i = 0; i < count; ++i)
    startProbe(endpoints[i], [this](bool isConnected) {
      monitor_.onProbeEnd(isConnected, steadyNow());
    });
}

void ReachExchange::refreshEvidence() {
  const TimePoint now = steadyNow();
  const std::optional<Duration> age = monitor_.connectionAge(now);
  if ((age && *age < RefreshAge) || now < refreshedAt_ + RefreshInterval ||
      registry_->size() == 0)
    return;
  refreshedAt_ = now;
  std::uniform_int_distribution<std::size_t> any(0, registry_->size() - 1);
  const UpstreamEntry entry =
      std::next(registry_->all().begin(),
                static_cast<std::ptrdiff_t>(any(random_)))
          ->second->entry;
  startProbe(entry.endpoint, [this, now, id = entry.id](bool isConnected) {
    isConnected ? monitor_.onConnected(now)
                : monitor_.onUnreachable(id, steadyNow());
  });
}

void ReachExchange::startProbe(const Endpoint &endpoint,
                               std::function<void(bool)> onEnd) {
  const auto probe = std::make_shared<Probe>(io_);
  // The connection or the timer ends the probe, whichever is first.
  auto end = probe->handlers.bind(
      handlers_.bind([probe, onEnd = std::move(onEnd)](bool isConnected) {
        probe->handlers.reset();
        asio::error_code ignored;
        probe->timer.cancel();
        probe->socket.close(ignored);
        onEnd(isConnected);
      }));
  probe->timer.startAfter(ProbeTimeout, [end]() mutable { end(false); });
  asio::error_code error;
  const asio::ip::tcp::endpoint address(
      asio::ip::make_address(endpoint.ip, error), endpoint.port);
  probe->socket.async_connect(
      address, [end](asio::error_code failure) mutable { end(!failure); });
}

void ReachExchange::onHeartbeat(const std::string &from,
                                const HostHeartbeat &heartbeat) {
  const std::optional<Endpoint> endpoint = peers_->endpoint(from);
  if (!endpoint)
    return;
  peers_->setCut(from, heartbeat.reach.isCut);
  if (heartbeat.reach.isCut && !monitor_.isCut())
    refreshEvidence();
  std::vector<std::string> lostPools;
  for (const PoolReach &pool : heartbeat.reach.pools) {
    if (pool.isMostlyLost())
      lostPools.push_back(pool.pool);
    if (pool.isLost() && !monitor_.isCut())
      refreshEvidence(pool.pool);
  }
  peers_->setLostPools(from, std::move(lostPools));
  if (heartbeat.handOverPort == 0 || heartbeat.isLeaving) {
    helpers_.erase(from);
    return;
  }
  Peer &peer = helpers_[from];
  peer.reach = heartbeat.reach;
  peer.heardAt = steadyNow();
  if (!peer.state)
    peer.state = std::make_shared<UpstreamState>();
  peer.state->entry.id = from;
  peer.state->entry.dataCentre = heartbeat.reach.dataCentre;
  peer.state->entry.endpoint = {endpoint->ip, heartbeat.handOverPort};
}

HostReach ReachExchange::ownReach(std::int64_t activeRequests,
                                  double processorShare) const {
  const TimePoint now = steadyNow();
  return {monitor_.isCut(), monitor_.connectionAge(now),
          activeRequests,   processorShare,
          dataCentre_,      poolReaches(*registry_, now)};
}

std::vector<HelperCandidate>
ReachExchange::candidates(absl::Span<const std::string> avoid) const {
  const TimePoint now = steadyNow();
  std::vector<HelperCandidate> candidates;
  for (const auto &[host, peer] : helpers_) {
    if (std::find(avoid.begin(), avoid.end(), host) != avoid.end() ||
        !peers_->isAvailable(host, now) || now < peer.state->ejectedUntil)
      continue;
    candidates.push_back(
        {host, peer.reach, now - peer.heardAt, peer.state->inFlight});
  }
  return candidates;
}

bool ReachExchange::mustHandOver(
    const std::string &pool, std::optional<std::string_view> softwareVersion) {
  if (isCut())
    return true;
  return poolReach(*registry_, pool, steadyNow(), softwareVersion).isLost() &&
         chooseHelper({}, pool) != nullptr;
}

bool ReachExchange::mayHandOver(absl::Span<const std::string> avoid,
                                const std::string &pool) const {
  const PoolReach own = poolReach(*registry_, pool, steadyNow());
  if (own.lost == 0)
    return false;
  const std::vector<HelperCandidate> peers = candidates(avoid);
  return std::any_of(peers.begin(), peers.end(), [&](const auto &peer) {
    const PoolReach *reach = findPool(peer.reach, pool);
    return hasReach(peer, pool) && reach->lost < own.lost;
  });
}

UpstreamStatePtr
ReachExchange::chooseHelper(absl::Span<const std::string> avoid,
                            const std::string &pool) {
  std::vector<HelperCandidate> all = candidates(avoid);
  // Those that reach the pool. Peers that have not used it lately may, which
  // is enough for a host without any reach.
  std::vector<HelperCandidate> usable;
  for (const HelperCandidate &candidate : all)
    if (hasReach(candidate, pool))
      usable.push_back(candidate);
  if (usable.empty() && isCut())
    for (const HelperCandidate &candidate : all)
      if (const PoolReach *known = findPool(candidate.reach, pool);
          known == nullptr || !known->isLost())
        usable.push_back(candidate);
  const std::string_view chosen =
      auburnspring::chooseHelper(usable, dataCentre_, &random_);
  return chosen.empty() ? nullptr : helpers_.at(std::string(chosen)).state;
}

bool ReachExchange::noteLostPools() {
  const TimePoint now = steadyNow();
  std::vector<std::string> lost;
  for (const PoolReach &pool : poolReaches(*registry_, now))
    if (pool.isMostlyLost())
      lost.push_back(pool.pool);
  const auto holds = [](const std::vector<std::string> &pools,
                        const std::string &pool) {
    return std::find(pools.begin(), pools.end(), pool) != pools.end();
  };
  bool isNewsToAll = false;
  for (const std::vector<std::string> *pools : {&lost, &lostPools_})
    for (const std::string &pool : *pools) {
      const bool isLost = holds(lost, pool);
      if (isLost == holds(lostPools_, pool))
        continue;
      // The other hosts need to know of the one that forms the batches.
      const bool tells =
          holds(toldPools_, pool) ||
          (isLost && peers_->batchingHost(pool, now) == peers_->self());
      isNewsToAll = isNewsToAll || tells;
      const PoolReach reach = poolReach(*registry_, pool, now);
      logEvent(LogLevel::Warning, "reach_changed",
               {{"cut", isCut()},
                {"pool", pool},
                {"mostly_lost", isLost},
                {"lost", static_cast<long>(reach.lost)},
                {"listed", static_cast<long>(reach.listed)}});
      if (isLost && tells && !holds(toldPools_, pool))
        toldPools_.push_back(pool);
      else if (!isLost)
        toldPools_.erase(
            std::remove(toldPools_.begin(), toldPools_.end(), pool),
            toldPools_.end());
    }
  lostPools_ = std::move(lost);
  peers_->setLostPools(peers_->self(), lostPools_);
  return isNewsToAll;
}

bool ReachExchange::tick() {
  probe();
  probeLost();
  const bool isNewsToAll = noteLostPools();
  const TimePoint now = steadyNow();
  for (auto it = helpers_.begin(); it != helpers_.end();)
    it = now > it->second.heardAt + HelperRetention ? helpers_.erase(it)
                                                    : std::next(it);
  if (monitor_.isCut() == wasCut_)
    return isNewsToAll;
  wasCut_ = monitor_.isCut();
  peers_->setCut(peers_->self(), wasCut_);
  const auto usable =
      std::count_if(helpers_.begin(), helpers_.end(), [now](const auto &entry) {
        return hasReach(
            {entry.first, entry.second.reach, now - entry.second.heardAt, 0});
      });
  logEvent(LogLevel::Warning, "reach_changed",
           {{"cut", wasCut_},
            {"for_ms", toMillis(now - monitor_.cutSince())},
            {"helpers", static_cast<long>(usable)}});
  return true;
}

} // namespace auburnspring
