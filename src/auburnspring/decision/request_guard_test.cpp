#include "auburnspring/decision/request_name.h"
#include "part_guard_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fleet = PartGuardFleet;
using Parts = PartGuardFleet::Parts;

std::string numberedRequest(int number) {
  return requestName(fmt::format("/look/{}", number), "bozi", "");
}

/// One request that comes again at any host, and is run where it may be.
struct RepeatedRequest {
  Fleet *fleet;
  Parts names = {numberedRequest(1)};
  int runs = 0;

  /// Runs if the host lets it, or if it gets the trial that is due.
  bool isLetThrough(std::size_t host) {
    const auto verdict = fleet->guards[host]->check(names, fleet->now).verdict;
    bool mayRun = verdict == PartVerdict::Free;
    if (verdict != PartVerdict::TrialDue)
      return mayRun;
    fleet->guards[host]->requestTrial(names[0], fleet->now,
                                      [&](bool granted) { mayRun = granted; });
    fleet->collect(host);
    fleet->runFor(PartGuard::TrialReplyTimeout + milliseconds(5));
    return mayRun;
  }

  /// Returns whether it was run; it crashes its upstream, or is sound.
  bool send(std::size_t host, bool crashes) {
    if (!isLetThrough(host))
      return false;
    ++runs;
    fleet->runTime = milliseconds(40);
    fleet->runFor(milliseconds(40));
    if (crashes)
      return fleet->crash({{host, names}}), true;
    fleet->guards[host]->onSound(names, fleet->now);
    fleet->collect(host);
    return true;
  }
};

} // namespace

// Guards against BUDGET: later than SettleWindowMs after the third crash, three
// more may reach upstreams, from all hosts together.
TEST_CASE("a request that crashes upstreams is held back by all hosts") {
  for (const std::size_t hosts : {1U, 2U, 8U, 14U, 60U, 300U}) {
    INFO(hosts << " hosts");
    Fleet fleet(hosts);
    RepeatedRequest request{&fleet};
    std::size_t host = 0;
    while (request.runs < 3) {
      request.send(host++ % hosts, true);
      fleet.runFor(milliseconds(20));
    }
    fleet.runFor(seconds(3));
    const int known = request.runs;
    const int repeats = hosts > 100 ? 12 : 60;
    for (int i = 0; i < repeats; ++i) {
      request.send(host++ % hosts, true);
      fleet.runFor(seconds(1));
    }
    CHECK(request.runs <= known + 3);
  }
}

// Guards against a trial that two hosts grant, or one that a restart forgets.
TEST_CASE("the trials of a request are few, whichever hosts restart") {
  CHECK(rc::check([] {
    const auto hosts = *rc::gen::inRange<std::size_t>(2, 20);
    Fleet fleet(hosts);
    fleet.random.seed(*rc::gen::arbitrary<std::uint64_t>());
    RepeatedRequest request{&fleet};
    for (std::size_t i = 0; i < 3; ++i) {
      request.send(i % hosts, true);
      fleet.runFor(milliseconds(50));
    }
    fleet.runFor(milliseconds(500));
    const int known = request.runs;
    for (int i = 0; i < 25; ++i) {
      const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
      if (*rc::gen::inRange(0, 4) == 0) {
        // It learns what the others know before it takes work.
        const std::vector<BatchingCandidate> all = fleet.candidates();
        fleet.guards[host] = std::make_unique<PartGuard>(fleet.names[host]);
        fleet.guards[host]->setHosts(all);
        fleet.runFor(milliseconds(400));
      }
      request.send(host, true);
      fleet.runFor(milliseconds(*rc::gen::inRange(50, 2000)));
    }
    RC_ASSERT(request.runs <= known + 3);
  }));
}

// Guards against refusing a sound request: upstreams crash for other reasons,
// and a run that ends soundly anywhere ends the suspicion.
TEST_CASE("a request that completes is held back for one trial at most",
          "[property]") {
  CHECK(rc::check([] {
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 16);
    Fleet fleet(hosts);
    fleet.random.seed(*rc::gen::arbitrary<std::uint64_t>());
    RepeatedRequest request{&fleet};
    TimePoint heldBackSince = fleet.now;
    for (int i = 0; i < 40; ++i) {
      const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
      const bool crashes = *rc::gen::inRange(0, 3) > 0;
      const bool hasRun = request.send(host, crashes);
      // From a run that does not crash on, no host holds it back.
      if (hasRun && !crashes) {
        fleet.runFor(milliseconds(50));
        RC_ASSERT(fleet.holdingBack(request.names) == 0U);
      }
      if (hasRun)
        heldBackSince = fleet.now;
      fleet.runFor(milliseconds(*rc::gen::inRange(20, 600)));
      // After its first trial has crashed as well it is no longer presumed
      // sound.
      if (request.runs > 0 && fleet.trials() == 0)
        RC_ASSERT(fleet.now - heldBackSince <
                  PartQuarantines::RequestTrialDelays[0] + seconds(2));
    }
  }));
}

// 300 hosts run 6200 requests a second, no two alike. 45 upstreams crash at
// once under twelve of them each, while one request crashes others.
TEST_CASE("load of whole requests on 300 hosts") {
  constexpr std::size_t Hosts = 300;
  constexpr int RequestsPerTick = 620;
  Fleet fleet(Hosts);
  fleet.runTime = milliseconds(40);
  std::uniform_int_distribution<std::size_t> anyHost(0, Hosts - 1);
  int next = 1000;
  const auto serve = [&] {
    for (int i = 0; i < RequestsPerTick; ++i)
      fleet.guards[anyHost(fleet.random)]->onSound(
          Parts{numberedRequest(next++)}, fleet.now);
    fleet.runFor(milliseconds(100));
  };
  const Parts crashing = {numberedRequest(1)};
  std::vector<Parts> broken;
  for (int moment = 0; moment < 3; ++moment) {
    for (int upstream = 0; upstream < 45; ++upstream) {
      std::vector<std::pair<std::size_t, Parts>> requests;
      for (int slot = 0; slot < 12; ++slot) {
        broken.push_back({numberedRequest(next++)});
        requests.emplace_back(anyHost(fleet.random), broken.back());
      }
      fleet.crash(requests);
    }
    fleet.crash({{anyHost(fleet.random), crashing}});
    serve();
    // Those that were broken off complete elsewhere.
    for (const Parts &parts : broken)
      fleet.guards[anyHost(fleet.random)]->onSound(parts, fleet.now);
    serve();
  }
  CHECK(fleet.holdingBack(crashing) == Hosts);
  std::size_t heldBack = 0;
  for (std::size_t i = 0; i < broken.size(); i += 40)
    heldBack += fleet.holdingBack(broken[i]) > 0;
  CHECK(heldBack == 0);
  // Crashes are reported once by each host to each holder; runs that are sound
  // are not reported at all.
  const std::size_t most =
      *std::max_element(fleet.received.begin(), fleet.received.end());
  INFO("most messages received by a host: " << most);
  CHECK(most <= 3 * 45 * 12);
}
