#include "auburnspring/serving/peer_network.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/rendezvous.h"

#include <asio/post.hpp>

#include <cmath>
#include <limits>

namespace auburnspring {

namespace {

/// In a fleet of up to this size every host hears every other one's beats, so
/// that silence tells of a death.
constexpr std::size_t SmallFleet = 12;
/// Several beats long.
constexpr Duration SilenceLimit = std::chrono::milliseconds(900);
/// A host that has just been listed may not have been heard yet.
constexpr Duration NewcomerGrace = std::chrono::milliseconds(1200);
constexpr Duration SuspectFor = std::chrono::seconds(2);
/// A host that the store lists no more is kept while it is heard.
constexpr Duration UnlistedLife = std::chrono::seconds(3);
constexpr std::chrono::seconds ConnectionAge(10);
/// A connection on which nothing is acknowledged for so long has gone silent.
constexpr Duration UnacknowledgedLimit = std::chrono::milliseconds(1500);
/// A host that gathers answers every other one; far below a host's descriptors.
constexpr std::size_t MaxPeerConnections = 512;
/// A host with twice the processor gets work for all eight times as often: what
/// it serves itself leaves it more than twice to spare.
constexpr double CapacityExponent = 3;

PeerMesh::Options meshOptions(const PeerNetwork::Options &network,
                              PeerNetwork::Lost onLost) {
  PeerMesh::Options options;
  options.host = network.host;
  options.incarnation = network.incarnation;
  options.listen = network.listen;
  options.peerKey = network.peerKey;
  options.onLost = std::move(onLost);
  options.maxConnectionAge = ConnectionAge;
  options.maxConnections = MaxPeerConnections;
  options.unacknowledgedLimit = UnacknowledgedLimit;
  options.incarnationsGrow = false;
  return options;
}

} // namespace

PeerNetwork::PeerNetwork(asio::io_context &io, Options options, Receive receive,
                         Lost lost)
    : io_(io), options_(std::move(options)), receive_(std::move(receive)),
      lost_(std::move(lost)),
      mesh_(meshOptions(options_,
                        [this](const std::string &host) {
                          asio::post(io_, [this, host] { lost_(host); });
                        }),
            [this](const std::string &from, PeerMessage message) {
              asio::post(io_, [this, from, message = std::move(message)]() {
                onMessage(from, message);
              });
            }) {}

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
  peer.knownSince = now;
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

void PeerNetwork::setLeaving(const std::string &host, bool leaving) {
  if (host == options_.host) {
    selfLeaving_ = leaving;
    return;
  }
  const auto found = peers_.find(host);
  if (found != peers_.end())
    found->second.isLeaving = leaving;
}

void PeerNetwork::suspect(const std::string &host, TimePoint now) {
  const auto found = peers_.find(host);
  if (found == peers_.end())
    return;
  found->second.suspectUntil = now + SuspectFor;
  logEvent(
      LogLevel::Warning, "peer_suspected",
      {{"peer", host}, {"silent_ms", toMillis(now - found->second.heardAt)}});
}

bool PeerNetwork::isAlive(const Peer &peer, TimePoint now) const {
  if (peer.isLeaving || now < peer.suspectUntil)
    return false;
  if (!peer.isListed &&
      now > std::max(peer.heardAt, peer.unlistedAt) + UnlistedLife)
    return false;
  if (peers_.size() >= SmallFleet)
    return true;
  if (!peer.wasHeard)
    return now < peer.knownSince + NewcomerGrace;
  return now <
         std::max(peer.heardAt + SilenceLimit, peer.knownSince + NewcomerGrace);
}

bool PeerNetwork::isAlive(const std::string &host, TimePoint now) const {
  if (host == options_.host)
    return !selfLeaving_;
  const auto found = peers_.find(host);
  return found != peers_.end() && isAlive(found->second, now);
}

bool PeerNetwork::isHeard(const std::string &host, TimePoint now) const {
  if (host == options_.host)
    return true;
  const auto found = peers_.find(host);
  if (found == peers_.end() || now < found->second.suspectUntil)
    return false;
  const Peer &peer = found->second;
  if (isAlive(peer, now))
    return true;
  // In a large fleet few hosts hear its beats; there its entry stands for it.
  const bool isListed = peers_.size() >= SmallFleet && peer.isListed;
  return peer.isLeaving && (isListed || now < peer.heardAt + SilenceLimit);
}

std::vector<std::string> PeerNetwork::alive(TimePoint now) const {
  std::vector<std::string> hosts;
  if (!selfLeaving_)
    hosts.push_back(options_.host);
  for (const auto &entry : peers_)
    if (isAlive(entry.second, now))
      hosts.push_back(entry.first);
  return hosts;
}

std::optional<TimePoint> PeerNetwork::lastHeard(const std::string &host) const {
  const auto found = peers_.find(host);
  if (found == peers_.end() || !found->second.wasHeard)
    return std::nullopt;
  return found->second.heardAt;
}

std::string PeerNetwork::preferred(const std::string &subject,
                                   TimePoint now) const {
  std::string best = options_.host;
  double bestScore = -std::numeric_limits<double>::infinity();
  for (const std::string &host : alive(now)) {
    const auto peer = peers_.find(host);
    const double share = peer == peers_.end() ? options_.processorShare
                                              : peer->second.processorShare;
    const double score =
        weightedRendezvous(subject, host, std::pow(share, CapacityExponent));
    if (score <= bestScore)
      continue;
    bestScore = score;
    best = host;
  }
  return best;
}

void PeerNetwork::send(const std::string &host, PeerMessage message) {
  const auto found = peers_.find(host);
  if (found != peers_.end())
    mesh_.send(host, found->second.endpoint, std::move(message));
}

void PeerNetwork::broadcast(const PeerMessage &message, std::size_t fanout) {
  if (peers_.empty())
    return;
  // Always the same successors in the ring of names, so that the connections
  // to them last.
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
    if (!isAlive(peer, now) && !peer.isLeaving)
      logEvent(LogLevel::Info, "peer_heard_again", {{"peer", from}});
    peer.heardAt = now;
    peer.wasHeard = true;
    peer.suspectUntil = TimePoint();
  }
  receive_(from, std::move(message));
}

} // namespace auburnspring
