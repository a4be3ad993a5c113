#include "auburnspring/decision/stall_policy.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

ServedRoute route(std::int64_t targetMillis, std::int64_t gapMillis) {
  ServedRoute route;
  route.targetLatency = std::chrono::milliseconds(targetMillis);
  route.eventGap = std::chrono::milliseconds(gapMillis);
  return route;
}

} // namespace

// Guards against streams that are moved because a sound upstream is silent for
// a second or so, and against ones that are moved after the caller has left.
TEST_CASE("the stall timeout is longer than a short silence and shorter than "
          "the caller's patience") {
  for (const std::int64_t target : {100, 400, 900, 1900, 2300})
    for (const std::int64_t gap : {0, 100, 250, 300, 400, 900})
      for (const bool hasStarted : {false, true}) {
        const ServedRoute served = route(target, gap);
        CHECK(stallTimeout(served, hasStarted) >
              std::chrono::milliseconds(1400));
        CHECK(stallTimeout(served, hasStarted) < callerPatience(served));
      }
}

TEST_CASE("callers wait for four latency targets, eight gaps or two seconds") {
  CHECK(callerPatience(route(100, 100)) == std::chrono::seconds(2));
  CHECK(callerPatience(route(900, 100)) == std::chrono::milliseconds(3600));
  CHECK(callerPatience(route(100, 300)) == std::chrono::milliseconds(2400));
}
