#include "auburnspring/serving/reach_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

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
/// A peer that has not been heard of for this time is forgotten.
constexpr Duration HelperRetention = std::chrono::seconds(10);

/// One connection that is closed as soon as it is established.
struct Probe {
  explicit Probe(asio::io_context &io) : socket(io), timer(io) {}
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  bool isEnded = false;
};

} // namespace

void ReachExchange::onConnected(TimePoint begunAt) {
  monitor_.onConnected(begunAt);
}

void ReachExchange::onUnreachable(const std::string &upstream) {
  monitor_.onUnreachable(upstream, steadyNow());
  probe();
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
  const auto end = [probe, onEnd = std::move(onEnd)](bool isConnected) {
    if (std::exchange(probe->isEnded, true))
      return;
    asio::error_code ignored;
    probe->timer.cancel();
    probe->socket.close(ignored);
    onEnd(isConnected);
  };
  probe->timer.expires_after(ProbeTimeout);
  probe->timer.async_wait([end](asio::error_code error) {
    if (!error)
      end(false);
  });
  asio::error_code error;
  const asio::ip::tcp::endpoint address(
      asio::ip::make_address(endpoint.ip, error), endpoint.port);
  probe->socket.async_connect(
      address, [end](asio::error_code failure) { end(!failure); });
}

void ReachExchange::onHeartbeat(const std::string &from,
                                const HostHeartbeat &heartbeat) {
  const std::optional<Endpoint> endpoint = peers_->endpoint(from);
  if (!endpoint)
    return;
  peers_->setCut(from, heartbeat.reach.isCut);
  if (heartbeat.reach.isCut && !monitor_.isCut())
    refreshEvidence();
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
  return {monitor_.isCut(), monitor_.connectionAge(steadyNow()), activeRequests,
          processorShare, dataCentre_};
}

UpstreamStatePtr
ReachExchange::chooseHelper(absl::Span<const std::string> avoid) {
  const TimePoint now = steadyNow();
  std::vector<HelperCandidate> candidates;
  for (const auto &[host, peer] : helpers_) {
    if (std::find(avoid.begin(), avoid.end(), host) != avoid.end() ||
        !peers_->isAvailable(host, now) || now < peer.state->ejectedUntil)
      continue;
    candidates.push_back(
        {host, peer.reach, now - peer.heardAt, peer.state->inFlight});
  }
  const std::string_view chosen =
      auburnspring::chooseHelper(candidates, dataCentre_, &random_);
  return chosen.empty() ? nullptr : helpers_.at(std::string(chosen)).state;
}

bool ReachExchange::tick() {
  probe();
  const TimePoint now = steadyNow();
  for (auto it = helpers_.begin(); it != helpers_.end();)
    it = now > it->second.heardAt + HelperRetention ? helpers_.erase(it)
                                                    : std::next(it);
  if (monitor_.isCut() == wasCut_)
    return false;
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
