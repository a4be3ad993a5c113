#include "auburnspring/serving/replica_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

namespace {

/// Values from this size on go as differences.
constexpr std::size_t LargeValueBytes = 16 << 10;
/// Replies from this size on take a while on a slow link: they are announced
/// and logged.
constexpr std::size_t LargeReplyBytes = 64 << 10;

std::size_t valueBytes(const ReplicaReply &reply) {
  std::size_t bytes = 0;
  for (const StoreChange &change : reply.changes)
    bytes += change.value.size();
  for (const ContentDelta &delta : reply.deltas)
    for (const ContentDelta::Piece &piece : delta.pieces)
      bytes += piece.bytes.size();
  return bytes;
}

void logLargeReply(const char *event, const std::string &peer,
                   const StoreVersion &after, const ReplicaReply &reply,
                   std::size_t bytes) {
  if (bytes < LargeReplyBytes)
    return;
  logEvent(LogLevel::Info, event,
           {{"peer", peer},
            {"after", static_cast<long>(after.revision)},
            {"revision", static_cast<long>(reply.version.revision)},
            {"snapshot", reply.isSnapshot},
            {"changes", static_cast<unsigned long>(reply.changes.size())},
            {"bytes", static_cast<unsigned long>(bytes)}});
}

} // namespace

void ReplicaExchange::fetchMissingChanges() {
  const StoreReplica &replica = follower_->replica();
  const auto host = selector_->fetchSource(replica.version(), steadyNow());
  if (!host)
    return;
  ++counters_.fetches;
  ReplicaRequest request{replica.version(), {}};
  if (describesHeld_)
    for (const std::string &key : replica.largeItems(LargeValueBytes))
      request.held.push_back(splitter_.describe(key, *replica.find(key)));
  describesHeld_ = true;
  peers_->send(*host, std::move(request));
}

void ReplicaExchange::shrink(ReplicaReply *reply,
                             const std::vector<HeldContent> &held) {
  for (StoreChange &change : reply->changes) {
    const auto base =
        std::find_if(held.begin(), held.end(), [&](const HeldContent &content) {
          return content.key == change.key;
        });
    if (change.removed || base == held.end() ||
        change.value.size() < LargeValueBytes)
      continue;
    std::optional<ContentDelta> delta =
        splitter_.difference(change.value, *base);
    if (!delta)
      continue;
    delta->revision = change.revision;
    reply->deltas.push_back(*std::move(delta));
    change.value.clear();
  }
}

bool ReplicaExchange::expand(ReplicaReply *reply) {
  for (const ContentDelta &delta : reply->deltas) {
    const auto change = std::find_if(
        reply->changes.begin(), reply->changes.end(),
        [&](const StoreChange &entry) {
          return entry.key == delta.key && entry.revision == delta.revision;
        });
    const std::string *held = follower_->replica().find(delta.key);
    std::optional<std::string> value =
        change == reply->changes.end() || held == nullptr
            ? std::nullopt
            : splitter_.apply(delta, *held);
    if (!value)
      return false;
    change->value = *std::move(value);
  }
  return true;
}

void ReplicaExchange::onRequest(const std::string &from,
                                const ReplicaRequest &request,
                                bool removalsAreConfirmed) {
  ReplicaReply reply;
  const StoreReplica &replica = follower_->replica();
  reply.version = replica.version();
  reply.removalsAreConfirmed = removalsAreConfirmed;
  if (!replica.changesAfter(request.version, &reply.changes)) {
    reply.isSnapshot = true;
    reply.changes = replica.snapshot();
  }
  shrink(&reply, request.held);
  const std::size_t bytes = valueBytes(reply);
  ++counters_.replies;
  counters_.bytesSent += bytes;
  logLargeReply("replica_reply_sent", from, request.version, reply, bytes);
  if (bytes >= LargeReplyBytes) {
    ReplicaReply announcement;
    announcement.version = request.version;
    announcement.isAnnouncement = true;
    peers_->send(from, std::move(announcement));
  }
  peers_->send(from, std::move(reply));
}

void ReplicaExchange::onReply(const std::string &from, ReplicaReply reply) {
  if (reply.isAnnouncement)
    return selector_->onFetchReplyAnnounced(from, steadyNow());
  const StoreVersion own = follower_->replica().version();
  const std::size_t bytes = valueBytes(reply);
  counters_.bytesReceived += bytes;
  counters_.outdatedReplies += reply.version <= own ? 1 : 0;
  logLargeReply("replica_reply_received", from, own, reply, bytes);
  if (own < reply.version && !expand(&reply)) {
    ++counters_.failedDeltas;
    describesHeld_ = false;
    logEvent(LogLevel::Warning, "replica_difference_refused",
             {{"peer", from},
              {"after", static_cast<long>(own.revision)},
              {"revision", static_cast<long>(reply.version.revision)}});
  } else {
    follower_->applyFromPeer(reply.isSnapshot, reply.removalsAreConfirmed,
                             reply.version, reply.changes);
  }
  selector_->onFetchReply(from, own < follower_->replica().version());
  // A newer version may have been reported since the reply was sent.
  fetchMissingChanges();
}

void ReplicaExchange::fetchConfiguration(const std::string &from,
                                         const std::string &own) {
  const TimePoint now = steadyNow();
  if (!configurationFetch_.mayBegin(now))
    return;
  configurationFetch_.begin(from, now);
  OperatorConfigurationRequest request;
  if (own.size() >= LargeValueBytes)
    request.held = splitter_.describe("", own);
  peers_->send(from, std::move(request));
}

void ReplicaExchange::onConfigurationRequest(
    const std::string &from, const OperatorConfigurationRequest &request,
    const std::string &own) {
  OperatorConfigurationReply reply;
  if (request.held)
    reply.delta = splitter_.difference(own, *request.held);
  if (!reply.delta)
    reply.value = own;
  peers_->send(from, std::move(reply));
}

std::optional<std::string>
ReplicaExchange::configurationIn(const OperatorConfigurationReply &reply,
                                 const std::string &own) {
  return reply.delta ? splitter_.apply(*reply.delta, own)
                     : std::make_optional(reply.value);
}

void ReplicaExchange::onPeerDisconnected(const std::string &host) {
  selector_->onConnectionLost(host);
  configurationFetch_.onConnectionLost(host);
  fetchMissingChanges();
}

} // namespace auburnspring
