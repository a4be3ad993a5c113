#include "auburnspring/decision/stream_origins.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburnspring;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

StreamOrigin origin(const std::string &id, const std::string &version,
                    std::uint64_t revision = 0,
                    Duration expiresIn = std::chrono::seconds(20)) {
  return {id, "models", version, revision, expiresIn};
}

std::string versionOf(const StreamOrigins &origins, const std::string &id,
                      TimePoint now) {
  const auto found = origins.find(id, now);
  return found ? found->origin.softwareVersion : "";
}

} // namespace

TEST_CASE("an origin is announced once, with the time that it has left") {
  StreamOrigins origins;
  CHECK_FALSE(origins.record(origin("r", "v1"), at(0)));
  CHECK_FALSE(origins.record(origin("r", "v1"), at(10)));
  const auto pending = origins.takePending(at(5000));
  REQUIRE(pending.size() == 1);
  CHECK(pending[0].softwareVersion == "v1");
  CHECK(pending[0].expiresIn == std::chrono::seconds(15));
  CHECK(origins.takePending(at(5000)).empty());
  CHECK(origins.find("r", at(5000))->source == StreamOrigins::Source::Own);
}

TEST_CASE("a dispatch at another version before the first event replaces the "
          "origin at this host and at its peers") {
  StreamOrigins origins;
  StreamOrigins peer;
  origins.record(origin("r", "v1"), at(0));
  const auto first = origins.takePending(at(1));
  CHECK(origins.record(origin("r", "v2"), at(2)));
  const auto second = origins.takePending(at(3));
  REQUIRE(second.size() == 1);
  CHECK(versionOf(origins, "r", at(3)) == "v2");
  SECTION("in order") {
    peer.learn(first[0], at(4));
    CHECK(versionOf(peer, "r", at(4)) == "v1");
    peer.learn(second[0], at(5));
  }
  SECTION("in the other order") {
    peer.learn(second[0], at(4));
    peer.learn(first[0], at(5));
  }
  CHECK(versionOf(peer, "r", at(5)) == "v2");
  CHECK(peer.find("r", at(5))->source == StreamOrigins::Source::Peer);
  CHECK(peer.takePending(at(5)).empty());
}

TEST_CASE("origins end with the time in which the stream may be resumed") {
  StreamOrigins origins;
  origins.record(origin("r", "v1"), at(0));
  origins.learn(origin("s", "v1", 1, std::chrono::hours(5)), at(0));
  CHECK(versionOf(origins, "r", at(19999)) == "v1");
  CHECK(versionOf(origins, "r", at(20000)).empty());
  origins.dropExpired(at(20000));
  CHECK(origins.size() == 1);
  const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(
                           StreamOrigins::MaxRetention)
                           .count();
  CHECK(versionOf(origins, "s", at(longest - 1)) == "v1");
  CHECK(versionOf(origins, "s", at(longest)).empty());
  origins.dropExpired(at(longest));
  CHECK(origins.size() == 0);
}

TEST_CASE("requests without an id, or with one that is too long, are not "
          "recorded") {
  StreamOrigins origins;
  origins.record(origin("", "v1"), at(0));
  const std::string tooLong(StreamOrigins::MaxIdBytes + 1, 'x');
  origins.record(origin(tooLong, "v1"), at(0));
  origins.learn(origin(tooLong, "v1", 1), at(0));
  CHECK(origins.size() == 0);
  CHECK(origins.takePending(at(0)).empty());
}

TEST_CASE("the number of origins is bounded and those that expire first go") {
  StreamOrigins origins;
  for (std::size_t i = 0; i < StreamOrigins::MaxOrigins + 10; ++i)
    origins.record(origin(std::to_string(i), "v1"),
                   at(static_cast<std::int64_t>(i)));
  CHECK(origins.size() == StreamOrigins::MaxOrigins);
  CHECK(versionOf(origins, "9", at(1)).empty());
  CHECK(versionOf(origins, "10", at(1)) == "v1");
  CHECK(origins.takePending(at(1)).size() == StreamOrigins::MaxPending);
}

TEST_CASE(
    "an origin whose first event has come is final, and is handed out for "
    "the store if its pool calls for it") {
  StreamOrigins origins;
  StreamOrigins peer;
  StreamOrigin bound = origin("r", "v1");
  bound.isBound = true;
  origins.record(origin("r", "v1"), at(0));
  peer.learn(origins.takePending(at(1)).at(0), at(1));
  CHECK_FALSE(origins.record(bound, at(2)));
  const auto pending = origins.takePending(at(3));
  REQUIRE(pending.size() == 1);
  CHECK(pending[0].isBound);
  CHECK(origins.takeUnstored(at(3)).empty());
  // Streams that began before the pool called for it are included.
  origins.setStoredPools({"models"}, at(4));
  CHECK(origins.takeUnstored(at(4)).size() == 1);
  CHECK(origins.takeUnstored(at(4)).empty());
  CHECK(origins.takePending(at(4)).empty());
  peer.setStoredPools({"models"}, at(4));
  peer.learn(pending[0], at(4));
  CHECK(peer.takeUnstored(at(4)).size() == 1);
  peer.learn(origin("r", "v2", 9), at(5));
  CHECK_FALSE(peer.record(origin("r", "v2"), at(5)));
  CHECK(versionOf(peer, "r", at(5)) == "v1");
}

TEST_CASE(
    "what is not in the store is handed out again when another host was to "
    "write it, and everything when the store lost it") {
  StreamOrigins origins;
  origins.setStoredPools({"models"}, at(0));
  for (const char *id : {"r", "s"}) {
    StreamOrigin bound = origin(id, "v1");
    bound.isBound = true;
    origins.record(bound, at(0));
  }
  CHECK(origins.takeUnstored(at(1)).size() == 2);
  origins.onStored({origin("r", "v1")});
  origins.requeueUnstored(at(1));
  const auto again = origins.takeUnstored(at(1));
  REQUIRE(again.size() == 1);
  CHECK(again[0].id == "s");
  origins.onStoreContentLost(at(2));
  CHECK(origins.takeUnstored(at(2)).size() == 2);
}

// Guards against ORDER: a correction that a peer missed must reach it later.
TEST_CASE("what this host has recorded since a time is handed out again") {
  StreamOrigins origins;
  origins.record(origin("r", "v1"), at(0));
  origins.record(origin("s", "v1"), at(100));
  origins.learn(origin("t", "v1", 1), at(100), "peer");
  origins.record(origin("r", "v2"), at(200));
  origins.takePending(at(200));
  const auto changed = origins.ownSince(at(150), at(300));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].id == "r");
  CHECK(changed[0].softwareVersion == "v2");
  CHECK(origins.ownSince(at(100), at(300)).size() == 2);
  CHECK(origins.ownSince(at(0), at(20150)).size() == 1);
}

TEST_CASE("only an origin that is bound, or this host's own, is settled") {
  StreamOrigins origins;
  origins.record(origin("own", "v1"), at(0));
  origins.learn(origin("r", "v1", 1), at(0), "peer");
  CHECK(origins.find("own", at(0))->isSettled());
  CHECK_FALSE(origins.find("r", at(0))->isSettled());
  CHECK(origins.find("r", at(0))->recorder == "peer");
  StreamOrigin bound = origin("r", "v2");
  bound.isBound = true;
  origins.learn(bound, at(1), "peer");
  CHECK(origins.find("r", at(1))->isSettled());
}

// Guards against ORDER: a request that was handed over begins at another host.
TEST_CASE("an origin that is not bound can be disowned") {
  StreamOrigins origins;
  origins.record(origin("r", "v1"), at(0));
  origins.learn(origin("s", "v1", 1), at(0), "peer");
  StreamOrigin bound = origin("t", "v1");
  bound.isBound = true;
  origins.record(bound, at(0));
  for (const char *id : {"r", "s", "t", "unheard-of"})
    origins.disown(id);
  CHECK(versionOf(origins, "r", at(1)).empty());
  CHECK(versionOf(origins, "s", at(1)) == "v1");
  CHECK(versionOf(origins, "t", at(1)) == "v1");
}

TEST_CASE("hosts that learn the same origins in any order agree") {
  CHECK(rc::check([] {
    const auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 9));
    RC_PRE(!revisions.empty());
    StreamOrigins forwards;
    StreamOrigins backwards;
    const auto learn = [](StreamOrigins *origins, std::uint64_t revision) {
      origins->learn(origin("r", "v" + std::to_string(revision), revision),
                     at(0));
    };
    for (const std::uint64_t revision : revisions)
      learn(&forwards, revision);
    for (auto it = revisions.rbegin(); it != revisions.rend(); ++it)
      learn(&backwards, *it);
    RC_ASSERT(versionOf(forwards, "r", at(1)) ==
              versionOf(backwards, "r", at(1)));
    RC_ASSERT(versionOf(forwards, "r", at(1)) ==
              "v" + std::to_string(
                        *std::max_element(revisions.begin(), revisions.end())));
  }));
}
