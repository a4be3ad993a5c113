#include "auburnspring/serving/peer_network.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <iterator>

namespace auburnspring {

namespace {

/// Up to this fleet size every host receives the heartbeats of every other, so
/// that missing heartbeats mean that a host is down.
constexpr std::size_t FullHeartbeatFleet = 12;
/// Several heartbeat intervals.
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(900);
/// A newly listed host may not have sent a heartbeat yet.
constexpr Duration NewPeerGrace = std::chrono::milliseconds(1200);
constexpr Duration SuspicionDuration = std::chrono::seconds(2);
constexpr std::int64_t MaxSuspicionDoublings = 2;
/// A host that the store no longer lists stays available for this time after it
/// was removed or sent its last message.
constexpr Duration UnlistedRetention = std::chrono::seconds(3);
/// A host that left is forgotten after this time without messages: it no longer
/// counts as a member of the fleet.
constexpr Duration DepartedRetention = std::chrono::seconds(10);
constexpr std::chrono::seconds MaxConnectionAge(10);
/// A connection with unacknowledged bytes for this long is closed.
constexpr Duration AckTimeout = std::chrono::milliseconds(1500);
/// A batching host responds to every other host. The bound is well below a
/// process's limit of file descriptors.
constexpr std::size_t MaxPeerConnections = 512;

PeerMesh::Options meshOptions(const PeerNetwork::Options &network,
                              PeerNetwork::DisconnectHandler onConnectionLost) {
  PeerMesh::Options options;
  options.host = network.host;
  options.incarnation = network.incarnation;
  options.listen = network.listen;
  options.peerKey = network.peerKey;
  options.onConnectionLost = std::move(onConnectionLost);
  options.maxConnectionAge = MaxConnectionAge;
  options.maxConnections = MaxPeerConnections;
  options.tcpUserTimeout = AckTimeout;
  options.incarnationsIncrease = false;
  return options;
}

} // namespace

PeerNetwork::PeerNetwork(asio::io_context &io, Options options,
                         MessageHandler messageHandler,
                         DisconnectHandler disconnectHandler)
    : io_(io), options_(std::move(options)),
      messageHandler_(std::move(messageHandler)),
      disconnectHandler_(std::move(disconnectHandler)),
      mesh_(meshOptions(options_,
                        [this](const std::string &host) {
                          post([this, host] { disconnectHandler_(host); });
                        }),
            [this](const std::string &from, PeerMessage message) {
              post([this, from, message = std::move(message)] {
                onMessage(from, message);
              });
            }) {}

void PeerNetwork::post(std::function<void()> action) {
  asio::post(io_, handlers_.bind(std::move(action)));
}

absl::Status PeerNetwork::start() { return mesh_.start(); }
void PeerNetwork::stop() { mesh_.stop(); }

void PeerNetwork::setListed(const std::string &host, const Endpoint &endpoint,
                            double processorShare, TimePoint now) {
  if (host == options_.host)
    return;
  Peer &peer = peers_[host];
  const bool isNew = !peer.isListed;
  peer.endpoint = endpoint;
  peer.processorShare = processorShare;
  peer.isListed = true;
  if (!isNew)
    return;
  peer.listedAt = now;
  peer.isLeaving = false;
  logEvent(LogLevel::Info, "peer_listed",
           {{"peer", host}, {"endpoint", toString(endpoint)}});
}

void PeerNetwork::setUnlisted(const std::string &host, TimePoint now) {
  const auto found = peers_.find(host);
  if (found == peers_.end())
    return;
  found->second.isListed = false;
  found->second.unlistedAt = now;
  logEvent(LogLevel::Info, "peer_unlisted", {{"peer", host}});
}

void PeerNetwork::forgetDeparted(TimePoint now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Peer &peer = it->second;
    const bool isGone =
        !peer.isListed &&
        now > std::max(peer.lastMessageAt, peer.unlistedAt) + DepartedRetention;
    it = isGone ? peers_.erase(it) : std::next(it);
  }
}

bool PeerNetwork::isListed(const std::string &host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.isListed;
}

void PeerNetwork::setLeaving(const std::string &host, bool leaving) {
  if (host == options_.host) {
    selfLeaving_ = leaving;
    return;
  }
  const auto found = peers_.find(host);
  if (found != peers_.end())
    found->second.isLeaving = leaving;
}

void PeerNetwork::setCut(const std::string &host, bool isCut) {
  if (host == options_.host)
    selfCut_ = isCut;
  else if (const auto found = peers_.find(host); found != peers_.end())
    found->second.isCut = isCut;
}

void PeerNetwork::setLostPools(const std::string &host,
                               std::vector<std::string> pools) {
  if (host == options_.host)
    selfLostPools_ = std::move(pools);
  else if (const auto found = peers_.find(host); found != peers_.end())
    found->second.lostPools = std::move(pools);
}

bool PeerNetwork::mayBatch(const std::string &host,
                           const std::string &pool) const {
  const auto peer = peers_.find(host);
  const bool isPeer = peer != peers_.end();
  const std::vector<std::string> &lost =
      isPeer ? peer->second.lostPools : selfLostPools_;
  return !(isPeer ? peer->second.isCut : selfCut_) &&
         std::find(lost.begin(), lost.end(), pool) == lost.end();
}

std::optional<Endpoint> PeerNetwork::endpoint(const std::string &host) const {
  const auto found = peers_.find(host);
  return found == peers_.end()
             ? std::nullopt
             : std::optional<Endpoint>(found->second.endpoint);
}

void PeerNetwork::suspect(const std::string &host, TimePoint now) {
  const auto found = peers_.find(host);
  if (found == peers_.end())
    return;
  Peer &peer = found->second;
  peer.suspectUntil =
      now + SuspicionDuration *
                (1 << std::min(peer.suspicions++, MaxSuspicionDoublings));
  logEvent(LogLevel::Warning, "peer_suspected",
           {{"peer", host}, {"silent_ms", toMillis(now - peer.lastMessageAt)}});
}

bool PeerNetwork::isAvailable(const Peer &peer, TimePoint now) const {
  if (peer.isLeaving || now < peer.suspectUntil)
    return false;
  if (!peer.isListed &&
      now > std::max(peer.lastMessageAt, peer.unlistedAt) + UnlistedRetention)
    return false;
  if (peers_.size() >= FullHeartbeatFleet)
    return true;
  if (!peer.messageReceived)
    return now < peer.listedAt + NewPeerGrace;
  return now < std::max(peer.lastMessageAt + HeartbeatTimeout,
                        peer.listedAt + NewPeerGrace);
}

bool PeerNetwork::isAvailable(const std::string &host, TimePoint now) const {
  if (host == options_.host)
    return !selfLeaving_;
  const auto found = peers_.find(host);
  return found != peers_.end() && isAvailable(found->second, now);
}

bool PeerNetwork::isReachable(const std::string &host, TimePoint now) const {
  if (host == options_.host)
    return true;
  const auto found = peers_.find(host);
  if (found == peers_.end() || now < found->second.suspectUntil)
    return false;
  const Peer &peer = found->second;
  if (isAvailable(peer, now))
    return true;
  // In a large fleet few hosts receive its heartbeats; its entry counts
  // instead.
  const bool isListed = peers_.size() >= FullHeartbeatFleet && peer.isListed;
  return peer.isLeaving &&
         (isListed || now < peer.lastMessageAt + HeartbeatTimeout);
}

std::vector<std::string> PeerNetwork::availableHosts(TimePoint now) const {
  std::vector<std::string> hosts;
  if (!selfLeaving_)
    hosts.push_back(options_.host);
  for (const auto &entry : peers_)
    if (isAvailable(entry.second, now))
      hosts.push_back(entry.first);
  return hosts;
}

std::optional<TimePoint>
PeerNetwork::lastMessageAt(const std::string &host) const {
  const auto found = peers_.find(host);
  if (found == peers_.end() || !found->second.messageReceived)
    return std::nullopt;
  return found->second.lastMessageAt;
}

bool PeerNetwork::hearsMost(Duration span, TimePoint now) const {
  std::size_t listed = 0;
  std::size_t heard = 0;
  for (const auto &entry : peers_) {
    const Peer &peer = entry.second;
    listed += peer.isListed ? 1 : 0;
    heard +=
        peer.isListed && peer.messageReceived && now < peer.lastMessageAt + span
            ? 1
            : 0;
  }
  return 2 * (heard + 1) > std::min(HeartbeatFanout, listed) + 1;
}

std::vector<std::string> PeerNetwork::reachablePeers(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto &entry : peers_)
    if (isReachable(entry.first, now))
      hosts.push_back(entry.first);
  return hosts;
}

std::vector<BatchingCandidate> PeerNetwork::candidates(TimePoint now) const {
  std::vector<BatchingCandidate> candidates;
  candidates.reserve(peers_.size() + 1);
  if (!selfLeaving_)
    candidates.push_back({options_.host, options_.processorShare});
  for (const auto &entry : peers_)
    if (isAvailable(entry.second, now))
      candidates.push_back({entry.first, entry.second.processorShare});
  return candidates;
}

std::string PeerNetwork::batchingHost(const std::string &pool,
                                      TimePoint now) const {
  std::vector<BatchingCandidate> hosts = candidates(now);
  const auto firstCut = std::stable_partition(
      hosts.begin(), hosts.end(), [&](const BatchingCandidate &candidate) {
        return mayBatch(std::string(candidate.host), pool);
      });
  if (firstCut != hosts.begin())
    hosts.erase(firstCut, hosts.end());
  const std::string_view chosen = chooseBatchingHost(pool, hosts);
  return chosen.empty() ? options_.host : std::string(chosen);
}

void PeerNetwork::send(const std::string &host, PeerMessage message) {
  const auto found = peers_.find(host);
  if (found != peers_.end())
    mesh_.send(host, found->second.endpoint, std::move(message));
}

void PeerNetwork::broadcast(const PeerMessage &message, std::size_t fanout) {
  if (peers_.empty())
    return;
  // Always the same successors in the ring of names, so that connections to
  // them are reused.
  const std::size_t count = std::min(fanout, peers_.size());
  auto next = peers_.upper_bound(options_.host);
  for (std::size_t i = 0; i < count; ++i, ++next) {
    if (next == peers_.end())
      next = peers_.begin();
    mesh_.send(next->first, next->second.endpoint, message);
  }
}

void PeerNetwork::onMessage(const std::string &from, PeerMessage message) {
  const TimePoint now = steadyNow();
  const auto found = peers_.find(from);
  if (found != peers_.end()) {
    Peer &peer = found->second;
    if (!isAvailable(peer, now) && !peer.isLeaving)
      logEvent(LogLevel::Info, "peer_heard_again", {{"peer", from}});
    peer.lastMessageAt = now;
    peer.messageReceived = true;
    peer.suspectUntil = TimePoint();
    peer.suspicions = 0;
  }
  messageHandler_(from, std::move(message));
}

} // namespace auburnspring
