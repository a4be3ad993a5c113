#include "auburnspring/wire/peer_codec.h"

#include "peer_mac.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace auburnspring;

namespace {

constexpr const char *Key = "a shared peer key";

PeerEnvelope pingEnvelope() {
  Ping ping;
  ping.sequence = 7;
  ping.target = "b";
  ping.gossip.generation = 3;
  ping.gossip.members.push_back({"a",
                                 {"127.0.0.1", 80},
                                 {"127.0.0.1", 81},
                                 "north",
                                 12,
                                 MemberState::Suspect});
  ping.gossip.leaving.push_back({"engine-1", "x1"});
  return {"a", "b", 5, 9, ping};
}

} // namespace

TEST_CASE("an envelope round-trips through the codec") {
  const auto decoded = decodeEnvelope(encodeEnvelope(pingEnvelope(), Key), Key);
  REQUIRE(decoded.ok());
  CHECK(decoded->from == "a");
  CHECK(decoded->sequence == 9);
  const Ping &ping = std::get<Ping>(decoded->message);
  CHECK(ping.gossip.members.front().endpoint.port == 80);
  CHECK(ping.gossip.members.front().state == MemberState::Suspect);
  CHECK(ping.gossip.leaving.front().incarnation == "x1");
}

TEST_CASE("a configuration bundle round-trips through the codec") {
  BundleReply reply;
  reply.bundle.head.generation = 4;
  reply.bundle.head.fileDigests["f"] = "d";
  reply.bundle.fileContents["d"] = "text";
  const auto decoded =
      decodeEnvelope(encodeEnvelope({"a", "b", 1, 1, reply}, Key), Key);
  REQUIRE(decoded.ok());
  const BundleReply &decodedReply = std::get<BundleReply>(decoded->message);
  CHECK(decodedReply.bundle.head.fileDigests.at("f") == "d");
  CHECK(decodedReply.bundle.fileContents.at("d") == "text");
}

namespace {

template <typename Message> Message roundTrip(const Message &message) {
  const auto decoded =
      decodeEnvelope(encodeEnvelope({"a", "b", 1, 1, message}, Key), Key);
  REQUIRE(decoded.ok());
  return std::get<Message>(decoded->message);
}

} // namespace

TEST_CASE("submitted jobs round-trip with every field") {
  JobSubmit submit;
  JobSubmit::Entry entry;
  entry.job.host = "h";
  entry.job.requestId = "r";
  entry.job.name = "request-1.2";
  entry.job.stage = 2;
  entry.job.attempt = 1;
  entry.job.pool = "p";
  entry.job.pieces = 5;
  entry.job.key = "k";
  entry.job.inputs = {"x", "y"};
  entry.job.hasExclusiveInputs = true;
  entry.job.resultBytes = 800000;
  entry.job.preferredDataCentre = "d";
  entry.job.valueDensity = 2.5;
  entry.targetIn = Duration(-7);
  entry.deadlineIn = Duration(9);
  submit.jobs.push_back(entry);
  submit.pool = "p";
  submit.upstreams.push_back({"u/1", Duration(5), 12, 1.5});
  const JobSubmit decoded = roundTrip(submit);
  REQUIRE(decoded.jobs.size() == 1);
  const StageJob &job = decoded.jobs[0].job;
  CHECK(job.host == "h");
  CHECK(job.requestId == "r");
  CHECK(job.name == "request-1.2");
  CHECK(job.stage == 2);
  CHECK(job.attempt == 1);
  CHECK(job.pool == "p");
  CHECK(job.pieces == 5);
  CHECK(job.key == "k");
  CHECK(job.inputs == entry.job.inputs);
  CHECK(job.hasExclusiveInputs);
  CHECK(job.resultBytes == 800000);
  CHECK(job.preferredDataCentre == "d");
  CHECK(job.valueDensity == 2.5);
  CHECK(decoded.jobs[0].targetIn == Duration(-7));
  CHECK(decoded.jobs[0].deadlineIn == Duration(9));
  REQUIRE(decoded.upstreams.size() == 1);
  CHECK(decoded.upstreams[0].incarnation == "u/1");
  CHECK(decoded.upstreams[0].busyFor == Duration(5));
  CHECK(decoded.upstreams[0].heldBytes == 12);
  CHECK(decoded.upstreams[0].slowdownRatio == 1.5);
}

TEST_CASE("outcomes, heartbeats and replica messages round-trip") {
  JobOutcomes outcomes;
  JobOutcome outcome;
  outcome.host = "h";
  outcome.requestId = "r";
  outcome.stage = 1;
  outcome.attempt = 2;
  outcome.status = JobStatus::InputsGone;
  outcome.backlog = Duration(77);
  outcome.results = {"x"};
  outcomes.outcomes.push_back(outcome);
  const JobOutcome decodedOutcome = roundTrip(outcomes).outcomes.at(0);
  CHECK(decodedOutcome.host == "h");
  CHECK(decodedOutcome.requestId == "r");
  CHECK(decodedOutcome.stage == 1);
  CHECK(decodedOutcome.attempt == 2);
  CHECK(decodedOutcome.status == JobStatus::InputsGone);
  CHECK(decodedOutcome.backlog == Duration(77));
  CHECK(decodedOutcome.results == outcome.results);
  const StoreVersionUpdate update =
      roundTrip(StoreVersionUpdate{{2, 17}, Duration(8)});
  CHECK(update.version == StoreVersion{2, 17});
  CHECK(update.age == Duration(8));
  const HostHeartbeat heartbeat = roundTrip(
      HostHeartbeat{{3, 9},
                    Duration(6),
                    true,
                    true,
                    11,
                    {{"u", 1, 2, 3}},
                    {{"v", 1700, true, Duration(5)}},
                    {},
                    {},
                    {},
                    {true,
                     Duration(70),
                     12,
                     0.25,
                     "dc",
                     {{"p", 2, 5, Duration(8)}, {"q", 1, 1, std::nullopt}}},
                    7755});
  CHECK(heartbeat.reach.isCut);
  CHECK(heartbeat.reach.connectionAge == Duration(70));
  CHECK(heartbeat.reach.activeRequests == 12);
  CHECK(heartbeat.reach.processorShare == 0.25);
  CHECK(heartbeat.reach.dataCentre == "dc");
  REQUIRE(heartbeat.reach.pools.size() == 2);
  CHECK(heartbeat.reach.pools[0].lost == 2);
  CHECK(heartbeat.reach.pools[0].listed == 5);
  CHECK(heartbeat.reach.pools[0].connectionAge == Duration(8));
  CHECK(heartbeat.reach.pools[1].pool == "q");
  CHECK_FALSE(heartbeat.reach.pools[1].connectionAge);
  CHECK(heartbeat.handOverPort == 7755);
  CHECK(heartbeat.storeVersion == StoreVersion{3, 9});
  CHECK(heartbeat.storeVersionAge == Duration(6));
  CHECK(heartbeat.configurationVersion == 11);
  CHECK(heartbeat.notices.at(0).upstream == "v");
  CHECK(heartbeat.notices.at(0).startedAtMillis == 1700);
  CHECK(heartbeat.notices.at(0).isLeaving);
  CHECK(heartbeat.notices.at(0).refusesFor == Duration(5));
  CHECK(heartbeat.storeReachable);
  CHECK(heartbeat.isLeaving);
  CHECK(heartbeat.loads.at(0).reservedTokens == 3);
  const ReplicaReply replica = roundTrip(
      ReplicaReply{true,
                   true,
                   {1, 12},
                   {{"k", std::string("\0\xff", 2), 11, false, false, {9, 10}}},
                   {}});
  CHECK(replica.isSnapshot);
  CHECK(replica.removalsAreConfirmed);
  CHECK(replica.version == StoreVersion{1, 12});
  CHECK(replica.changes.at(0).value == std::string("\0\xff", 2));
  CHECK(replica.changes.at(0).replacedWrites ==
        std::vector<std::int64_t>{9, 10});
  CHECK(roundTrip(ReplicaRequest{{1, 4}, {}}).version == StoreVersion{1, 4});
  CHECK(
      roundTrip(OperatorConfigurationReply{std::string("\0{", 2), {}}).value ==
      std::string("\0{", 2));
  CHECK_FALSE(roundTrip(OperatorConfigurationRequest{}).held);
  CHECK(roundTrip(ResultRelease{"p", {"x"}}).results.size() == 1);
  CHECK(roundTrip(JobCancel{"p", "r"}).requestId == "r");
  CHECK(roundTrip(BatcherProbe{true}).isReply);
}

TEST_CASE("differences to what a replica holds round-trip") {
  const HeldContent held{"k", ~0ULL, {1, ~0ULL}};
  const ContentDelta delta{
      "k", 12, 3, ~0ULL, {{0, 0, std::string("\0\xff", 2)}, {1, 2, ""}}};
  const auto checkDelta = [](const ContentDelta &decoded) {
    CHECK(decoded.key == "k");
    CHECK(decoded.revision == 12);
    CHECK(decoded.base == 3);
    CHECK(decoded.digest == ~0ULL);
    REQUIRE(decoded.pieces.size() == 2);
    CHECK(decoded.pieces[0].count == 0);
    CHECK(decoded.pieces[0].bytes == std::string("\0\xff", 2));
    CHECK(decoded.pieces[1].first == 1);
    CHECK(decoded.pieces[1].count == 2);
  };
  const ReplicaRequest request = roundTrip(ReplicaRequest{{1, 4}, {held}});
  REQUIRE(request.held.size() == 1);
  CHECK(request.held[0].key == "k");
  CHECK(request.held[0].digest == ~0ULL);
  CHECK(request.held[0].parts == held.parts);
  CHECK(roundTrip(OperatorConfigurationRequest{held}).held->parts ==
        held.parts);
  checkDelta(roundTrip(ReplicaReply{false, false, {1, 4}, {}, {delta}, false})
                 .deltas.at(0));
  CHECK(roundTrip(ReplicaReply{false, false, {1, 4}, {}, {}, true})
            .isAnnouncement);
  checkDelta(*roundTrip(OperatorConfigurationReply{"", delta}).delta);
}

namespace {

/// The message as a host of the release before would have sent it, which knew
/// neither differences nor replaced writes.
template <typename Message> Message fromEarlierRelease(const Message &message) {
  const std::string sent = encodeEnvelope({"a", "b", 1, 1, message}, Key);
  nlohmann::json json =
      nlohmann::json::from_cbor(sent.begin() + MacBytes, sent.end());
  nlohmann::json &fields = json["body"];
  fields.erase("held");
  fields.erase("delta");
  fields.erase("deltas");
  fields.erase("follows");
  if (fields.contains("changes"))
    for (nlohmann::json &change : fields["changes"])
      change.erase(4);
  std::string body;
  nlohmann::json::to_cbor(json, body);
  const Mac mac = computeMac(body, Key);
  const auto decoded =
      decodeEnvelope(std::string(mac.begin(), mac.end()) + body, Key);
  REQUIRE(decoded.ok());
  return std::get<Message>(decoded->message);
}

} // namespace

TEST_CASE("replica messages of an earlier release hold whole values") {
  const HeldContent held{"k", 1, {2}};
  const ContentDelta delta{"k", 12, 3, 4, {{1, 2, ""}}};
  CHECK(fromEarlierRelease(ReplicaRequest{{1, 4}, {held}}).held.empty());
  const ReplicaReply reply = fromEarlierRelease(ReplicaReply{
      true, false, {1, 12}, {{"k", "value", 11, false, false, {9}}}, {delta}});
  CHECK(reply.deltas.empty());
  REQUIRE(reply.changes.size() == 1);
  CHECK(reply.changes[0].value == "value");
  CHECK(reply.changes[0].replacedWrites.empty());
  CHECK_FALSE(fromEarlierRelease(OperatorConfigurationRequest{held}).held);
  CHECK(fromEarlierRelease(OperatorConfigurationReply{"value", delta}).value ==
        "value");
}

TEST_CASE("an envelope signed with another key is rejected") {
  const std::string bytes = encodeEnvelope(pingEnvelope(), "another key");
  CHECK(decodeEnvelope(bytes, Key).status().code() ==
        absl::StatusCode::kPermissionDenied);
}

TEST_CASE("changing any byte makes decoding fail") {
  const std::string bytes = encodeEnvelope(pingEnvelope(), Key);
  CHECK(rc::check("changed byte", [&] {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto mask = *rc::gen::inRange(1, 256);
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ mask);
    RC_ASSERT(!decodeEnvelope(changed, Key).ok());
  }));
}

TEST_CASE("a correctly signed envelope with arbitrary text does not crash") {
  CHECK(rc::check("garbage", [](const std::string &garbage) {
    // Arbitrary text in a field, signed with the right key.
    PeerEnvelope envelope = pingEnvelope();
    envelope.from = garbage;
    const auto decoded = decodeEnvelope(encodeEnvelope(envelope, Key), Key);
    if (decoded.ok())
      RC_ASSERT(decoded->from == garbage);
  }));
}
