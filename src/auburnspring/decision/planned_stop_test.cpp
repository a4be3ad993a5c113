#include "auburnspring/decision/planned_stop.h"

#include "auburnspring/decision/route_durations.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start(seconds(100));
constexpr PlannedStop Stop{Start, Start + seconds(7)};

} // namespace

// Each guards against requests that are begun during a planned stop and cut off
// at its end, or refused though they have time (LOST).

TEST_CASE("a request whose deadline is before the end of the stop is begun") {
  for (const Duration at : {seconds(0), seconds(3), seconds(6)}) {
    const TimePoint now = Start + at;
    CHECK(Stop.hasTimeFor(Stop.endsAt, std::nullopt, now));
    CHECK(Stop.hasTimeFor(now + milliseconds(600), seconds(9), now));
    CHECK_FALSE(
        Stop.hasTimeFor(Stop.endsAt + milliseconds(1), std::nullopt, now));
  }
}

TEST_CASE("a long deadline counts less than what the route usually takes") {
  const TimePoint deadline = Start + seconds(60);
  CHECK(Stop.hasTimeFor(deadline, seconds(6), Start + milliseconds(900)));
  CHECK_FALSE(
      Stop.hasTimeFor(deadline, seconds(6), Start + milliseconds(1200)));
  CHECK(Stop.hasTimeFor(deadline, milliseconds(20), Start + seconds(2)));
  // It might still take longer than usual.
  CHECK_FALSE(Stop.hasTimeFor(deadline, milliseconds(20), Start + seconds(3)));
}

TEST_CASE("the bound of a route is what nearly all its requests keep") {
  RouteDurations durations;
  CHECK_FALSE(durations.bound("book"));
  durations.observe("book", seconds(2));
  durations.observe("book", seconds(6));
  CHECK(durations.bound("book") == Duration(seconds(6)));
  CHECK_FALSE(durations.bound("look"));
  for (int i = 0; i < 1000; ++i)
    durations.observe("look", milliseconds(i % 10 == 0 ? 900 : 50));
  CHECK(*durations.bound("look") >= milliseconds(900));
  CHECK(*durations.bound("look") < milliseconds(1100));
  durations.observe("look", seconds(30));
  CHECK(*durations.bound("look") < milliseconds(1100));
}
