#include "auburnspring/decision/placement.h"
#include "auburnspring/decision/upstream_registry.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

using Change = UpstreamRegistry::Change;
using Source = UpstreamRegistry::EntrySource;

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

UpstreamEntry entry(const std::string &id, bool isLeaving = false,
                    std::int64_t incarnation = 1) {
  UpstreamEntry entry;
  entry.id = id;
  entry.pool = "p";
  entry.endpoint = {"10.0.0.1", 80};
  entry.startedAtMillis = incarnation;
  entry.isLeaving = isLeaving;
  return entry;
}

} // namespace

TEST_CASE("a store restored from a copy does not revive a leaving upstream") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  registry.put("s/a", entry("a", true), at(10));
  registry.put("s/b", entry("b"), at(10));
  registry.remove("s/b", at(20));
  registry.onStoreRestored(at(30));
  CHECK(registry.put("s/a", entry("a"), at(30), Source::RestoredCopy) ==
        Change::Updated);
  CHECK(registry.put("s/b", entry("b"), at(30), Source::RestoredCopy) ==
        Change::None);
  CHECK(registry.pool("p").empty());
  // A later incarnation under the same name is another upstream.
  CHECK(registry.put("s/b", entry("b", false, 2), at(31),
                     Source::RestoredCopy) == Change::Joined);
  // What the upstream itself writes holds.
  CHECK(registry.put("s/a", entry("a"), at(40)) == Change::Updated);
  CHECK(registry.pool("p").size() == 2);
}

TEST_CASE("a store restored from a copy does not bring back an earlier "
          "incarnation") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a", false, 1), at(0));
  registry.put("s/a", entry("a", false, 2), at(10));
  registry.onStoreRestored(at(20));
  CHECK(registry.put("s/a", entry("a", false, 1), at(20),
                     Source::RestoredCopy) == Change::None);
  CHECK(registry.byId("a")->entry.startedAtMillis == 2);
  CHECK_FALSE(registry.byId("a")->isLeaving);
}

TEST_CASE("an incarnation that has registered again survives the next "
          "restored copy") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  registry.remove("s/a", at(5000));
  registry.put("s/a", entry("a"), at(5010));
  registry.remove("s/a", at(5020), true);
  registry.put("s/a", entry("a"), at(5030));
  registry.onStoreRestored(at(5040));
  CHECK(registry.put("s/a", entry("a"), at(5040), Source::RestoredCopy) ==
        Change::Updated);
  CHECK(registry.pool("p").size() == 1);
}

TEST_CASE("an entry that a restored copy lacks stays in use for a while") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  registry.put("s/b", entry("b"), at(0));
  registry.onStoreRestored(at(10000));
  CHECK(registry.remove("s/a", at(10000)) == Change::Expired);
  CHECK(registry.remove("s/b", at(10000)) == Change::Expired);
  CHECK(registry.pool("p").size() == 2);
  registry.put("s/a", entry("a"), at(11000));
  CHECK(registry.dropExpired(at(11500)).empty());
  CHECK(registry.dropExpired(at(12400)) == std::vector<std::string>{"s/b"});
  CHECK(registry.pool("p").size() == 1);
}

TEST_CASE("an upstream that has stated in a response that it leaves gets no "
          "work, whatever its entry says") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  const UpstreamStatePtr upstream = registry.byId("a");
  CHECK(registry.markLeaving(upstream.get()));
  CHECK_FALSE(registry.markLeaving(upstream.get()));
  CHECK(registry.pool("p").empty());
  registry.put("s/a", entry("a"), at(10));
  CHECK(registry.pool("p").empty());
  CHECK_FALSE(upstream->mayBeSentWork(at(10)));
  registry.put("s/a", entry("a", false, 2), at(20));
  CHECK(registry.pool("p").size() == 1);
}

TEST_CASE("placement: an upstream that refuses this host gets nothing, one "
          "that refuses a peer only what no other can take") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  registry.put("s/b", entry("b"), at(0));
  const UpstreamStatePtr a = registry.byId("a");
  const UpstreamStatePtr b = registry.byId("b");
  std::mt19937_64 random(1);
  const auto place = [&](std::int64_t millis) {
    return placeOnUpstream(registry.pool("p"), {}, at(millis), &random);
  };
  a->refusesUntil = at(2000);
  b->refusesPeersUntil = at(3000);
  for (int i = 0; i < 20; ++i)
    CHECK(place(100) == b);
  for (int i = 0; i < 20; ++i)
    CHECK(place(2500) == a);
  b->refusesUntil = at(1000);
  CHECK(place(100) == nullptr);
  CHECK(registry.refusalTime("p", at(100)) == std::chrono::milliseconds(900));
  CHECK(registry.refusalTime("p", at(1500)) == Duration(0));
  // An ejected upstream is better than none, one that refuses is not.
  b->ejectedUntil = at(5000);
  CHECK(place(1500) == b);
}

TEST_CASE("an entry with another software version is another incarnation") {
  UpstreamRegistry registry;
  UpstreamEntry first = entry("a");
  first.softwareVersion = "v1";
  UpstreamEntry second = first;
  second.softwareVersion = "v2";
  registry.put("s/a", first, at(0));
  const UpstreamStatePtr before = registry.byId("a");
  CHECK(registry.put("s/a", second, at(10)) == Change::Joined);
  CHECK(before->isLeaving);
  CHECK(before->entry.softwareVersion == "v1");
  CHECK(registry.byId("a") != before);
  CHECK(registry.byId("a")->entry.softwareVersion == "v2");
}

TEST_CASE("whether and when upstreams of one software version take requests") {
  UpstreamRegistry registry;
  UpstreamEntry first = entry("a");
  first.softwareVersion = "v1";
  UpstreamEntry second = entry("b");
  second.softwareVersion = "v2";
  registry.put("s/a", first, at(0));
  registry.put("s/b", second, at(0));
  registry.byId("a")->refusesUntil = at(2000);
  CHECK(registry.refusalTime("p", at(0), "v1") == std::chrono::seconds(2));
  CHECK(registry.refusalTime("p", at(0), "v2") == Duration(0));
  CHECK(registry.refusalTime("p", at(0)) == Duration(0));
  CHECK(registry.lists("p", "v1"));
  CHECK_FALSE(registry.lists("p", "v3"));
  CHECK_FALSE(registry.lists("q", "v1"));
  registry.byId("a")->isLeaving = true;
  CHECK_FALSE(registry.lists("p", "v1"));
}

// Guards against requests to an upstream that has refused this host, after its
// entry was missing for a moment (BUDGET).
TEST_CASE("an incarnation that is listed again keeps what it has stated") {
  UpstreamRegistry registry;
  registry.put("s/a", entry("a"), at(0));
  const UpstreamStatePtr state = registry.byId("a");
  state->refusesUntil = at(1500);
  state->inFlight = 2;
  registry.remove("s/a", at(100), true);
  CHECK(registry.pool("p").empty());
  SECTION("the same incarnation") {
    CHECK(registry.put("s/a", entry("a"), at(800)) == Change::Joined);
    REQUIRE(registry.byId("a"));
    CHECK(registry.byId("a")->refusesUntil == at(1500));
    CHECK(registry.byId("a")->inFlight == 2);
    CHECK(registry.pool("p").size() == 1);
  }
  SECTION("another incarnation") {
    CHECK(registry.put("s/a", entry("a", false, 2), at(800)) == Change::Joined);
    CHECK(registry.byId("a")->refusesUntil == TimePoint());
    CHECK(registry.byId("a")->inFlight == 0);
  }
  SECTION("the same incarnation, which has stated that it leaves") {
    state->hasAnnouncedLeaving = true;
    CHECK(registry.put("s/a", entry("a"), at(800)) == Change::Left);
    CHECK(registry.pool("p").empty());
  }
}
