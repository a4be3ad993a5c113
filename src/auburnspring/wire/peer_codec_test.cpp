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
