#include "stream_origin_codec.h"

#include "auburnspring/wire/peer_codec.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

constexpr const char *Key = "a shared peer key";

template <typename Message> Message roundTrip(const Message &message) {
  const auto decoded =
      decodeEnvelope(encodeEnvelope({"a", "b", 1, 1, message}, Key), Key);
  REQUIRE(decoded.ok());
  return std::get<Message>(decoded->message);
}

const StreamOrigin Origin = {"9c41", "models", "v1.2", 3,
                             std::chrono::seconds(20)};

void checkEqual(const StreamOrigin &a, const StreamOrigin &b) {
  CHECK(a.id == b.id);
  CHECK(a.pool == b.pool);
  CHECK(a.softwareVersion == b.softwareVersion);
  CHECK(a.revision == b.revision);
  CHECK(a.expiresIn == b.expiresIn);
}

} // namespace

TEST_CASE("origins of streams round-trip in heartbeats and updates") {
  HostHeartbeat heartbeat;
  heartbeat.origins = {Origin, {"id2", "models", "", 1, Duration(1)}};
  const HostHeartbeat decoded = roundTrip(heartbeat);
  REQUIRE(decoded.origins.size() == 2);
  checkEqual(decoded.origins[0], Origin);
  checkEqual(decoded.origins[1], heartbeat.origins[1]);
  const auto update = roundTrip(StreamOriginsUpdate{{Origin}});
  REQUIRE(update.origins.size() == 1);
  checkEqual(update.origins[0], Origin);
}

TEST_CASE("a question for a stream's origin and its replies round-trip") {
  const auto query = roundTrip(StreamOriginQuery{7, "9c41"});
  CHECK(query.number == 7);
  CHECK(query.id == "9c41");
  const auto known = roundTrip(StreamOriginReply{7, Origin, ""});
  CHECK(known.number == 7);
  REQUIRE(known.origin);
  checkEqual(*known.origin, Origin);
  CHECK(known.recorder.empty());
  CHECK(roundTrip(StreamOriginReply{7, Origin, "host-3"}).recorder == "host-3");
  CHECK_FALSE(roundTrip(StreamOriginReply{8, std::nullopt, ""}).origin);
}

// Hosts of an earlier release neither send nor read who recorded an origin.
TEST_CASE("a reply of an earlier release names no recorder, and reads one that "
          "does") {
  nlohmann::json json = toJson(StreamOriginReply{7, Origin, "host-3"});
  CHECK(json.at("n") == 7);
  CHECK(json.at("origin").at(0) == Origin.id);
  json.erase("by");
  const StreamOriginReply reply = readOriginReply(json);
  CHECK(reply.recorder.empty());
  REQUIRE(reply.origin);
  checkEqual(*reply.origin, Origin);
}

TEST_CASE("messages of an earlier release hold no origins") {
  CHECK(readOrigins(nlohmann::json::object()).empty());
}

TEST_CASE("fields that a later release adds to an origin are ignored") {
  nlohmann::json json = toJson(StreamOriginsUpdate{{Origin}});
  json["more"] = 1;
  json["origins"][0].push_back("more");
  const auto origins = readOrigins(json);
  REQUIRE(origins.size() == 1);
  checkEqual(origins[0], Origin);
}

TEST_CASE("the number of origins that are read is bounded") {
  const std::vector<StreamOrigin> many(20000, Origin);
  CHECK(readOrigins(toJson(StreamOriginsUpdate{many})).size() == 5000);
}
