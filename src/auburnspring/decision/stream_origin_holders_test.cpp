#include "auburnspring/decision/stream_origin_holders.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace auburnspring;

namespace {

std::vector<std::string> hostNames(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back("host-" + std::to_string(i));
  return names;
}

std::vector<BatchingCandidate>
candidatesOf(const std::vector<std::string> &names) {
  std::vector<BatchingCandidate> list;
  for (const std::string &name : names)
    list.push_back({name, 1});
  return list;
}

} // namespace

TEST_CASE("a host that misses another, or lists one that is gone, asks a host "
          "that holds the origin") {
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(14, 300);
    const auto removed = *rc::gen::inRange<std::size_t>(0, count);
    const auto id = *rc::gen::arbitrary<std::string>();
    const std::vector<std::string> all = hostNames(count);
    std::vector<std::string> fewer = all;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
    const StreamOriginHolders complete(candidatesOf(all));
    const StreamOriginHolders partial(candidatesOf(fewer));
    const auto isAmong = [](const std::vector<std::string> &asked,
                            const std::vector<std::string> &holders,
                            const std::string &gone) {
      return std::count_if(
          holders.begin(), holders.end(), [&](const std::string &holder) {
            return holder != gone &&
                   std::find(asked.begin(), asked.end(), holder) != asked.end();
          });
    };
    constexpr std::size_t Sent = StreamOriginHolders::HolderCount;
    constexpr std::size_t Asked = StreamOriginHolders::AskedCount;
    RC_ASSERT(isAmong(partial.holders(id, Asked), complete.holders(id, Sent),
                      all[removed]) >= 2);
    RC_ASSERT(isAmong(complete.holders(id, Asked), partial.holders(id, Sent),
                      all[removed]) >= 2);
  }));
}

TEST_CASE("origins are spread over few hosts, of the larger ones if there are "
          "enough") {
  const std::vector<std::string> names = hostNames(295);
  std::vector<BatchingCandidate> hosts = candidatesOf(names);
  for (std::size_t i = 0; i < 20; ++i)
    hosts[i].processorShare = 4;
  const StreamOriginHolders holders(hosts);
  std::set<std::string> used;
  for (int i = 0; i < 2000; ++i) {
    const auto chosen = holders.holders("r" + std::to_string(i),
                                        StreamOriginHolders::HolderCount);
    REQUIRE(chosen.size() == StreamOriginHolders::HolderCount);
    used.insert(chosen.begin(), chosen.end());
  }
  CHECK(used.size() == StreamOriginHolders::DirectoryHosts);
  const std::set<std::string> large(names.begin(), names.begin() + 20);
  CHECK(std::includes(large.begin(), large.end(), used.begin(), used.end()));
}

TEST_CASE("a fleet with few hosts, or few large ones, uses what there is") {
  const std::vector<std::string> names = hostNames(2);
  CHECK(StreamOriginHolders(candidatesOf(names)).holders("r", 3).size() == 2);
  CHECK(StreamOriginHolders({}).holders("r", 3).empty());
  const std::vector<std::string> many = hostNames(20);
  std::vector<BatchingCandidate> hosts = candidatesOf(many);
  hosts[7].processorShare = 8;
  const auto chosen = StreamOriginHolders(hosts).holders("r", 12);
  CHECK(chosen.size() == 12);
  CHECK(std::find(chosen.begin(), chosen.end(), "host-7") != chosen.end());
}
