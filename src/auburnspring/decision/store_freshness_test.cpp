#include "auburnspring/decision/store_freshness.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace auburnspring;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

} // namespace

TEST_CASE("freshness: the store is asked once its last answer is too old") {
  StoreFreshness freshness;
  freshness.onConfirmed(at(0));
  CHECK_FALSE(freshness.mustAsk(0, at(1000)));
  CHECK(freshness.mustAsk(0, at(1100)));
  // The answer is missing: the question is repeated, but not at once.
  CHECK_FALSE(freshness.mustAsk(0, at(1200)));
  CHECK(freshness.mustAsk(0, at(1450)));
  freshness.onConfirmed(at(1460));
  CHECK_FALSE(freshness.mustAsk(0, at(2500)));
}

TEST_CASE("freshness: a peer's confirmation counts only for the same version") {
  StoreFreshness freshness;
  freshness.onConfirmed(at(0));
  freshness.onPeerVersion({1, 7}, std::chrono::milliseconds(100), {1, 7},
                          at(900));
  CHECK(freshness.age(at(900)) == std::chrono::milliseconds(100));
  freshness.onPeerVersion({1, 8}, Duration(0), {1, 7}, at(950));
  freshness.onPeerVersion({2, 7}, Duration(0), {1, 7}, at(950));
  freshness.onPeerVersion({1, 7}, std::chrono::milliseconds(400), {1, 7},
                          at(950));
  CHECK(freshness.age(at(900)) == std::chrono::milliseconds(100));
}

TEST_CASE("freshness: of hosts that share confirmations only one asks, and "
          "another takes over") {
  constexpr std::size_t Hosts = 9;
  const StoreVersion version{0, 5};
  std::vector<StoreFreshness> fleet(Hosts);
  std::vector<int> asked(Hosts, 0);
  std::size_t stopped = Hosts;
  TimePoint lastAsked = at(0);
  Duration longestGap(0);
  for (std::int64_t millis = 0; millis < 40000; millis += 100) {
    if (millis == 20000)
      stopped = 0;
    for (std::size_t rank = 0; rank < Hosts; ++rank)
      if (rank != stopped && fleet[rank].mustAsk(rank, at(millis))) {
        ++asked[rank];
        fleet[rank].onConfirmed(at(millis));
        longestGap = std::max(longestGap, at(millis) - lastAsked);
        lastAsked = at(millis);
      }
    if (millis % 200 != 0)
      continue;
    for (std::size_t from = 0; from < Hosts; ++from)
      for (std::size_t to = 0; to < Hosts; ++to)
        if (from != stopped && to != from)
          fleet[to].onPeerVersion(version, fleet[from].age(at(millis)), version,
                                  at(millis));
  }
  CHECK(asked[0] >= 16);
  CHECK(asked[1] >= 12);
  for (std::size_t rank = 2; rank < Hosts; ++rank)
    CHECK(asked[rank] <= 1);
  CHECK(longestGap <= std::chrono::milliseconds(1600));
}
