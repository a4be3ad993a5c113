#include "auburnspring/wire/peer_codec.h"

#include "content_delta_codec.h"
#include "part_quarantine_codec.h"
#include "peer_mac.h"
#include "stream_origin_codec.h"
#include "upstream_statement_codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace auburnspring {

namespace {

constexpr int ProtocolVersion = 1;
constexpr std::size_t MaxGossipEntries = 5000;
/// Limit on pieces of one job, far above what a stage has.
constexpr std::uint32_t MaxJobPieces = 4096;

nlohmann::json toJson(const Endpoint &endpoint) { return toString(endpoint); }

Endpoint readEndpoint(const nlohmann::json &json) {
  return parseEndpoint(json.get<std::string>()).value_or(Endpoint());
}

nlohmann::json toJson(const Gossip &gossip) {
  nlohmann::json members = nlohmann::json::array();
  for (const MemberInfo &member : gossip.members)
    members.push_back({member.host, toJson(member.endpoint),
                       toJson(member.callerEndpoint), member.dataCentre,
                       member.incarnation,
                       static_cast<unsigned>(member.state)});
  nlohmann::json leaving = nlohmann::json::array();
  for (const LeavingNotice &notice : gossip.leaving)
    leaving.push_back({notice.upstream, notice.incarnation});
  return {{"g", gossip.generation}, {"m", members}, {"l", leaving}};
}

MemberInfo readMember(const nlohmann::json &json) {
  MemberInfo member;
  member.host = json.at(0).get<std::string>();
  member.endpoint = readEndpoint(json.at(1));
  member.callerEndpoint = readEndpoint(json.at(2));
  member.dataCentre = json.at(3).get<std::string>();
  member.incarnation = json.at(4).get<std::uint64_t>();
  const auto state = json.at(5).get<unsigned>();
  member.state = static_cast<MemberState>(std::min(state, 3U));
  return member;
}

Gossip readGossip(const nlohmann::json &json) {
  Gossip gossip;
  gossip.generation = json.at("g").get<std::uint64_t>();
  for (const nlohmann::json &member : json.at("m")) {
    if (gossip.members.size() >= MaxGossipEntries)
      break;
    gossip.members.push_back(readMember(member));
  }
  for (const nlohmann::json &entry : json.at("l")) {
    if (gossip.leaving.size() >= MaxGossipEntries)
      break;
    gossip.leaving.push_back(
        {entry.at(0).get<std::string>(), entry.at(1).get<std::string>()});
  }
  return gossip;
}

nlohmann::json toJson(const Ping &ping) {
  return {{"seq", ping.sequence},
          {"target", ping.target},
          {"gossip", toJson(ping.gossip)}};
}

nlohmann::json toJson(const Ack &ack) {
  return {{"seq", ack.sequence},
          {"subject", ack.subject},
          {"gossip", toJson(ack.gossip)}};
}

nlohmann::json toJson(const BundleRequest &request) {
  return {{"generation", request.generation}};
}

nlohmann::json toJson(const BundleReply &reply) {
  return {{"head", encodeHead(reply.bundle.head)},
          {"texts", reply.bundle.fileContents}};
}

nlohmann::json toJson(const LedgerForward &forward) {
  return {{"n", forward.number},
          {"verb", forward.verb},
          {"key", forward.key},
          {"record", forward.record},
          {"left_us", forward.timeLeft.count()},
          {"refresh", forward.refresh},
          {"mark", forward.leavesTombstone}};
}

nlohmann::json toJson(const LedgerForwardReply &reply) {
  return {{"n", reply.number},
          {"queued", reply.queued},
          {"verdict", reply.verdict},
          {"present", reply.existing}};
}

LedgerForward readForward(const nlohmann::json &json) {
  LedgerForward forward;
  forward.number = json.at("n").get<std::uint64_t>();
  forward.verb = json.at("verb").get<std::uint8_t>();
  forward.key = json.at("key").get<std::string>();
  forward.record = json.at("record").get<std::string>();
  forward.timeLeft = Duration(json.at("left_us").get<std::int64_t>());
  forward.refresh = json.at("refresh").get<bool>();
  forward.leavesTombstone = json.at("mark").get<bool>();
  return forward;
}

LedgerForwardReply readForwardReply(const nlohmann::json &json) {
  return {json.at("n").get<std::uint64_t>(), json.at("queued").get<bool>(),
          json.at("verdict").get<std::uint8_t>(),
          json.at("present").get<std::string>()};
}

Ping readPing(const nlohmann::json &json) {
  return {json.at("seq").get<std::uint64_t>(),
          json.at("target").get<std::string>(), readGossip(json.at("gossip"))};
}

Ack readAck(const nlohmann::json &json) {
  return {json.at("seq").get<std::uint64_t>(),
          json.at("subject").get<std::string>(), readGossip(json.at("gossip"))};
}

BundleReply readBundleReply(const nlohmann::json &json) {
  BundleReply reply;
  absl::StatusOr<ConfigurationHead> head =
      decodeHead(json.at("head").get<std::string>());
  if (head.ok())
    reply.bundle.head = *std::move(head);
  reply.bundle.fileContents =
      json.at("texts").get<std::map<std::string, std::string>>();
  return reply;
}

/// Adds the fields of a version to those of a message. Hosts of an earlier
/// release send and read the revision alone, which is correct in era 0.
nlohmann::json withVersion(nlohmann::json fields, const StoreVersion &version) {
  fields["rev"] = version.revision;
  fields["era"] = version.era;
  return fields;
}

StoreVersion readStoreVersion(const nlohmann::json &json) {
  return {json.value<std::int64_t>("era", 0),
          json.at("rev").get<std::int64_t>()};
}

nlohmann::json toJson(const HostReach &reach) {
  nlohmann::json fields = {{"cut", reach.isCut},
                           {"active", reach.activeRequests},
                           {"share", reach.processorShare},
                           {"dc", reach.dataCentre}};
  if (reach.connectionAge)
    fields["connected"] = reach.connectionAge->count();
  for (const PoolReach &pool : reach.pools)
    fields["pools"].push_back(
        {pool.pool, pool.lost, pool.listed,
         pool.connectionAge.value_or(Duration(-1)).count()});
  return fields;
}

/// Hosts of earlier releases send none; they are not cut, as far as is known.
HostReach readReach(const nlohmann::json &json) {
  HostReach reach;
  reach.isCut = json.value("cut", false);
  if (json.contains("connected"))
    reach.connectionAge = Duration(json.at("connected").get<std::int64_t>());
  reach.activeRequests = json.value<std::int64_t>("active", 0);
  reach.processorShare = json.value("share", 1.0);
  reach.dataCentre = json.value("dc", std::string());
  for (const nlohmann::json &pool :
       json.value("pools", nlohmann::json::array())) {
    if (reach.pools.size() >= MaxPoolReaches)
      break;
    reach.pools.push_back({pool.at(0).get<std::string>(),
                           pool.at(1).get<std::int64_t>(),
                           pool.at(2).get<std::int64_t>(), std::nullopt});
    if (const auto age = pool.at(3).get<std::int64_t>(); age >= 0)
      reach.pools.back().connectionAge = Duration(age);
  }
  return reach;
}

nlohmann::json toJson(const HostHeartbeat &heartbeat) {
  nlohmann::json loads = nlohmann::json::array();
  for (const UpstreamLoad &load : heartbeat.loads)
    loads.push_back({load.upstream, load.inFlight, load.prefillTokens,
                     load.reservedTokens});
  nlohmann::json notices = nlohmann::json::array();
  for (const UpstreamNotice &notice : heartbeat.notices)
    notices.push_back({notice.upstream, notice.startedAtMillis,
                       notice.isLeaving, notice.refusesFor.count()});
  return withVersion({{"age", heartbeat.storeVersionAge.count()},
                      {"store", heartbeat.storeReachable},
                      {"leaving", heartbeat.isLeaving},
                      {"config", heartbeat.configurationVersion},
                      {"loads", std::move(loads)},
                      {"notices", std::move(notices)},
                      {"origins", toJson(heartbeat.origins)},
                      {"quarantines", toJson(heartbeat.quarantines)},
                      {"limits", toJson(heartbeat.statements)},
                      {"reach", toJson(heartbeat.reach)},
                      {"hand_over", heartbeat.handOverPort}},
                     heartbeat.storeVersion);
}

HostHeartbeat readHeartbeat(const nlohmann::json &json) {
  HostHeartbeat heartbeat;
  heartbeat.storeVersion = readStoreVersion(json);
  heartbeat.storeVersionAge = Duration(json.value<std::int64_t>("age", 0));
  heartbeat.storeReachable = json.at("store").get<bool>();
  heartbeat.isLeaving = json.at("leaving").get<bool>();
  heartbeat.configurationVersion = json.value<std::int64_t>("config", 0);
  for (const nlohmann::json &load : json.at("loads")) {
    if (heartbeat.loads.size() >= MaxGossipEntries)
      break;
    heartbeat.loads.push_back(
        {load.at(0).get<std::string>(), load.at(1).get<std::int64_t>(),
         load.at(2).get<std::int64_t>(), load.at(3).get<std::int64_t>()});
  }
  for (const nlohmann::json &notice :
       json.value("notices", nlohmann::json::array())) {
    if (heartbeat.notices.size() >= MaxGossipEntries)
      break;
    heartbeat.notices.push_back(
        {notice.at(0).get<std::string>(), notice.at(1).get<std::int64_t>(),
         notice.at(2).get<bool>(), Duration(notice.at(3).get<std::int64_t>())});
  }
  heartbeat.origins = readOrigins(json);
  heartbeat.quarantines =
      readQuarantines(json.value("quarantines", nlohmann::json::array()));
  heartbeat.statements =
      readStatements(json.value("limits", nlohmann::json::array()));
  heartbeat.reach = readReach(json.value("reach", nlohmann::json::object()));
  heartbeat.handOverPort = json.value<std::uint16_t>("hand_over", 0);
  return heartbeat;
}

nlohmann::json toJson(const JobSubmit &submit) {
  nlohmann::json jobs = nlohmann::json::array();
  for (const JobSubmit::Entry &entry : submit.jobs) {
    const StageJob &job = entry.job;
    jobs.push_back({job.host, job.requestId, job.stage, job.attempt, job.pool,
                    job.pieces, job.key, job.inputs, job.resultBytes,
                    entry.targetIn.count(), entry.deadlineIn.count(),
                    job.valueDensity, job.hasExclusiveInputs,
                    job.preferredDataCentre, job.name});
  }
  nlohmann::json upstreams = nlohmann::json::array();
  for (const BatchUpstreamState &upstream : submit.upstreams)
    upstreams.push_back({upstream.incarnation, upstream.busyFor.count(),
                         upstream.heldBytes, upstream.slowdownRatio});
  return {{"jobs", std::move(jobs)},
          {"pool", submit.pool},
          {"upstreams", std::move(upstreams)}};
}

JobSubmit readJobSubmit(const nlohmann::json &json) {
  JobSubmit submit;
  submit.pool = json.at("pool").get<std::string>();
  for (const nlohmann::json &fields : json.at("upstreams"))
    submit.upstreams.push_back({fields.at(0).get<std::string>(),
                                Duration(fields.at(1).get<std::int64_t>()),
                                fields.at(2).get<std::int64_t>(),
                                fields.at(3).get<double>()});
  for (const nlohmann::json &fields : json.at("jobs")) {
    JobSubmit::Entry entry;
    StageJob &job = entry.job;
    job.host = fields.at(0).get<std::string>();
    job.requestId = fields.at(1).get<std::string>();
    job.stage = fields.at(2).get<std::uint32_t>();
    job.attempt = fields.at(3).get<std::uint32_t>();
    job.pool = fields.at(4).get<std::string>();
    job.pieces = std::min(fields.at(5).get<std::uint32_t>(), MaxJobPieces);
    job.key = fields.at(6).get<std::string>();
    job.inputs = fields.at(7).get<std::vector<std::string>>();
    job.resultBytes = fields.at(8).get<std::int64_t>();
    entry.targetIn = Duration(fields.at(9).get<std::int64_t>());
    entry.deadlineIn = Duration(fields.at(10).get<std::int64_t>());
    job.valueDensity = fields.at(11).get<double>();
    job.hasExclusiveInputs = fields.at(12).get<bool>();
    job.preferredDataCentre = fields.at(13).get<std::string>();
    // Hosts of earlier releases do not send it.
    if (fields.size() > 14)
      job.name = fields.at(14).get<std::string>();
    submit.jobs.push_back(std::move(entry));
  }
  return submit;
}

nlohmann::json toJson(const JobCancel &cancel) {
  return {{"pool", cancel.pool}, {"id", cancel.requestId}};
}

nlohmann::json toJson(const ResultRelease &release) {
  return {{"pool", release.pool}, {"results", release.results}};
}

nlohmann::json toJson(const JobOutcomes &message) {
  nlohmann::json outcomes = nlohmann::json::array();
  for (const JobOutcome &outcome : message.outcomes)
    outcomes.push_back({outcome.host, outcome.requestId, outcome.stage,
                        outcome.attempt, static_cast<unsigned>(outcome.status),
                        outcome.backlog.count(), outcome.results});
  return outcomes;
}

JobOutcomes readOutcomes(const nlohmann::json &json) {
  JobOutcomes message;
  for (const nlohmann::json &fields : json) {
    const auto status = fields.at(4).get<unsigned>();
    message.outcomes.push_back(
        {fields.at(0).get<std::string>(), fields.at(1).get<std::string>(),
         fields.at(2).get<std::uint32_t>(), fields.at(3).get<std::uint32_t>(),
         static_cast<JobStatus>(std::min(status, 3U)),
         Duration(fields.at(5).get<std::int64_t>()),
         fields.at(6).get<std::vector<std::string>>()});
  }
  return message;
}

nlohmann::json toJson(const BatcherProbe &probe) {
  return {{"answer", probe.isReply}};
}

// Hosts of earlier releases neither send nor read what a replica holds, and so
// send and get whole values.

nlohmann::json toJson(const ReplicaRequest &request) {
  nlohmann::json fields = nlohmann::json::object();
  for (const HeldContent &content : request.held)
    fields["held"].push_back(toJson(content));
  return withVersion(std::move(fields), request.version);
}

ReplicaRequest readReplicaRequest(const nlohmann::json &json) {
  return {readStoreVersion(json),
          readHeldContents(json.value("held", nlohmann::json::array()))};
}

nlohmann::json toJson(const StoreVersionUpdate &update) {
  return withVersion(nlohmann::json::object({{"age", update.age.count()}}),
                     update.version);
}

nlohmann::json toJson(const OperatorConfigurationRequest &request) {
  nlohmann::json fields = nlohmann::json::object();
  if (request.held)
    fields["held"] = toJson(*request.held);
  return fields;
}

OperatorConfigurationRequest
readOperatorConfigurationRequest(const nlohmann::json &json) {
  OperatorConfigurationRequest request;
  if (json.contains("held"))
    request.held = readHeldContent(json.at("held"));
  return request;
}

nlohmann::json toJson(const OperatorConfigurationReply &reply) {
  nlohmann::json fields = {
      {"value",
       nlohmann::json::binary({reply.value.begin(), reply.value.end()})}};
  if (reply.delta)
    fields["delta"] = toJson(*reply.delta);
  return fields;
}

nlohmann::json toJson(const ReplicaReply &reply) {
  nlohmann::json changes = nlohmann::json::array();
  for (const StoreChange &change : reply.changes)
    changes.push_back(
        {change.key,
         nlohmann::json::binary({change.value.begin(), change.value.end()}),
         change.revision, change.removed, change.replacedWrites});
  nlohmann::json deltas = nlohmann::json::array();
  for (const ContentDelta &delta : reply.deltas)
    deltas.push_back(toJson(delta));
  return withVersion({{"whole", reply.isSnapshot},
                      {"steady", reply.removalsAreConfirmed},
                      {"changes", std::move(changes)},
                      {"deltas", std::move(deltas)},
                      {"follows", reply.isAnnouncement}},
                     reply.version);
}

ReplicaReply readReplicaReply(const nlohmann::json &json) {
  ReplicaReply reply;
  reply.isSnapshot = json.at("whole").get<bool>();
  reply.removalsAreConfirmed = json.at("steady").get<bool>();
  reply.version = readStoreVersion(json);
  for (const nlohmann::json &fields : json.at("changes")) {
    const auto &value = fields.at(1).get_binary();
    reply.changes.push_back({fields.at(0).get<std::string>(),
                             std::string(value.begin(), value.end()),
                             fields.at(2).get<std::int64_t>(),
                             fields.at(3).get<bool>()});
    // Hosts of earlier releases send every write itself.
    if (fields.size() > 4)
      reply.changes.back().replacedWrites =
          fields.at(4).get<std::vector<std::int64_t>>();
  }
  for (const nlohmann::json &delta :
       json.value("deltas", nlohmann::json::array()))
    reply.deltas.push_back(readContentDelta(delta));
  reply.isAnnouncement = json.value("follows", false);
  return reply;
}

OperatorConfigurationReply
readOperatorConfigurationReply(const nlohmann::json &json) {
  const auto &value = json.at("value").get_binary();
  OperatorConfigurationReply reply{{value.begin(), value.end()}, std::nullopt};
  if (json.contains("delta"))
    reply.delta = readContentDelta(json.at("delta"));
  return reply;
}

absl::StatusOr<PeerMessage> readMessage(std::size_t kind,
                                        const nlohmann::json &json) {
  switch (kind) {
  case 0:
    return PeerMessage(readPing(json));
  case 1:
    return PeerMessage(readAck(json));
  case 2:
    return PeerMessage(
        BundleRequest{json.at("generation").get<std::uint64_t>()});
  case 3:
    return PeerMessage(readBundleReply(json));
  case 4:
    return PeerMessage(readForward(json));
  case 5:
    return PeerMessage(readForwardReply(json));
  case 6:
    return PeerMessage(readHeartbeat(json));
  case 7:
    return PeerMessage(readJobSubmit(json));
  case 8:
    return PeerMessage(JobCancel{json.at("pool").get<std::string>(),
                                 json.at("id").get<std::string>()});
  case 9:
    return PeerMessage(
        ResultRelease{json.at("pool").get<std::string>(),
                      json.at("results").get<std::vector<std::string>>()});
  case 10:
    return PeerMessage(readOutcomes(json));
  case 11:
    return PeerMessage(BatcherProbe{json.at("answer").get<bool>()});
  case 12:
    return PeerMessage(readReplicaRequest(json));
  case 13:
    return PeerMessage(readReplicaReply(json));
  case 14:
    return PeerMessage(StoreVersionUpdate{
        readStoreVersion(json), Duration(json.value<std::int64_t>("age", 0))});
  case 15:
    return PeerMessage(readOperatorConfigurationRequest(json));
  case 16:
    return PeerMessage(readOperatorConfigurationReply(json));
  case 17:
    return PeerMessage(StreamOriginsUpdate{readOrigins(json)});
  case 18:
    return PeerMessage(readOriginQuery(json));
  case 19:
    return PeerMessage(readOriginReply(json));
  case 20:
    return PeerMessage(readCrashReport(json));
  case 21:
    return PeerMessage(PartQuarantineUpdate{readQuarantines(json)});
  case 22:
    return PeerMessage(PartTrialRequest{json.at("n").get<std::uint64_t>(),
                                        json.at("part").get<std::string>()});
  case 23:
    return PeerMessage(PartTrialReply{json.at("n").get<std::uint64_t>(),
                                      json.at("granted").get<bool>()});
  case 24:
    return PeerMessage(UpstreamStatementUpdate{readStatements(json)});
  case 25:
    return PeerMessage(readPermitRequest(json));
  case 26:
    return PeerMessage(readPermitReply(json));
  case 27:
    return PeerMessage(readPermitRelease(json));
  default:
    return absl::UnimplementedError(
        absl::StrCat("unknown peer message kind ", kind));
  }
}

} // namespace

std::string encodeEnvelope(const PeerEnvelope &envelope,
                           absl::string_view peerKey) {
  const nlohmann::json json = {
      {"v", ProtocolVersion},
      {"from", envelope.from},
      {"to", envelope.to},
      {"inc", envelope.incarnation},
      {"n", envelope.sequence},
      {"kind", envelope.message.index()},
      {"body",
       std::visit([](const auto &m) { return toJson(m); }, envelope.message)}};
  std::string body;
  nlohmann::json::to_cbor(json, body);
  const Mac mac = computeMac(body, peerKey);
  std::string bytes(mac.begin(), mac.end());
  return bytes + body;
}

absl::StatusOr<PeerEnvelope> decodeEnvelope(absl::string_view bytes,
                                            absl::string_view peerKey) {
  if (bytes.size() < MacBytes || bytes.size() > MaxEnvelopeBytes)
    return absl::InvalidArgumentError("peer message has an invalid size");
  const absl::string_view body = bytes.substr(MacBytes);
  const Mac mac = computeMac(body, peerKey);
  if (CRYPTO_memcmp(mac.data(), bytes.data(), MacBytes) != 0)
    return absl::PermissionDeniedError(
        "MAC of peer message does not match the peer key");
  const nlohmann::json json =
      nlohmann::json::from_cbor(body.begin(), body.end(), true, false);
  if (json.is_discarded())
    return absl::InvalidArgumentError("peer message is not valid CBOR");
  try {
    if (json.at("v").get<int>() != ProtocolVersion)
      return absl::UnimplementedError("peer uses another protocol version");
    PeerEnvelope envelope;
    envelope.from = json.at("from").get<std::string>();
    envelope.to = json.at("to").get<std::string>();
    envelope.incarnation = json.at("inc").get<std::uint64_t>();
    envelope.sequence = json.at("n").get<std::uint64_t>();
    absl::StatusOr<PeerMessage> message =
        readMessage(json.at("kind").get<std::size_t>(), json.at("body"));
    if (!message.ok())
      return message.status();
    envelope.message = *std::move(message);
    return envelope;
  } catch (const nlohmann::json::exception &error) {
    return absl::InvalidArgumentError(
        absl::StrCat("malformed peer message: ", error.what()));
  }
}

} // namespace auburnspring
