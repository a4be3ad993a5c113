#include "auburnspring/decision/upstream_directory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>

using namespace auburnspring;

namespace {

HostList listOf(std::size_t count, std::uint64_t version) {
  HostList list;
  list.version = version;
  for (std::size_t i = 0; i < count; ++i) {
    ListedUpstream upstream;
    upstream.name = fmt::format("engine-{}", i);
    upstream.pool = "engines";
    upstream.incarnation = "1";
    upstream.slots = 8;
    list.upstreams.push_back(upstream);
  }
  return list;
}

std::vector<std::string> hostNames(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back(fmt::format("entry-{}", i));
  return names;
}

Step stepAt(Duration since) {
  Step step;
  step.now.steady = TimePoint(std::chrono::hours(1)) + since;
  return step;
}

} // namespace

TEST_CASE("a host uses all upstreams of a small pool") {
  UpstreamDirectory directory({});
  Step step = stepAt(Duration(0));
  REQUIRE(directory.onHostList(listOf(20, 1), &step));
  const auto pools = directory.buildPools(hostNames(9), "entry-3");
  CHECK(pools.at("engines")->upstreams.size() == 20);
}

TEST_CASE("380 hosts spread their load evenly over 600 upstreams") {
  UpstreamDirectory directory({});
  Step step = stepAt(Duration(0));
  REQUIRE(directory.onHostList(listOf(600, 1), &step));
  const std::vector<std::string> hosts = hostNames(380);
  std::map<std::string, double> load;
  std::size_t smallest = 600;
  for (const std::string &host : hosts) {
    const auto pools = directory.buildPools(hosts, host);
    const auto &upstreams = pools.at("engines")->upstreams;
    smallest = std::min(smallest, upstreams.size());
    for (const TrackedUpstreamPtr &upstream : upstreams)
      load[upstream->listed.name] +=
          1.0 / static_cast<double>(upstreams.size());
  }
  CHECK(load.size() == 600);
  // No host has too few, and no upstream gets more than 1.5 times the mean load
  // when every host spreads evenly over its subset.
  CHECK(smallest >= 8);
  for (const auto &[name, share] : load)
    CHECK(share < 1.5 * 380 / 600);
}

TEST_CASE("a list that drops most upstreams is accepted only after a delay") {
  UpstreamDirectory directory({});
  Step first = stepAt(Duration(0));
  REQUIRE(directory.onHostList(listOf(20, 1), &first));
  Step empty = stepAt(std::chrono::seconds(1));
  CHECK_FALSE(directory.onHostList(listOf(0, 2), &empty));
  Step halved = stepAt(std::chrono::seconds(2));
  CHECK_FALSE(directory.onHostList(listOf(5, 3), &halved));
  Step later = stepAt(std::chrono::seconds(40));
  CHECK(directory.onHostList(listOf(5, 3), &later));
  Step old = stepAt(std::chrono::seconds(41));
  CHECK_FALSE(directory.onHostList(listOf(20, 2), &old));
}

TEST_CASE("after an accepted mass removal the next one has to wait again") {
  UpstreamDirectory directory({});
  Step first = stepAt(Duration(0));
  REQUIRE(directory.onHostList(listOf(40, 1), &first));
  Step doubted = stepAt(std::chrono::seconds(2));
  REQUIRE_FALSE(directory.onHostList(listOf(15, 2), &doubted));
  Step accepted = stepAt(std::chrono::seconds(40));
  REQUIRE(directory.onHostList(listOf(15, 2), &accepted));
  Step next = stepAt(std::chrono::seconds(42));
  CHECK_FALSE(directory.onHostList(listOf(4, 3), &next));
}

TEST_CASE("an upstream that is listed with another version is replaced") {
  UpstreamDirectory directory({});
  Step first = stepAt(Duration(0));
  HostList list = listOf(2, 1);
  list.upstreams.front().version = "1";
  REQUIRE(directory.onHostList(list, &first));
  list.version = 2;
  list.upstreams.front().version = "2";
  Step second = stepAt(std::chrono::seconds(1));
  REQUIRE(directory.onHostList(list, &second));
  const auto pools = directory.buildPools(hostNames(1), "entry-0");
  CHECK(pools.at("engines")->upstreams.front()->listed.version == "2");
  list.version = 3;
  Step third = stepAt(std::chrono::seconds(2));
  CHECK_FALSE(directory.onHostList(list, &third));
}
