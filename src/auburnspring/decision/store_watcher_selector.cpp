#include "auburnspring/decision/store_watcher_selector.h"

#include "auburnspring/decision/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Makes hosts with a larger processor share watch more often than in
/// proportion to it: small hosts lack the capacity to send the updates.
constexpr double CapacityExponent = 3;
constexpr Duration MinWatchInterval = std::chrono::milliseconds(100);
constexpr Duration MaxWatchInterval = std::chrono::milliseconds(1000);
constexpr Duration WatchIntervalPerHost = std::chrono::milliseconds(8);

} // namespace

StoreWatcherSelector::StoreWatcherSelector(std::string self, const Host &host)
    : self_(std::move(self)), host_(host), score_(scoreOf(self_, host)) {}

Duration StoreWatcherSelector::watchInterval(std::size_t hosts) {
  return std::clamp(WatchIntervalPerHost * static_cast<std::int64_t>(hosts),
                    MinWatchInterval, MaxWatchInterval);
}

double StoreWatcherSelector::scoreOf(const std::string &name,
                                     const Host &host) const {
  return weightedRendezvousScore(
      "store/" + host.dataCentre, name,
      std::pow(host.processorShare, CapacityExponent));
}

void StoreWatcherSelector::setHost(const std::string &name, const Host &host) {
  if (name == self_)
    return;
  Peer &peer = peers_[name];
  peer.host = host;
  peer.score = scoreOf(name, host);
}

void StoreWatcherSelector::removeHost(const std::string &name) {
  peers_.erase(name);
}

void StoreWatcherSelector::onWatcherUpdate(const std::string &from,
                                           TimePoint now) {
  const auto found = peers_.find(from);
  if (found != peers_.end())
    found->second.lastUpdateAt = now;
}

void StoreWatcherSelector::onVersion(const std::string &from,
                                     const StoreVersion &version,
                                     const StoreVersion &own, TimePoint now) {
  if (version <= own || version < newestVersion_)
    return;
  if (newestVersion_ <= own)
    behindSince_ = now;
  if (newestVersion_ < version)
    newestVersionHosts_.clear();
  newestVersion_ = version;
  std::vector<std::string> &hosts = newestVersionHosts_;
  hosts.erase(std::remove(hosts.begin(), hosts.end(), from), hosts.end());
  hosts.push_back(from);
}

std::size_t StoreWatcherSelector::rank() const {
  const bool isSmall = peers_.size() < SmallFleet;
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        return peer.score > score_ &&
               (isSmall || peer.host.dataCentre == host_.dataCentre);
      }));
}

bool StoreWatcherSelector::mustWatch(TimePoint now) const {
  if (peers_.size() < SmallFleet || fetch_.failures() >= MaxFailedFetches)
    return true;
  const std::size_t ownRank = rank();
  if (ownRank < WatchersPerDataCentre)
    return true;
  const auto steps = static_cast<std::int64_t>(
      std::min(ownRank - WatchersPerDataCentre, MaxTakeoverSteps));
  const Duration timeout = WatcherTimeout + TakeoverStep * steps;
  std::size_t activeWatchers = 0;
  for (const auto &entry : peers_)
    if (entry.second.host.dataCentre == host_.dataCentre &&
        entry.second.score > score_ &&
        now < entry.second.lastUpdateAt + timeout)
      ++activeWatchers;
  return activeWatchers < WatchersPerDataCentre;
}

std::vector<std::string> StoreWatcherSelector::updateRecipients() const {
  std::vector<std::string> names;
  if (peers_.size() < SmallFleet)
    return names;
  for (const auto &entry : peers_)
    if (entry.second.host.dataCentre == host_.dataCentre)
      names.push_back(entry.first);
  return names;
}

std::optional<std::string>
StoreWatcherSelector::fetchSource(const StoreVersion &own, TimePoint now) {
  if (newestVersion_ <= own) {
    fetch_.reset();
    return std::nullopt;
  }
  const bool mayBegin = fetch_.mayBegin(now);
  const Duration grace = mustWatch(now) ? OwnWatchGrace : Duration(0);
  if (!mayBegin || now < behindSince_ + grace)
    return std::nullopt;
  const std::string host = chooseSource(now);
  fetch_.begin(host, now);
  return host;
}

const std::string &StoreWatcherSelector::chooseSource(TimePoint now) const {
  const auto preference = [&](const std::string &host) {
    const auto peer = peers_.find(host);
    // The links of hosts that watch don't carry replies of others.
    const bool watches = peer != peers_.end() &&
                         now < peer->second.lastUpdateAt + WatcherTimeout;
    return (host == fetch_.failedHost() ? 0 : 2) + (watches ? 1 : 0);
  };
  return *std::max_element(newestVersionHosts_.rbegin(),
                           newestVersionHosts_.rend(),
                           [&](const std::string &a, const std::string &b) {
                             return preference(a) < preference(b);
                           });
}

} // namespace auburnspring
