#include "auburnspring/decision/missed_deliveries.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

namespace {

constexpr Duration NoticeTime = MissedDeliveries::NoticeTime;
constexpr Duration RepeatInterval = MissedDeliveries::RepeatInterval;

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(1000000 + millis));
}

bool always(const std::string & /*host*/) { return true; }

} // namespace

// Each guards against messages that a silent channel swallows for good.

TEST_CASE("a lost connection is followed by one repetition") {
  MissedDeliveries missed;
  CHECK(missed.takeDue(always, at(0)).empty());
  missed.onLost("a", at(0));
  missed.onLost("a", at(10));
  const auto due = missed.takeDue(always, at(20));
  REQUIRE(due.size() == 1);
  CHECK(due[0].host == "a");
  CHECK(due[0].since == at(0) - NoticeTime);
  CHECK(missed.takeDue(always, at(5000)).empty());
}

TEST_CASE("a repetition that is lost is due again with all that it held") {
  MissedDeliveries missed;
  missed.onLost("a", at(0));
  missed.takeDue(always, at(0));
  missed.onLost("a", at(100));
  CHECK(missed.takeDue(always, at(200)).empty());
  const auto due = missed.takeDue(always, at(0) + RepeatInterval);
  REQUIRE(due.size() == 1);
  CHECK(due[0].since == at(0) - NoticeTime);
}

TEST_CASE("repetitions to a peer that stays lost become rare") {
  MissedDeliveries missed;
  std::size_t count = 0;
  for (std::int64_t millis = 0; millis < 60000; millis += 100) {
    missed.onLost("a", at(millis));
    count += missed.takeDue(always, at(millis)).size();
  }
  CHECK(count <= 60 / 4 + 4);
  CHECK(count >= 60 / 4);
}

TEST_CASE("a peer that takes no messages gets its repetition later") {
  MissedDeliveries missed;
  missed.onLost("a", at(0));
  missed.onLost("b", at(0));
  const auto isB = [](const std::string &host) { return host == "b"; };
  CHECK(missed.takeDue(isB, at(0)).size() == 1);
  const auto due = missed.takeDue(always, at(60000));
  REQUIRE(due.size() == 1);
  CHECK(due[0].host == "a");
  CHECK(due[0].since == at(0) - NoticeTime);
}

TEST_CASE("a peer is forgotten once its repetition can't be lost any more") {
  MissedDeliveries missed;
  missed.onLost("a", at(0));
  missed.takeDue(always, at(0));
  missed.takeDue(always, at(0) + NoticeTime);
  CHECK(missed.size() == 0);
  missed.onLost("a", at(0) + 3 * NoticeTime);
  CHECK(missed.takeDue(always, at(0) + 3 * NoticeTime).at(0).since ==
        at(0) + 2 * NoticeTime);
}

TEST_CASE("the number of peers is bounded and those lost first go") {
  MissedDeliveries missed;
  for (std::size_t i = 0; i < MissedDeliveries::MaxPeers + 5; ++i)
    missed.onLost(std::to_string(i), at(static_cast<std::int64_t>(i)));
  CHECK(missed.size() == MissedDeliveries::MaxPeers);
  for (const auto &due : missed.takeDue(always, at(60000)))
    CHECK(due.host != "0");
}
