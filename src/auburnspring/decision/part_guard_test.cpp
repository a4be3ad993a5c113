#include "part_guard_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fmt/format.h>

#include <algorithm>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<std::string>;

using Fleet = PartGuardFleet;

} // namespace

// Guards against BUDGET: each host sees too little of what others see.
TEST_CASE("all hosts hold a part back soon after its third crash anywhere") {
  for (const std::size_t hosts : {2U, 8U, 13U, 14U, 60U, 300U}) {
    INFO(hosts << " hosts");
    Fleet fleet(hosts);
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.crash({{i * 7 % hosts, {"f0", "x", fmt::format("g{}", i)}},
                   {(i * 7 + 1) % hosts, {"f0", "s"}}});
      fleet.guards[(i * 5 + 2) % hosts]->onSound(Parts{"f0", "s"}, fleet.now);
      fleet.runFor(milliseconds(300));
    }
    CHECK(fleet.holdingBack({"f1", "x"}) == hosts);
    CHECK(fleet.holdingBack({"f0", "s"}) == 0);
  }
}

// Guards against LOST: a wrong suspicion must end by evidence.
TEST_CASE("hosts that saw a sound request object at once") {
  Fleet fleet(60);
  // Only host 59 has served it; holders cannot know.
  for (int i = 0; i < 3; ++i) {
    fleet.guards[59]->onSound(Parts{"rare"}, fleet.now);
    fleet.crash({{static_cast<std::size_t>(i), {"rare"}}});
    fleet.runFor(milliseconds(400));
  }
  fleet.runFor(milliseconds(100));
  CHECK(fleet.holdingBack({"rare"}) == 0);
}

TEST_CASE("a trial that runs soundly ends a wrong suspicion everywhere") {
  for (const std::size_t hosts : {3U, 60U}) {
    Fleet fleet(hosts);
    for (int i = 0; i < 3; ++i) {
      fleet.crash({{static_cast<std::size_t>(i), {"rare"}}});
      fleet.runFor(milliseconds(400));
    }
    REQUIRE(fleet.holdingBack({"rare"}) == hosts);
    fleet.runFor(PartQuarantines::TrialDelays[0]);
    // All hosts ask at the same time: one gets the trial.
    int granted = 0;
    int denied = 0;
    for (std::size_t i = 0; i < hosts; ++i)
      fleet.guards[i]->requestTrial("rare", fleet.now, [&](bool isGranted) {
        isGranted ? ++granted : ++denied;
      });
    for (std::size_t i = 0; i < hosts; ++i)
      fleet.collect(i);
    fleet.runFor(milliseconds(300));
    CHECK(granted == 1);
    CHECK(denied == static_cast<int>(hosts) - 1);
    fleet.guards[1]->onSound(Parts{"rare"}, fleet.now);
    fleet.collect(1);
    fleet.runFor(milliseconds(100));
    CHECK(fleet.holdingBack({"rare"}) == 0);
  }
}

TEST_CASE("a host that joins learns what is quarantined") {
  Fleet fleet(60);
  for (int i = 0; i < 3; ++i) {
    fleet.crash({{static_cast<std::size_t>(i), {"x"}}});
    fleet.runFor(milliseconds(400));
  }
  fleet.guards[30] = std::make_unique<PartGuard>(fleet.names[30]);
  CHECK(fleet.holdingBack({"x"}) == 59);
  fleet.runFor(milliseconds(300));
  CHECK(fleet.holdingBack({"x"}) == 60);
}

TEST_CASE("a trial without a reply is denied") {
  PartGuard guard("a");
  guard.setHosts({{"a", 1}, {"b", 1}, {"c", 1}});
  const TimePoint now = TimePoint() + seconds(100);
  int denied = 0;
  for (int i = 0; i < 20; ++i)
    guard.requestTrial(fmt::format("p{}", i), now,
                       [&](bool granted) { denied += granted ? 0 : 1; });
  guard.tick(now + PartGuard::TrialReplyTimeout);
  CHECK(denied == 20);
}

// 300 hosts, 45 of 300 upstreams crash at once under sound requests, and one
// part crashes upstreams beside them.
TEST_CASE("load of a mass crash on 300 hosts") {
  constexpr std::size_t Hosts = 300;
  Fleet fleet(Hosts);
  std::uniform_int_distribution<std::size_t> anyHost(0, Hosts - 1);
  std::uniform_int_distribution<int> anyPart(0, 199);
  const auto soundParts = [&] {
    return Parts{fmt::format("f{}", anyPart(fleet.random) % 3),
                 fmt::format("s{}", anyPart(fleet.random))};
  };
  // Each second, 2000 requests run soundly somewhere.
  const auto serve = [&](int count) {
    for (int i = 0; i < count; ++i)
      fleet.guards[anyHost(fleet.random)]->onSound(soundParts(), fleet.now);
  };
  for (int i = 0; i < 20; ++i) {
    serve(200);
    fleet.runFor(milliseconds(100));
  }
  std::fill(fleet.received.begin(), fleet.received.end(), 0);
  for (int moment = 0; moment < 4; ++moment) {
    for (int upstream = 0; upstream < 45; ++upstream) {
      std::vector<std::pair<std::size_t, Parts>> requests;
      for (int slot = 0; slot < 12; ++slot)
        requests.emplace_back(anyHost(fleet.random), soundParts());
      fleet.crash(requests);
    }
    fleet.crash({{anyHost(fleet.random), {"f0", "x"}}});
    fleet.runFor(milliseconds(100));
    serve(100);
    fleet.runFor(milliseconds(400));
    serve(900);
  }
  fleet.runFor(milliseconds(100));
  CHECK(fleet.holdingBack({"f1", "x"}) == Hosts);
  std::size_t heldBack = 0;
  for (int part = 0; part < 200; ++part)
    heldBack += fleet.holdingBack({"f0", fmt::format("s{}", part)}) > 0;
  CHECK(heldBack == 0);
  // Four moments with 45 crashes each; a message or two of each host and crash.
  const std::size_t most =
      *std::max_element(fleet.received.begin(), fleet.received.end());
  INFO("most messages received by a host: " << most);
  CHECK(most <= 4 * 45 * 12 * 2);
}

TEST_CASE("guards agree after any order of crashes, sound requests and losses",
          "[property]") {
  CHECK(rc::check([] {
    const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(2, 30));
    Fleet fleet(hosts);
    fleet.random.seed(*rc::gen::arbitrary<std::uint64_t>());
    fleet.lossShare = *rc::gen::element(0.0, 0.1, 0.4);
    const Parts names = {"a", "b", "c"};
    for (int i = 0; i < 25; ++i) {
      const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
      const Parts parts = {*rc::gen::elementOf(names),
                           *rc::gen::elementOf(names)};
      if (*rc::gen::inRange(0, 5) == 0) {
        fleet.guards[host]->onSound(parts, fleet.now);
        fleet.collect(host);
      } else {
        fleet.crash({{host, parts}});
      }
      fleet.runFor(milliseconds(*rc::gen::inRange(1, 400)));
    }
    fleet.lossShare = 0;
    fleet.runFor(seconds(2));
    for (const std::string &name : names) {
      const std::size_t held = fleet.holdingBack({name});
      RC_ASSERT(held == 0 || held == hosts);
    }
  }));
}
