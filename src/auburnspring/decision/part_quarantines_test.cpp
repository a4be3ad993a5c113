#include "auburnspring/decision/part_quarantines.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<std::string>;
using Change = PartQuarantines::Change;

const TimePoint Start = TimePoint() + seconds(10000);

CrashingPartDetector::Crash firstCrash(const std::string &incarnation) {
  return {incarnation, Start - seconds(2)};
}

PartVerdict verdict(PartQuarantines &quarantines, const Parts &parts,
                    TimePoint now) {
  return quarantines.check(parts, now).verdict;
}

} // namespace

TEST_CASE("requests with a quarantined part are held back, others are not") {
  PartQuarantines quarantines;
  CHECK(quarantines.quarantine("x", firstCrash("u1"), Start));
  CHECK_FALSE(quarantines.quarantine("x", firstCrash("u1"), Start));
  const auto check = quarantines.check(Parts{"f", "x"}, Start);
  CHECK(check.verdict == PartVerdict::Quarantined);
  CHECK(check.part == "x");
  CHECK(check.nextTrialIn == PartQuarantines::TrialDelays[0]);
  CHECK(verdict(quarantines, {"f", "g"}, Start) == PartVerdict::Free);
  CHECK(quarantines.release("x", Start));
  CHECK(verdict(quarantines, {"f", "x"}, Start) == PartVerdict::Free);
}

// Guards against LOST: sound requests share parts with those that crash.
TEST_CASE("of parts suspected for the same crashes, all must be there") {
  PartQuarantines quarantines;
  quarantines.quarantine("f", firstCrash("u1"), Start);
  quarantines.quarantine("x", firstCrash("u1"), Start);
  CHECK(verdict(quarantines, {"f", "x"}, Start) == PartVerdict::Quarantined);
  CHECK(verdict(quarantines, {"f", "g"}, Start) == PartVerdict::Free);
  CHECK(quarantines.isDistinguishing("x", Parts{"g", "x"}));
  CHECK_FALSE(quarantines.isDistinguishing("x", Parts{"f", "x"}));

  SECTION("a sound request with one of them leaves the other") {
    quarantines.release("f", Start);
    CHECK(verdict(quarantines, {"g", "x"}, Start) == PartVerdict::Quarantined);
    CHECK(verdict(quarantines, {"f"}, Start) == PartVerdict::Free);
  }
  SECTION("a crash with one of them accounts for all crashes") {
    CHECK(quarantines.confirm("x"));
    CHECK_FALSE(quarantines.confirm("x"));
    CHECK(verdict(quarantines, {"g", "x"}, Start) == PartVerdict::Quarantined);
    CHECK(verdict(quarantines, {"f"}, Start) == PartVerdict::Free);
  }
  SECTION("they have one trial together") {
    const TimePoint due = Start + PartQuarantines::TrialDelays[0];
    const auto check = quarantines.check(Parts{"x", "f"}, due);
    CHECK(check.verdict == PartVerdict::TrialDue);
    CHECK(check.part == "f");
  }
}

TEST_CASE("parts suspected for different crashes are held back each") {
  PartQuarantines quarantines;
  quarantines.quarantine("x", firstCrash("u1"), Start);
  quarantines.quarantine("y", firstCrash("u2"), Start);
  const TimePoint due = Start + PartQuarantines::TrialDelays[0];
  CHECK(verdict(quarantines, {"x"}, due) == PartVerdict::TrialDue);
  CHECK(verdict(quarantines, {"x", "y"}, due) == PartVerdict::Quarantined);
}

// Guards against BUDGET: more than three requests with a part that has crashed
// five upstreams.
TEST_CASE("there are three trials at most, ever further apart") {
  PartQuarantines quarantines;
  quarantines.quarantine("x", firstCrash("u1"), Start);
  TimePoint now = Start;
  for (std::uint32_t trial = 0; trial < PartQuarantines::MaxTrials; ++trial) {
    now += PartQuarantines::TrialDelays[trial];
    CHECK_FALSE(quarantines.takeTrial("x", now - milliseconds(1)));
    CHECK(verdict(quarantines, {"x"}, now) == PartVerdict::TrialDue);
    CHECK(quarantines.takeTrial("x", now));
    CHECK_FALSE(quarantines.takeTrial("x", now));
    CHECK(verdict(quarantines, {"x"}, now) == PartVerdict::Quarantined);
  }
  // Those that ask again keep it quarantined.
  for (int i = 0; i < 50; ++i) {
    now += std::chrono::minutes(30);
    CHECK(verdict(quarantines, {"x"}, now) == PartVerdict::Quarantined);
    CHECK(quarantines.dropExpired(now).empty());
  }
  CHECK_FALSE(quarantines.check(Parts{"x"}, now).nextTrialIn);
}

TEST_CASE("a request held back during a trial may come back soon") {
  PartQuarantines quarantines;
  quarantines.quarantine("x", firstCrash("u1"), Start);
  const TimePoint due = Start + PartQuarantines::TrialDelays[0];
  quarantines.takeTrial("x", due);
  const auto check = quarantines.check(Parts{"x"}, due + milliseconds(500));
  CHECK(check.nextTrialIn == PartQuarantines::TrialTime - milliseconds(500));
}

TEST_CASE("the higher generation holds, and within it what is further") {
  PartQuarantines a;
  PartQuarantines b;
  a.quarantine("x", firstCrash("u1"), Start);
  CHECK(b.learn(*a.find("x", Start), Start) == Change::Quarantined);
  CHECK(b.learn(*a.find("x", Start), Start) == Change::None);
  const TimePoint due = Start + PartQuarantines::TrialDelays[0];
  REQUIRE(a.takeTrial("x", due));
  CHECK(b.learn(*a.find("x", due), due) == Change::Trial);
  CHECK_FALSE(b.takeTrial("x", due));
  a.confirm("x");
  CHECK(b.learn(*a.find("x", due), due) == Change::Confirmed);
  const PartQuarantine old = *a.find("x", due);
  a.release("x", due);
  CHECK(b.learn(*a.find("x", due), due) == Change::Released);
  CHECK(b.learn(old, due) == Change::None);
  CHECK(verdict(b, {"x"}, due) == PartVerdict::Free);
}

// Guards against states that hosts teach each other for ever.
TEST_CASE("what is forgotten is not learned again from a peer") {
  PartQuarantines a;
  PartQuarantines b;
  a.quarantine("x", firstCrash("u1"), Start);
  a.release("x", Start);
  b.learn(*a.find("x", Start), Start);
  const TimePoint end = Start + PartQuarantines::ReleaseRetention;
  CHECK(a.dropExpired(end).empty());
  const TimePoint later = end + milliseconds(1);
  a.dropExpired(later);
  CHECK_FALSE(a.find("x", later));
  CHECK(a.learn(*b.find("x", later), later) == Change::None);
  CHECK_FALSE(a.find("x", later));
}

TEST_CASE("a quarantine that no request meets ends") {
  PartQuarantines quarantines;
  quarantines.quarantine("x", firstCrash("u1"), Start);
  const TimePoint end = Start + PartQuarantines::Retention + milliseconds(1);
  CHECK(quarantines.dropExpired(end) == Parts{"x"});
  CHECK(quarantines.quarantinedCount() == 0);
}

TEST_CASE("the number of quarantines is bounded, the least met ones go") {
  PartQuarantines quarantines;
  for (int i = 0; i < 2000; ++i) {
    quarantines.quarantine("p" + std::to_string(i), firstCrash("u1"),
                           Start + seconds(i));
    quarantines.check(Parts{"p0"}, Start + seconds(i));
  }
  CHECK(quarantines.quarantinedCount() <= PartQuarantines::MaxQuarantines);
  CHECK(quarantines.isQuarantined("p0"));
  CHECK(quarantines.isQuarantined("p1999"));
  // Heartbeats hold few, and all in turn.
  std::set<std::string> sent;
  for (std::size_t i = 0; i < 2 * PartQuarantines::MaxQuarantines /
                                  PartQuarantines::MaxHeartbeatStates;
       ++i) {
    const auto states = quarantines.nextStates(Start);
    CHECK(states.size() == PartQuarantines::MaxHeartbeatStates);
    for (const PartQuarantine &state : states)
      sent.insert(state.part);
  }
  CHECK(sent.size() == quarantines.quarantinedCount());
}
