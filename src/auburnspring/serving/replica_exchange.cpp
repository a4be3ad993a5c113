#include "auburnspring/serving/replica_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <utility>

namespace auburnspring {

namespace {

/// Smaller replies are not logged: each change of an upstream causes one for
/// every host.
constexpr std::size_t LoggedReplyBytes = 64 << 10;

std::size_t valueBytes(const ReplicaReply &reply) {
  std::size_t bytes = 0;
  for (const StoreChange &change : reply.changes)
    bytes += change.value.size();
  return bytes;
}

void logLargeReply(const char *event, const std::string &peer,
                   const StoreVersion &after, const ReplicaReply &reply,
                   std::size_t bytes) {
  if (bytes < LoggedReplyBytes)
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
  const StoreVersion own = follower_->replica().version();
  const auto host = selector_->fetchSource(own, steadyNow());
  if (!host)
    return;
  ++counters_.fetches;
  peers_->send(*host, ReplicaRequest{own});
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
  const std::size_t bytes = valueBytes(reply);
  ++counters_.replies;
  counters_.bytesSent += bytes;
  logLargeReply("replica_reply_sent", from, request.version, reply, bytes);
  peers_->send(from, std::move(reply));
}

void ReplicaExchange::onReply(const std::string &from,
                              const ReplicaReply &reply) {
  const StoreVersion own = follower_->replica().version();
  const std::size_t bytes = valueBytes(reply);
  counters_.bytesReceived += bytes;
  counters_.outdatedReplies += reply.version <= own ? 1 : 0;
  logLargeReply("replica_reply_received", from, own, reply, bytes);
  follower_->applyFromPeer(reply.isSnapshot, reply.removalsAreConfirmed,
                           reply.version, reply.changes);
  selector_->onFetchReply(from, own < follower_->replica().version());
  // A newer version may have been reported since the reply was sent.
  fetchMissingChanges();
}

void ReplicaExchange::onPeerDisconnected(const std::string &host) {
  selector_->onConnectionLost(host);
  fetchMissingChanges();
}

} // namespace auburnspring
