#include "auburnspring/decision/reach_monitor.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint() + seconds(1000);

/// Runs a round of probes of which so many connect.
void probe(ReachMonitor *monitor, std::size_t connected, TimePoint now,
           std::size_t listed = 20) {
  const std::size_t count = monitor->beginProbes(listed, now);
  for (std::size_t i = 0; i < count; ++i)
    monitor->onProbeEnd(i < connected, now);
}

} // namespace

TEST_CASE("a host is cut when connections and probes fail") {
  ReachMonitor monitor;
  monitor.onConnected(Start);
  monitor.onUnreachable("a", Start + milliseconds(100));
  CHECK(monitor.state() == ReachMonitor::State::Reaching);
  monitor.onUnreachable("b", Start + milliseconds(200));
  CHECK(monitor.state() == ReachMonitor::State::Suspected);
  probe(&monitor, 0, Start + milliseconds(500));
  CHECK(monitor.isCut());
  CHECK(monitor.cutSince() == Start + milliseconds(100));
}

// Guards against handing over what one crashed upstream or pool refuses.
TEST_CASE("upstreams that crash are no cut while another one is reached") {
  ReachMonitor monitor;
  for (int i = 0; i < 20; ++i)
    monitor.onUnreachable("crashed", Start + milliseconds(10 * i));
  CHECK(monitor.state() == ReachMonitor::State::Reaching);
  for (const char *upstream : {"a", "b", "c", "d"})
    monitor.onUnreachable(upstream, Start + milliseconds(300));
  CHECK(monitor.state() == ReachMonitor::State::Suspected);
  probe(&monitor, 1, Start + milliseconds(400));
  CHECK(monitor.state() == ReachMonitor::State::Reaching);
}

// Guards against taking what goes on over old connections for reach.
TEST_CASE("a connection from before the failures does not end a suspicion") {
  ReachMonitor monitor;
  monitor.onUnreachable("a", Start);
  monitor.onUnreachable("b", Start + milliseconds(10));
  monitor.onConnected(Start - milliseconds(500));
  CHECK(monitor.state() == ReachMonitor::State::Suspected);
  monitor.onConnected(Start + milliseconds(20));
  CHECK(monitor.state() == ReachMonitor::State::Reaching);
}

TEST_CASE("a host that has just started may be cut") {
  ReachMonitor monitor;
  CHECK_FALSE(monitor.connectionAge(Start));
  monitor.onUnreachable("a", Start);
  monitor.onUnreachable("b", Start);
  probe(&monitor, 0, Start, 1);
  CHECK(monitor.isCut());
}

TEST_CASE("a cut ends after two rounds of probes that all connect") {
  ReachMonitor monitor;
  monitor.onUnreachable("a", Start);
  monitor.onUnreachable("b", Start);
  probe(&monitor, 0, Start);
  REQUIRE(monitor.isCut());
  TimePoint now = Start;
  const auto round = [&](std::size_t connected) {
    now += ReachMonitor::ProbeInterval;
    probe(&monitor, connected, now);
  };
  round(1);
  round(2);
  round(0);
  CHECK(monitor.isCut());
  round(2);
  monitor.onConnected(now);
  CHECK(monitor.isCut());
  round(2);
  CHECK_FALSE(monitor.isCut());
}

TEST_CASE("probes are few and come in rounds") {
  ReachMonitor monitor;
  CHECK(monitor.beginProbes(300, Start) == 0);
  monitor.onUnreachable("a", Start);
  monitor.onUnreachable("b", Start);
  CHECK(monitor.beginProbes(300, Start) == ReachMonitor::ConfirmProbes);
  // The round has not ended.
  CHECK(monitor.beginProbes(300, Start + seconds(1)) == 0);
}

TEST_CASE("a host is cut just while it reaches nothing", "[property]") {
  CHECK(rc::check([] {
    ReachMonitor monitor;
    TimePoint now = Start;
    bool isReachable = true;
    TimePoint changedAt = now;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(*rc::gen::inRange(5, 60));
      if (*rc::gen::inRange(0, 120) == 0) {
        isReachable = !isReachable;
        changedAt = now;
      }
      // A lossy link and crashed upstreams fail one attempt in ten.
      const bool isConnected = isReachable && *rc::gen::inRange(0, 10) > 0;
      const std::string upstream =
          "u" + std::to_string(*rc::gen::inRange(0, 20));
      isConnected ? monitor.onConnected(now)
                  : monitor.onUnreachable(upstream, now);
      const std::size_t probes = monitor.beginProbes(20, now);
      for (std::size_t probe = 0; probe < probes; ++probe)
        monitor.onProbeEnd(isReachable, now);
      if (now > changedAt + seconds(1))
        RC_ASSERT(monitor.isCut() == !isReachable);
    }
  }));
}
