#include "auburnspring/decision/request_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint() + seconds(1000);
constexpr Duration Window = seconds(4);

/// Most of the times in any window.
std::size_t mostInWindow(const std::vector<TimePoint> &times) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[first] + Window < times[i])
      ++first;
    most = std::max(most, i + 1 - first);
  }
  return most;
}

double allowed(double limit) { return 1.5 * limit * 4 + 5; }

/// Hosts that ask for permits of one upstream as often as they are told, on a
/// virtual clock. The host that gives them may change.
struct Fleet {
  struct Ask {
    TimePoint at;
    std::size_t host;
    bool operator<(const Ask &other) const { return at > other.at; }
  };

  double limit;
  RequestLimit first;
  RequestLimit second;
  std::vector<TimePoint> granted;
  std::size_t asked = 0;
  std::mt19937_64 random{11};

  void run(std::size_t hosts, Duration span, std::optional<Duration> change) {
    first.onStatement(limit, Start, Start);
    std::priority_queue<Ask> asks;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (std::size_t host = 0; host < hosts; ++host)
      asks.push({Start + milliseconds(host), host});
    while (!asks.empty() && asks.top().at < Start + span) {
      const Ask ask = asks.top();
      asks.pop();
      ++asked;
      const bool isChanged = change && ask.at >= Start + *change;
      RequestLimit &giver = isChanged ? second : first;
      giver.onStatement(limit, Start, ask.at);
      const bool isGranted = giver.takePermit(ask.at);
      if (isGranted)
        granted.push_back(ask.at);
      // Each host has a request waiting all the time.
      const Duration wait =
          isGranted ? Duration(milliseconds(3))
                    : giver.retryAfterDenial(ask.at, uniform(random));
      asks.push({ask.at + wait + milliseconds(2), ask.host});
    }
  }
};

} // namespace

TEST_CASE("without a limit every request is permitted") {
  RequestLimit limit;
  CHECK_FALSE(limit.isLimited());
  for (int i = 0; i < 100; ++i)
    CHECK(limit.takePermit(Start));
  CHECK(limit.timeToPermit(Start) == Duration(0));
}

TEST_CASE("permits come at the rate that the upstream named") {
  RequestLimit limit;
  CHECK(limit.onStatement(2.0, Start, Start));
  CHECK_FALSE(limit.takePermit(Start));
  CHECK(limit.timeToPermit(Start) == milliseconds(500));
  CHECK(limit.takePermit(Start + milliseconds(500)));
  CHECK_FALSE(limit.takePermit(Start + milliseconds(999)));
  CHECK(limit.takePermit(Start + seconds(1)));
}

TEST_CASE("the later statement holds, whatever the order of arrival") {
  RequestLimit limit;
  CHECK(limit.onStatement(2.0, Start + seconds(1), Start + seconds(1)));
  CHECK_FALSE(limit.onStatement(std::nullopt, Start, Start + seconds(2)));
  CHECK(limit.isLimited());
  CHECK(
      limit.onStatement(std::nullopt, Start + seconds(2), Start + seconds(2)));
  CHECK_FALSE(limit.isLimited());
}

// Guards against a limit that is named anew with each response and starts over.
TEST_CASE("naming the same limit again does not hold permits back") {
  RequestLimit limit;
  TimePoint now = Start;
  int granted = 0;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    limit.onStatement(i % 2 == 0 ? 1.0 : 1.1, now, now);
    granted += limit.takePermit(now) ? 1 : 0;
  }
  CHECK(granted >= 9);
  CHECK(granted <= 12);
}

TEST_CASE("any asking keeps within what the limit allows in some window") {
  CHECK(rc::check([] {
    const double perSecond = *rc::gen::inRange(1, 500) / 10.0;
    RequestLimit limit;
    limit.onStatement(perSecond, Start, Start);
    TimePoint now = Start;
    std::vector<TimePoint> granted;
    const auto gaps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 300));
    for (const int gap : gaps) {
      now += milliseconds(gap);
      if (limit.takePermit(now))
        granted.push_back(now);
    }
    RC_ASSERT(static_cast<double>(mostInWindow(granted)) <= allowed(perSecond));
  }));
}

// At one request a second over few hosts and over hundreds, all of which have
// requests waiting.
TEST_CASE("load of a fleet that asks for permits of one upstream") {
  for (const double limit : {1.0, 1.3, 8.0, 40.0})
    for (const std::size_t hosts : {1U, 8U, 295U}) {
      INFO("limit " << limit << ", " << hosts << " hosts");
      Fleet fleet{limit, {}, {}, {}, 0};
      fleet.run(hosts, seconds(60), std::nullopt);
      CHECK(static_cast<double>(mostInWindow(fleet.granted)) <= allowed(limit));
      // It wastes little.
      CHECK(static_cast<double>(fleet.granted.size()) >= 0.8 * limit * 60);
      // Few ask in vain.
      CHECK(static_cast<double>(fleet.asked) / 60 <=
            20 * limit + 3 * static_cast<double>(hosts) + 10);
    }
}

TEST_CASE("the limit holds when another host begins to give permits") {
  for (const double limit : {1.0, 1.3, 8.0})
    for (const std::size_t hosts : {8U, 295U}) {
      Fleet fleet{limit, {}, {}, {}, 0};
      fleet.run(hosts, seconds(20), milliseconds(9300));
      CHECK(static_cast<double>(mostInWindow(fleet.granted)) <= allowed(limit));
      CHECK(static_cast<double>(fleet.granted.size()) >= 0.8 * limit * 20 - 1);
    }
}
