#include "auburnspring/decision/store_watch_duty.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburnspring;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

/// A fleet of equal hosts in two data centres that hear each other's news.
struct Fleet {
  std::map<std::string, StoreWatchDuty> duties;
  std::vector<std::string> dead;

  explicit Fleet(int hosts) {
    std::map<std::string, StoreWatchDuty::Host> all;
    for (int i = 0; i < hosts; ++i)
      all["h" + std::to_string(i)] = {i % 2 == 0 ? "a" : "b", 0.12};
    for (const auto &self : all) {
      const auto added =
          duties.emplace(self.first, StoreWatchDuty(self.first, self.second));
      for (const auto &other : all)
        added.first->second.setHost(other.first, other.second);
    }
  }

  bool isDead(const std::string &name) const {
    return std::find(dead.begin(), dead.end(), name) != dead.end();
  }

  std::vector<std::string> watchers(TimePoint now) const {
    std::vector<std::string> names;
    for (const auto &duty : duties)
      if (!isDead(duty.first) && duty.second.mustWatch(now))
        names.push_back(duty.first);
    return names;
  }

  void tellNews(TimePoint now) {
    for (const std::string &watcher : watchers(now))
      for (const std::string &listener : duties.at(watcher).listeners())
        duties.at(listener).onNews(watcher, now);
  }
};

} // namespace

TEST_CASE("in a small fleet every host watches the store") {
  const Fleet fleet(12);
  CHECK(fleet.watchers(at(0)).size() == 12);
  CHECK(fleet.duties.begin()->second.listeners().empty());
}

TEST_CASE("in a large fleet a few hosts of each data centre watch") {
  Fleet fleet(80);
  CHECK(fleet.watchers(at(0)).size() == 80);
  fleet.tellNews(at(0));
  CHECK(fleet.watchers(at(100)).size() ==
        2 * StoreWatchDuty::WatchersPerDataCentre);
}

TEST_CASE("the next in rank take over from watchers that fall silent") {
  Fleet fleet(80);
  fleet.tellNews(at(0));
  fleet.dead = fleet.watchers(at(100));
  std::size_t most = 0;
  for (int millis = 100; millis <= 1500; millis += 20) {
    most = std::max(most, fleet.watchers(at(millis)).size());
    fleet.tellNews(at(millis));
  }
  const std::vector<std::string> next = fleet.watchers(at(1500));
  CHECK(next.size() == 2 * StoreWatchDuty::WatchersPerDataCentre);
  CHECK(most < 40);
  for (const std::string &name : next)
    CHECK_FALSE(fleet.isDead(name));
}

TEST_CASE("watchers of another data centre do not count") {
  Fleet fleet(80);
  fleet.tellNews(at(0));
  StoreWatchDuty &host = fleet.duties.at("h0");
  for (int i = 2; i < 80; i += 2)
    host.removeHost("h" + std::to_string(i));
  CHECK(host.mustWatch(at(100)));
}

TEST_CASE("a host with more processor is the likelier watcher") {
  int large = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string self = "large" + std::to_string(i);
    StoreWatchDuty duty(self, {"a", 0.5});
    for (int j = 0; j < 20; ++j)
      duty.setHost("small" + std::to_string(j), {"a", 0.12});
    large += duty.mustWatch(at(0)) ? 1 : 0;
    for (int j = 0; j < 20; ++j)
      duty.onNews("small" + std::to_string(j), at(0));
    large += duty.mustWatch(at(1)) ? 1 : 0;
  }
  CHECK(large > 180);
}

TEST_CASE("a host that is behind asks although others are no further") {
  // Beats of a peer that knows as little come between those of one that is
  // ahead.
  StoreWatchDuty duty("h", {"a", 1});
  duty.setHost("ahead", {"a", 1});
  duty.setHost("level", {"a", 1});
  for (int millis = 0; millis < 300; millis += 100) {
    duty.onRevision("ahead", 20, 10, at(millis));
    CHECK_FALSE(duty.whomToAsk(10, at(millis)));
    duty.onRevision("level", 10, 10, at(millis + 50));
  }
  duty.onRevision("ahead", 20, 10, at(300));
  CHECK(duty.whomToAsk(10, at(300)) == std::string("ahead"));
  CHECK_FALSE(duty.whomToAsk(10, at(400)));
  CHECK(duty.whomToAsk(10, at(450)) == std::string("ahead"));
  CHECK_FALSE(duty.whomToAsk(20, at(700)));
}

TEST_CASE("a host that does not watch asks at once, and another one next") {
  Fleet fleet(80);
  fleet.tellNews(at(0));
  const std::vector<std::string> watchers = fleet.watchers(at(10));
  for (auto &entry : fleet.duties) {
    if (entry.second.mustWatch(at(10)))
      continue;
    entry.second.onRevision(watchers[0], 7, 5, at(10));
    CHECK(entry.second.whomToAsk(5, at(10)) == watchers[0]);
    entry.second.onRevision(watchers[1], 7, 5, at(12));
    CHECK(entry.second.whomToAsk(5, at(160)) == watchers[1]);
  }
}
