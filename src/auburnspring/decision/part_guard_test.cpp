#include "auburnspring/decision/part_guard.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<std::string>;

/// Guards of a whole fleet on a virtual clock. Messages take some milliseconds
/// and may get lost; heartbeats go to the next hosts in a ring.
struct Fleet {
  static constexpr std::size_t HeartbeatFanout = 12;
  static constexpr Duration HeartbeatInterval = milliseconds(200);

  struct Delivery {
    TimePoint at;
    std::size_t from;
    std::size_t to;
    PeerMessage message;
  };

  std::vector<std::unique_ptr<PartGuard>> guards;
  std::vector<std::string> names;
  std::vector<std::size_t> received;
  std::vector<Delivery> inFlight;
  std::vector<PartGuard::Decision> decisions;
  std::mt19937_64 random{7};
  double lossShare = 0;
  TimePoint now = TimePoint() + seconds(10000);
  TimePoint nextHeartbeat = now;
  int nextUpstream = 0;

  explicit Fleet(std::size_t hosts) : received(hosts) {
    std::vector<BatchingCandidate> candidates;
    for (std::size_t i = 0; i < hosts; ++i)
      names.push_back(fmt::format("host-{:03}", i));
    for (const std::string &name : names)
      candidates.push_back({name, 1});
    for (const std::string &name : names) {
      guards.push_back(std::make_unique<PartGuard>(name));
      guards.back()->setHosts(candidates);
    }
  }

  std::size_t indexOf(const std::string &name) const {
    return static_cast<std::size_t>(
        std::find(names.begin(), names.end(), name) - names.begin());
  }

  void post(std::size_t from, std::size_t to, const PeerMessage &message) {
    if (from == to || std::bernoulli_distribution(lossShare)(random))
      return;
    const milliseconds delay(std::uniform_int_distribution<int>(1, 5)(random));
    inFlight.push_back({now + delay, from, to, message});
  }

  void collect(std::size_t from) {
    PartGuard &guard = *guards[from];
    for (const PartGuard::Message &message : guard.takeMessages()) {
      if (!message.host.empty()) {
        post(from, indexOf(message.host), message.message);
        continue;
      }
      for (std::size_t to = 0; to < guards.size(); ++to)
        post(from, to, message.message);
    }
    for (PartGuard::Decision &decision : guard.takeDecisions())
      decisions.push_back(std::move(decision));
  }

  void deliver(const Delivery &delivery) {
    PartGuard &guard = *guards[delivery.to];
    const std::string &from = names[delivery.from];
    ++received[delivery.to];
    if (const auto *report = std::get_if<PartCrashReport>(&delivery.message))
      guard.onReport(from, *report, now);
    else if (const auto *update =
                 std::get_if<PartQuarantineUpdate>(&delivery.message))
      guard.onUpdate(from, *update, now);
    else if (const auto *request =
                 std::get_if<PartTrialRequest>(&delivery.message))
      guard.onTrialRequest(from, *request, now);
    else if (const auto *reply = std::get_if<PartTrialReply>(&delivery.message))
      guard.onTrialReply(*reply);
    else if (const auto *heartbeat =
                 std::get_if<HostHeartbeat>(&delivery.message))
      guard.onHeartbeat(from, heartbeat->quarantines, now);
    collect(delivery.to);
  }

  void sendHeartbeats() {
    for (std::size_t from = 0; from < guards.size(); ++from) {
      HostHeartbeat heartbeat;
      heartbeat.quarantines = guards[from]->statesForHeartbeat(now);
      if (heartbeat.quarantines.empty())
        continue;
      for (std::size_t i = 1; i <= std::min(HeartbeatFanout, guards.size() - 1);
           ++i)
        post(from, (from + i) % guards.size(), heartbeat);
    }
  }

  void runFor(Duration span) {
    const TimePoint end = now + span;
    while (now < end) {
      now += milliseconds(1);
      if (now >= nextHeartbeat) {
        nextHeartbeat = now + HeartbeatInterval;
        sendHeartbeats();
      }
      std::vector<Delivery> due;
      const auto later = std::partition(
          inFlight.begin(), inFlight.end(),
          [&](const Delivery &delivery) { return delivery.at > now; });
      std::move(later, inFlight.end(), std::back_inserter(due));
      inFlight.erase(later, inFlight.end());
      for (const Delivery &delivery : due)
        deliver(delivery);
      for (std::size_t i = 0; i < guards.size(); ++i) {
        guards[i]->tick(now);
        collect(i);
      }
    }
  }

  /// An upstream crashes under the requests, each at one host.
  void crash(const std::vector<std::pair<std::size_t, Parts>> &requests) {
    const std::string upstream = fmt::format("u{}", nextUpstream++);
    for (const auto &[host, parts] : requests)
      guards[host]->onBroken(parts, upstream, 1, now);
  }

  std::size_t holdingBack(const Parts &parts) {
    return static_cast<std::size_t>(
        std::count_if(guards.begin(), guards.end(), [&](const auto &guard) {
          return guard->check(parts, now).verdict != PartVerdict::Free;
        }));
  }
};

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
  rc::check([] {
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
  });
}
