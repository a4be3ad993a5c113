#include "auburnspring/decision/store_watcher_selector.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburnspring;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

/// Equal hosts in two data centres that exchange updates without loss.
struct Fleet {
  std::map<std::string, StoreWatcherSelector> selectors;
  std::vector<std::string> stopped;

  explicit Fleet(int hosts) {
    std::map<std::string, StoreWatcherSelector::Host> all;
    for (int i = 0; i < hosts; ++i)
      all["h" + std::to_string(i)] = {i % 2 == 0 ? "a" : "b", 0.12};
    for (const auto &self : all) {
      const auto added = selectors.emplace(
          self.first, StoreWatcherSelector(self.first, self.second));
      for (const auto &other : all)
        added.first->second.setHost(other.first, other.second);
    }
  }

  bool isStopped(const std::string &name) const {
    return std::find(stopped.begin(), stopped.end(), name) != stopped.end();
  }

  std::vector<std::string> watchers(TimePoint now) const {
    std::vector<std::string> names;
    for (const auto &selector : selectors)
      if (!isStopped(selector.first) && selector.second.mustWatch(now))
        names.push_back(selector.first);
    return names;
  }

  void sendUpdates(TimePoint now) {
    for (const std::string &watcher : watchers(now))
      for (const std::string &recipient :
           selectors.at(watcher).updateRecipients())
        selectors.at(recipient).onWatcherUpdate(watcher, now);
  }
};

} // namespace

TEST_CASE("in a small fleet every host watches the store") {
  const Fleet fleet(12);
  CHECK(fleet.watchers(at(0)).size() == 12);
  CHECK(fleet.selectors.begin()->second.updateRecipients().empty());
}

TEST_CASE("pattern: hundreds of hosts restart in turn, and the calls of those "
          "that watch stay few") {
  CHECK(StoreWatcherSelector::watchInterval(9) ==
        std::chrono::milliseconds(100));
  CHECK(StoreWatcherSelector::watchInterval(80) ==
        std::chrono::milliseconds(640));
  CHECK(StoreWatcherSelector::watchInterval(300) ==
        std::chrono::milliseconds(1000));
  CHECK(StoreWatcherSelector::watchInterval(3000) ==
        std::chrono::milliseconds(1000));
}

TEST_CASE("in a large fleet a few hosts of each data centre watch") {
  Fleet fleet(80);
  CHECK(fleet.watchers(at(0)).size() == 80);
  fleet.sendUpdates(at(0));
  CHECK(fleet.watchers(at(100)).size() ==
        2 * StoreWatcherSelector::WatchersPerDataCentre);
}

TEST_CASE(
    "the next in rank take over from watchers that stop sending updates") {
  Fleet fleet(80);
  fleet.sendUpdates(at(0));
  fleet.stopped = fleet.watchers(at(100));
  std::size_t mostWatchers = 0;
  for (int millis = 100; millis <= 1500; millis += 20) {
    mostWatchers = std::max(mostWatchers, fleet.watchers(at(millis)).size());
    fleet.sendUpdates(at(millis));
  }
  const std::vector<std::string> next = fleet.watchers(at(1500));
  CHECK(next.size() == 2 * StoreWatcherSelector::WatchersPerDataCentre);
  CHECK(mostWatchers < 40);
  for (const std::string &name : next)
    CHECK_FALSE(fleet.isStopped(name));
}

TEST_CASE("watchers of another data centre do not count") {
  Fleet fleet(80);
  fleet.sendUpdates(at(0));
  StoreWatcherSelector &host = fleet.selectors.at("h0");
  for (int i = 2; i < 80; i += 2)
    host.removeHost("h" + std::to_string(i));
  CHECK(host.mustWatch(at(100)));
}

TEST_CASE("a host with a larger processor share is more likely to watch") {
  int large = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string self = "large" + std::to_string(i);
    StoreWatcherSelector selector(self, {"a", 0.5});
    for (int j = 0; j < 20; ++j)
      selector.setHost("small" + std::to_string(j), {"a", 0.12});
    large += selector.mustWatch(at(0)) ? 1 : 0;
    for (int j = 0; j < 20; ++j)
      selector.onWatcherUpdate("small" + std::to_string(j), at(0));
    large += selector.mustWatch(at(1)) ? 1 : 0;
  }
  CHECK(large > 180);
}

TEST_CASE("a host that is behind fetches even if other peers are behind too") {
  // Heartbeats of a peer at the host's own revision arrive between those of a
  // peer that is ahead, and must not reset the delay.
  StoreWatcherSelector selector("h", {"a", 1});
  selector.setHost("ahead", {"a", 1});
  selector.setHost("level", {"a", 1});
  for (int millis = 0; millis < 300; millis += 100) {
    selector.onVersion("ahead", {0, 20}, {0, 10}, at(millis));
    CHECK_FALSE(selector.fetchSource({0, 10}, at(millis)));
    selector.onVersion("level", {0, 10}, {0, 10}, at(millis + 50));
  }
  selector.onVersion("ahead", {0, 20}, {0, 10}, at(300));
  CHECK(selector.fetchSource({0, 10}, at(300)) == std::string("ahead"));
  CHECK_FALSE(selector.fetchSource({0, 10}, at(400)));
  selector.onFetchReply("ahead", true);
  CHECK_FALSE(selector.fetchSource({0, 15}, at(400)));
  CHECK(selector.fetchSource({0, 15}, at(450)) == std::string("ahead"));
  CHECK_FALSE(selector.fetchSource({0, 20}, at(700)));
}

namespace {

constexpr std::int64_t TimeoutMillis =
    PeerFetch::Timeout / std::chrono::milliseconds(1);

/// A host of a large fleet that does not watch, whose peers "a" and "b" have
/// reported a newer version, and that has begun to fetch it from "b" at 10 ms.
StoreWatcherSelector makeFetchingHost() {
  StoreWatcherSelector host("h", {"a", 0.001});
  for (int i = 0; i < 40; ++i) {
    host.setHost("w" + std::to_string(i), {"a", 1});
    host.onWatcherUpdate("w" + std::to_string(i), at(0));
  }
  host.onVersion("a", {0, 7}, {0, 5}, at(10));
  host.onVersion("b", {0, 7}, {0, 5}, at(10));
  REQUIRE_FALSE(host.mustWatch(at(10)));
  REQUIRE(host.fetchSource({0, 5}, at(10)) == std::string("b"));
  return host;
}

} // namespace

// Guards against replies that pile up on a slow link: each would hold all that
// is missing, and none would arrive before it is outdated (CONFIG).
TEST_CASE("a host has one fetch in progress at a time") {
  StoreWatcherSelector host = makeFetchingHost();
  for (std::int64_t millis = 20; millis < 10 + TimeoutMillis; millis += 20) {
    host.onVersion(millis % 40 == 0 ? "a" : "b", {0, 7 + millis}, {0, 5},
                   at(millis));
    CHECK_FALSE(host.fetchSource({0, 5}, at(millis)));
  }
}

TEST_CASE("a host that does not watch fetches at once, and again as soon as a "
          "reply has come and a newer version is known") {
  StoreWatcherSelector host = makeFetchingHost();
  host.onVersion("a", {0, 9}, {0, 5}, at(100));
  host.onFetchReply("a", true);
  CHECK_FALSE(host.fetchSource({0, 5}, at(400)));
  host.onFetchReply("b", true);
  CHECK(host.fetchSource({0, 7}, at(400)) == std::string("a"));
}

TEST_CASE("a large reply that has been announced has more time") {
  StoreWatcherSelector host = makeFetchingHost();
  constexpr std::int64_t MaxTimeoutMillis =
      PeerFetch::MaxTimeout / std::chrono::milliseconds(1);
  host.onFetchReplyAnnounced("a", at(100));
  SECTION("by another peer it has not") {
    CHECK(host.fetchSource({0, 5}, at(10 + TimeoutMillis)));
  }
  SECTION("by the peer that was asked") {
    host.onFetchReplyAnnounced("b", at(100));
    CHECK_FALSE(host.fetchSource({0, 5}, at(99 + MaxTimeoutMillis)));
    CHECK(host.fetchSource({0, 5}, at(100 + MaxTimeoutMillis)) ==
          std::string("a"));
  }
}

TEST_CASE("a fetch that fails is repeated at another peer") {
  StoreWatcherSelector host = makeFetchingHost();
  SECTION("for which there is no reply in time") {
    host.onVersion("b", {0, 7}, {0, 5}, at(10 + TimeoutMillis));
    CHECK_FALSE(host.fetchSource({0, 5}, at(9 + TimeoutMillis)));
    CHECK(host.fetchSource({0, 5}, at(10 + TimeoutMillis)) == std::string("a"));
  }
  SECTION("whose connection is lost") {
    host.onConnectionLost("a");
    CHECK_FALSE(host.fetchSource({0, 5}, at(200)));
    host.onConnectionLost("b");
    CHECK(host.fetchSource({0, 5}, at(200)) == std::string("a"));
  }
  SECTION("whose reply brings nothing") {
    host.onFetchReply("b", false);
    CHECK(host.fetchSource({0, 5}, at(200)) == std::string("a"));
  }
}

TEST_CASE("a host whose fetches fail watches the store until it has caught "
          "up") {
  StoreWatcherSelector host = makeFetchingHost();
  host.onFetchReply("b", false);
  for (int i = 0; i < 40; ++i)
    host.onWatcherUpdate("w" + std::to_string(i), at(400));
  CHECK_FALSE(host.mustWatch(at(400)));
  REQUIRE(host.fetchSource({0, 5}, at(400)));
  host.onFetchReply("a", false);
  CHECK(host.mustWatch(at(400)));
  CHECK_FALSE(host.fetchSource({0, 7}, at(410)));
  CHECK_FALSE(host.mustWatch(at(410)));
}
