#include "auburnspring/serving/stream_origin_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/decision/stream_origin_holders.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

namespace {

/// How often the hosts that write to the store are chosen anew.
constexpr Duration WritersInterval = std::chrono::milliseconds(500);
/// In a fleet whose heartbeats reach all hosts one host writes for all.
constexpr std::string_view AllStreams;

} // namespace

bool StreamOriginExchange::heartbeatsReachAll() const {
  return peers_->peerCount() <= PeerNetwork::HeartbeatFanout;
}

void StreamOriginExchange::record(StreamOrigin origin) {
  const TimePoint now = steadyNow();
  const std::string id = origin.id;
  const bool isBound = origin.isBound;
  const auto before = origins_.find(id, now);
  if (origins_.record(std::move(origin), now))
    announce();
  if (!isBound || (before && before->origin.isBound))
    return;
  const auto recorded = origins_.find(id, now);
  const std::string writer = writerOf(id);
  if (recorded && origins_.mustStore(recorded->origin) && !writer.empty() &&
      writer != peers_->self())
    peers_->send(writer, StreamOriginsUpdate{{recorded->origin}});
}

std::optional<StreamOrigins::Found>
StreamOriginExchange::find(const std::string &id) const {
  return origins_.find(id, steadyNow());
}

std::vector<std::string>
StreamOriginExchange::peersToAsk(const std::string &id) const {
  const TimePoint now = steadyNow();
  if (heartbeatsReachAll())
    return peers_->reachablePeers(now);
  const std::vector<BatchingCandidate> hosts = peers_->candidates(now);
  std::vector<std::string> asked =
      StreamOriginHolders(hosts).holders(id, StreamOriginHolders::AskedCount);
  asked.erase(std::remove(asked.begin(), asked.end(), peers_->self()),
              asked.end());
  return asked;
}

bool StreamOriginExchange::maySettle(const std::string &id) const {
  const auto found = find(id);
  return found && !found->isSettled() && peers_->isListed(found->recorder);
}

void StreamOriginExchange::query(const std::string &id, Handler handler) {
  const auto known = find(id);
  ++counters_.queries;
  counters_.checks += known && !known->isSettled() ? 1 : 0;
  StreamOriginCheck check(peers_->self(), known, peersToAsk(id));
  const std::uint64_t number = nextQuery_++;
  Query &query =
      queries_.try_emplace(number, io_, std::move(check)).first->second;
  query.id = id;
  query.handler = std::move(handler);
  if (query.check.isOver())
    return finishQuery(number);
  startRound(number);
}

void StreamOriginExchange::startRound(std::uint64_t number) {
  Query &query = queries_.at(number);
  if (query.rounds++ == MaxRounds)
    return finishQuery(number);
  query.timer.startAfter(ReplyTimeout / MaxRounds,
                         [this, number] { startRound(number); });
  for (const std::string &host : query.check.missing())
    peers_->send(host, StreamOriginQuery{number, query.id});
}

void StreamOriginExchange::finishQuery(std::uint64_t number) {
  const auto node = queries_.extract(number);
  const std::optional<StreamOrigin> origin = node.mapped().check.origin();
  counters_.unanswered += origin ? 0 : 1;
  node.mapped().handler(origin);
}

void StreamOriginExchange::onOrigins(const std::string &from,
                                     const std::vector<StreamOrigin> &origins) {
  const TimePoint now = steadyNow();
  for (const StreamOrigin &origin : origins)
    origins_.learn(origin, now, from);
}

void StreamOriginExchange::onQuery(const std::string &from,
                                   const StreamOriginQuery &query) {
  StreamOriginReply reply;
  reply.number = query.number;
  if (const auto found = find(query.id)) {
    reply.origin = found->origin;
    reply.recorder = found->source == StreamOrigins::Source::Own
                         ? peers_->self()
                         : found->recorder;
  }
  peers_->send(from, std::move(reply));
}

void StreamOriginExchange::onReply(const std::string &from,
                                   const StreamOriginReply &reply) {
  if (reply.origin)
    origins_.learn(*reply.origin, steadyNow(), reply.recorder);
  const auto found = queries_.find(reply.number);
  if (found == queries_.end())
    return;
  StreamOriginCheck &check = found->second.check;
  std::optional<StreamOrigins::Found> known;
  if (reply.origin && reply.origin->id == found->second.id)
    known = {*reply.origin, StreamOrigins::Source::Peer, reply.recorder};
  const std::set<std::string> before = check.missing();
  check.onReply(from, known);
  if (check.isOver())
    return finishQuery(reply.number);
  // The recorder, named by a host that holds the origin, need not wait for the
  // next round.
  for (const std::string &host : check.missing())
    if (before.count(host) == 0)
      peers_->send(host, StreamOriginQuery{reply.number, found->second.id});
}

void StreamOriginExchange::repeat(const std::string &host, TimePoint since) {
  const TimePoint now = steadyNow();
  const std::vector<BatchingCandidate> hosts = peers_->candidates(now);
  const StreamOriginHolders holders(hosts);
  const auto isHeldElsewhere = [&](const StreamOrigin &origin) {
    if (heartbeatsReachAll() || host == writerOf(origin.id))
      return false;
    const std::vector<std::string> chosen =
        holders.holders(origin.id, StreamOriginHolders::HolderCount);
    return std::find(chosen.begin(), chosen.end(), host) == chosen.end();
  };
  StreamOriginsUpdate update{origins_.ownSince(since, now)};
  update.origins.erase(std::remove_if(update.origins.begin(),
                                      update.origins.end(), isHeldElsewhere),
                       update.origins.end());
  if (!update.origins.empty())
    peers_->send(host, std::move(update));
}

std::vector<StreamOrigin> StreamOriginExchange::takeForHeartbeat() {
  return heartbeatsReachAll() ? origins_.takePending(steadyNow())
                              : std::vector<StreamOrigin>();
}

void StreamOriginExchange::tick() {
  origins_.dropExpired(steadyNow());
  if (!heartbeatsReachAll())
    announce();
}

void StreamOriginExchange::announce() {
  const TimePoint now = steadyNow();
  std::vector<StreamOrigin> pending = origins_.takePending(now);
  if (pending.empty())
    return;
  if (heartbeatsReachAll())
    return peers_->broadcast(StreamOriginsUpdate{std::move(pending)},
                             PeerNetwork::HeartbeatFanout);
  const std::vector<BatchingCandidate> hosts = peers_->candidates(now);
  const StreamOriginHolders holders(hosts);
  std::map<std::string, StreamOriginsUpdate> updates;
  for (const StreamOrigin &origin : pending)
    for (const std::string &host :
         holders.holders(origin.id, StreamOriginHolders::HolderCount))
      if (host != peers_->self())
        updates[host].origins.push_back(origin);
  for (auto &update : updates)
    peers_->send(update.first, std::move(update.second));
}

void StreamOriginExchange::setStoredPools(std::set<std::string> pools) {
  hasStoredPools_ = !pools.empty();
  origins_.setStoredPools(std::move(pools), steadyNow());
}

void StreamOriginExchange::setStoreReachable(const std::string &host,
                                             bool isReachable) {
  if (isReachable)
    withoutStore_.erase(host);
  else
    withoutStore_.insert(host);
}

void StreamOriginExchange::updateWriters() {
  const TimePoint now = steadyNow();
  if (writers_ && now < writersChosenAt_ + WritersInterval)
    return;
  writersChosenAt_ = now;
  std::vector<BatchingCandidate> hosts = peers_->candidates(now);
  hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                             [&](const BatchingCandidate &host) {
                               return withoutStore_.count(
                                          std::string(host.host)) > 0;
                             }),
              hosts.end());
  StreamOriginHolders writers(hosts);
  const bool isSame = writers_ && writers.directory() == writers_->directory();
  writers_ = std::move(writers);
  // A host that is gone may not have written what it was to write.
  if (!isSame)
    origins_.requeueUnstored(now);
}

std::string StreamOriginExchange::writerOf(const std::string &id) const {
  if (!writers_)
    return "";
  const std::vector<std::string> writer =
      writers_->holders(heartbeatsReachAll() ? AllStreams : id, 1);
  return writer.empty() ? "" : writer.front();
}

std::vector<StreamOrigin> StreamOriginExchange::takeForStore() {
  if (!hasStoredPools_)
    return {};
  updateWriters();
  std::vector<StreamOrigin> origins = origins_.takeUnstored(steadyNow());
  const auto isOthers = [&](const StreamOrigin &origin) {
    return writerOf(origin.id) != peers_->self();
  };
  origins.erase(std::remove_if(origins.begin(), origins.end(), isOthers),
                origins.end());
  return origins;
}

void StreamOriginExchange::onStoreContentLost() {
  origins_.onStoreContentLost(steadyNow());
}

} // namespace auburnspring
