#include "auburnspring/wire/peer_codec.h"

#include <catch2/catch.hpp>
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

TEST_CASE("an envelope survives the wire") {
  const auto got = decodeEnvelope(encodeEnvelope(pingEnvelope(), Key), Key);
  REQUIRE(got.ok());
  CHECK(got->from == "a");
  CHECK(got->count == 9);
  const Ping &ping = std::get<Ping>(got->message);
  CHECK(ping.gossip.members.front().endpoint.port == 80);
  CHECK(ping.gossip.members.front().state == MemberState::Suspect);
  CHECK(ping.gossip.leaving.front().incarnation == "x1");
}

TEST_CASE("a bundle survives the wire") {
  BundleReply reply;
  reply.bundle.head.generation = 4;
  reply.bundle.head.pieces["f"] = "d";
  reply.bundle.texts["d"] = "text";
  const auto got =
      decodeEnvelope(encodeEnvelope({"a", "b", 1, 1, reply}, Key), Key);
  REQUIRE(got.ok());
  const BundleReply &back = std::get<BundleReply>(got->message);
  CHECK(back.bundle.head.pieces.at("f") == "d");
  CHECK(back.bundle.texts.at("d") == "text");
}

namespace {

template <typename Message> Message overTheWire(const Message &message) {
  const auto got =
      decodeEnvelope(encodeEnvelope({"a", "b", 1, 1, message}, Key), Key);
  REQUIRE(got.ok());
  return std::get<Message>(got->message);
}

} // namespace

TEST_CASE("jobs of pieces survive the wire with every field") {
  PieceSubmit submit;
  PieceSubmit::Entry entry;
  entry.job.host = "h";
  entry.job.requestId = "r";
  entry.job.stage = 2;
  entry.job.round = 1;
  entry.job.pool = "p";
  entry.job.pieces = 5;
  entry.job.key = "k";
  entry.job.inputs = {"x", "y"};
  entry.job.ownsInputs = true;
  entry.job.resultBytes = 800000;
  entry.job.nearDataCentre = "d";
  entry.job.density = 2.5;
  entry.goalIn = Duration(-7);
  entry.deadlineIn = Duration(9);
  submit.jobs.push_back(entry);
  submit.pool = "p";
  submit.upstreams.push_back({"u/1", Duration(5), 12, 1.5});
  const PieceSubmit got = overTheWire(submit);
  REQUIRE(got.jobs.size() == 1);
  const PieceJob &job = got.jobs[0].job;
  CHECK(job.host == "h");
  CHECK(job.requestId == "r");
  CHECK(job.stage == 2);
  CHECK(job.round == 1);
  CHECK(job.pool == "p");
  CHECK(job.pieces == 5);
  CHECK(job.key == "k");
  CHECK(job.inputs == entry.job.inputs);
  CHECK(job.ownsInputs);
  CHECK(job.resultBytes == 800000);
  CHECK(job.nearDataCentre == "d");
  CHECK(job.density == 2.5);
  CHECK(got.jobs[0].goalIn == Duration(-7));
  CHECK(got.jobs[0].deadlineIn == Duration(9));
  REQUIRE(got.upstreams.size() == 1);
  CHECK(got.upstreams[0].life == "u/1");
  CHECK(got.upstreams[0].busyFor == Duration(5));
  CHECK(got.upstreams[0].heldBytes == 12);
  CHECK(got.upstreams[0].slowness == 1.5);
}

TEST_CASE("outcomes, beats and the store's copy survive the wire") {
  PieceOutcomes outcomes;
  PieceOutcome outcome;
  outcome.host = "h";
  outcome.requestId = "r";
  outcome.stage = 1;
  outcome.round = 2;
  outcome.verdict = PieceVerdict::InputsGone;
  outcome.backlog = Duration(77);
  outcome.results = {"x"};
  outcomes.outcomes.push_back(outcome);
  const PieceOutcome back = overTheWire(outcomes).outcomes.at(0);
  CHECK(back.host == "h");
  CHECK(back.requestId == "r");
  CHECK(back.stage == 1);
  CHECK(back.round == 2);
  CHECK(back.verdict == PieceVerdict::InputsGone);
  CHECK(back.backlog == Duration(77));
  CHECK(back.results == outcome.results);
  CHECK(overTheWire(StoreNews{17}).revision == 17);
  const HostBeat beat = overTheWire(HostBeat{9, true, true, {{"u", 1, 2, 3}}});
  CHECK(beat.storeRevision == 9);
  CHECK(beat.storeReachable);
  CHECK(beat.isLeaving);
  CHECK(beat.loads.at(0).heldTokens == 3);
  const ReplicaReply replica = overTheWire(ReplicaReply{
      true, true, 12, {{"k", std::string("\0\xff", 2), 11, false}}});
  CHECK(replica.isWhole);
  CHECK(replica.isSteady);
  CHECK(replica.revision == 12);
  CHECK(replica.changes.at(0).value == std::string("\0\xff", 2));
  CHECK(overTheWire(ReplicaRequest{4}).revision == 4);
  CHECK(overTheWire(PieceRelease{"p", {"x"}}).results.size() == 1);
  CHECK(overTheWire(PieceWithdraw{"p", "r"}).requestId == "r");
  CHECK(overTheWire(GathererPing{true}).isAnswer);
}

TEST_CASE("another key's envelope is refused") {
  const std::string bytes = encodeEnvelope(pingEnvelope(), "another key");
  CHECK(decodeEnvelope(bytes, Key).status().code() ==
        absl::StatusCode::kPermissionDenied);
}

TEST_CASE("a changed byte is refused, whichever it is") {
  const std::string bytes = encodeEnvelope(pingEnvelope(), Key);
  rc::check("changed byte", [&] {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto flip = *rc::gen::inRange(1, 256);
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ flip);
    RC_ASSERT(!decodeEnvelope(changed, Key).ok());
  });
}

TEST_CASE("malformed content under the right key is an error, not a crash") {
  rc::check("garbage", [](const std::string &garbage) {
    // A body of anything, signed as encodeEnvelope signs.
    PeerEnvelope carrier = pingEnvelope();
    carrier.from = garbage;
    const auto got = decodeEnvelope(encodeEnvelope(carrier, Key), Key);
    if (got.ok())
      RC_ASSERT(got->from == garbage);
  });
}
