#include "auburnspring/decision/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburnspring;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

UpstreamStatePtr upstream(const std::string &id, const std::string &version) {
  auto state = std::make_shared<UpstreamState>();
  state->entry.id = id;
  state->entry.softwareVersion = version;
  return state;
}

const EngineLimits Limits{16, 500000};

} // namespace

TEST_CASE("only upstreams of the required software version are chosen, "
          "whatever their health and load") {
  CHECK(rc::check([] {
    const auto health =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
    std::mt19937_64 random(*rc::gen::arbitrary<std::mt19937_64::result_type>());
    std::vector<UpstreamStatePtr> list;
    bool hasUsable = false;
    for (const int bits : health) {
      const bool isFirstVersion = (bits & 1) != 0;
      list.push_back(upstream("u" + std::to_string(list.size()),
                              isFirstVersion ? "v1" : "v2"));
      if ((bits & 2) != 0)
        list.back()->ejectedUntil = at(500);
      if ((bits & 4) != 0)
        list.back()->refusesPeersUntil = at(500);
      if ((bits & 8) != 0)
        list.back()->refusesUntil = at(500);
      else
        hasUsable = hasUsable || isFirstVersion;
      list.back()->inFlight = bits;
    }
    PlacementRequest request;
    request.softwareVersion = "v1";
    const UpstreamStatePtr plain =
        placeOnUpstream(list, request, at(0), &random);
    const UpstreamStatePtr engine =
        placeOnEngine(list, Limits, request, at(0), &random);
    for (const UpstreamStatePtr &chosen : {plain, engine}) {
      RC_ASSERT((chosen != nullptr) == hasUsable);
      if (chosen != nullptr)
        RC_ASSERT(chosen->entry.softwareVersion == "v1");
    }
  }));
}

TEST_CASE("without a required software version all are chosen from") {
  const std::vector<UpstreamStatePtr> list = {upstream("a", "v1"),
                                              upstream("b", "v2")};
  std::mt19937_64 random(5);
  std::size_t first = 0;
  for (int i = 0; i < 100; ++i)
    first += placeOnEngine(list, Limits, {}, at(0), &random) == list[0];
  CHECK(first > 0);
  CHECK(first < 100);
}
