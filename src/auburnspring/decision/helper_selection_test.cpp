#include "auburnspring/decision/helper_selection.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Hosts of which some are cut, as one of these sees them.
struct Fleet {
  std::vector<std::string> names;
  std::vector<HelperCandidate> candidates;
  std::mt19937_64 random{11};

  Fleet(std::size_t helpers, std::size_t cut) {
    for (std::size_t i = 0; i < helpers + cut; ++i)
      names.push_back(fmt::format("host-{:03}", i));
    for (std::size_t i = 0; i < names.size(); ++i) {
      HostReach reach;
      reach.isCut = i >= helpers;
      if (!reach.isCut)
        reach.connectionAge = milliseconds(100);
      reach.dataCentre = i % 2 == 0 ? "a" : "b";
      candidates.push_back({names[i], reach, milliseconds(200), 0});
    }
  }

  std::string_view choose() { return chooseHelper(candidates, "a", &random); }
};

} // namespace

TEST_CASE("only peers that reached an upstream lately help") {
  Fleet fleet(3, 6);
  fleet.candidates[0].age = seconds(4);
  fleet.candidates[1].reach.connectionAge.reset();
  for (int i = 0; i < 50; ++i)
    CHECK(fleet.choose() == "host-002");
  fleet.candidates[2].reach.isCut = true;
  CHECK(fleet.choose().empty());
  CHECK(chooseHelper({}, "a", &fleet.random).empty());
}

// Load of five cut hosts of nine, and of half of 300, on those with reach.
TEST_CASE("the requests of cut hosts are spread over those with reach") {
  const std::size_t sizes[][2] = {{4, 5}, {150, 150}, {1, 8}};
  for (const auto &[helpers, cut] : sizes) {
    Fleet fleet(helpers, cut);
    constexpr std::int64_t PerHelper = 40;
    for (std::int64_t i = 0; i < PerHelper * static_cast<std::int64_t>(helpers);
         ++i) {
      const std::string_view chosen = fleet.choose();
      const auto found = std::find_if(
          fleet.candidates.begin(), fleet.candidates.end(),
          [&](const auto &candidate) { return candidate.host == chosen; });
      REQUIRE(found != fleet.candidates.end());
      REQUIRE_FALSE(found->reach.isCut);
      ++found->handedOver;
    }
    for (const HelperCandidate &candidate : fleet.candidates)
      CHECK(candidate.handedOver <= 2 * PerHelper);
  }
}

TEST_CASE("a loaded host, and one of another data centre, helps less") {
  Fleet fleet(2, 0);
  std::map<std::string_view, int> chosen;
  for (int i = 0; i < 1000; ++i)
    ++chosen[fleet.choose()];
  CHECK(chosen["host-000"] > chosen["host-001"]);
  fleet.candidates[0].reach.activeRequests = 50;
  chosen.clear();
  for (int i = 0; i < 1000; ++i)
    ++chosen[fleet.choose()];
  CHECK(chosen["host-001"] > chosen["host-000"]);
}

TEST_CASE("a host's own callers keep half of it", "[property]") {
  CHECK(rc::check([] {
    std::int64_t own = *rc::gen::inRange(0, 500);
    std::int64_t handedOver = 0;
    while (mayHelp(own, handedOver))
      ++handedOver;
    RC_ASSERT(handedOver <= std::max<std::int64_t>(own, 32));
  }));
}
