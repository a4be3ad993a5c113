#include "auburnspring/decision/batching_host.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace auburnspring;

namespace {

/// Names of hosts and their processor shares, as candidates.
struct Fleet {
  std::map<std::string, double> hosts;

  std::string choose(const std::string &pool) const {
    std::vector<BatchingCandidate> candidates;
    for (const auto &[name, share] : hosts)
      candidates.push_back({name, share});
    return std::string(chooseBatchingHost(pool, candidates));
  }
};

Fleet mixedFleet(int large, int small) {
  Fleet fleet;
  for (int i = 0; i < large; ++i)
    fleet.hosts["large-" + std::to_string(i)] = 0.5;
  for (int i = 0; i < small; ++i)
    fleet.hosts["small-" + std::to_string(i)] = 0.12;
  return fleet;
}

} // namespace

TEST_CASE("pattern: a few large hosts among hundreds of small ones carry the "
          "pools") {
  const Fleet fleet = mixedFleet(18, 277);
  std::map<std::string, int> pools;
  for (int i = 0; i < 1000; ++i)
    ++pools[fleet.choose("pool-" + std::to_string(i))];
  CHECK(pools.size() == 18);
  for (const auto &[host, count] : pools) {
    CHECK(host.substr(0, 5) == "large");
    CHECK(count < 120);
  }
}

TEST_CASE("without large hosts the small ones carry the pools") {
  const Fleet fleet = mixedFleet(0, 30);
  CHECK(fleet.choose("p").substr(0, 5) == "small");
  CHECK(Fleet().choose("p").empty());
}

TEST_CASE("the loss of a host moves only its own pools") {
  CHECK(
      rc::check([](std::uint8_t large, std::uint8_t small, std::uint8_t lost) {
        Fleet fleet = mixedFleet(large % 8 + 2, small % 40);
        std::map<std::string, std::string> before;
        for (int i = 0; i < 40; ++i) {
          const std::string pool = "pool-" + std::to_string(i);
          before[pool] = fleet.choose(pool);
        }
        auto gone = fleet.hosts.begin();
        std::advance(gone, lost % fleet.hosts.size());
        const std::string name = gone->first;
        fleet.hosts.erase(gone);
        for (const auto &[pool, host] : before)
          RC_ASSERT(host == name || fleet.choose(pool) == host);
      }));
}
