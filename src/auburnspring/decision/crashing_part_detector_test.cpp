#include "auburnspring/decision/crashing_part_detector.h"
#include "auburnspring/decision/request_name.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint() + seconds(1000);

PartCrash crash(const std::string &part, int upstream) {
  return {part, "u" + std::to_string(upstream), 1, Duration(0), false};
}

} // namespace

TEST_CASE("a part with three crashes and no sound request is found") {
  CrashingPartDetector detector;
  CHECK_FALSE(detector.onCrash(crash("x", 1), Start));
  CHECK_FALSE(detector.onCrash(crash("x", 2), Start + seconds(1)));
  const auto first = detector.onCrash(crash("x", 3), Start + seconds(2));
  REQUIRE(first);
  CHECK(first->at == Start);
  CHECK(first->incarnation == "u1/1");
}

TEST_CASE("breaks of one incarnation are one crash") {
  CrashingPartDetector detector;
  for (int i = 0; i < 6; ++i)
    CHECK_FALSE(detector.onCrash(crash("x", 1), Start + seconds(i)));
}

// Guards against quarantining what ran at upstreams that crashed together.
TEST_CASE("crashes that coincide count once") {
  CrashingPartDetector detector;
  for (int i = 0; i < 9; ++i)
    CHECK_FALSE(detector.onCrash(crash("x", i), Start + milliseconds(20 * i)));
  CHECK_FALSE(detector.onCrash(crash("x", 20), Start + seconds(1)));
  CHECK(detector.onCrash(crash("x", 21), Start + seconds(2)));
}

// Guards against taking the retries of one request for one crash.
TEST_CASE("crashes of runs that began one after the other all count") {
  CrashingPartDetector detector;
  const auto retry = [](int upstream) {
    PartCrash crashed = crash("x", upstream);
    crashed.ranFor = milliseconds(40);
    return crashed;
  };
  CHECK_FALSE(detector.onCrash(retry(1), Start));
  CHECK_FALSE(detector.onCrash(retry(2), Start + milliseconds(45)));
  CHECK(detector.onCrash(retry(3), Start + milliseconds(90)));
}

// Guards against missing a request whose hedges end as many upstreams.
TEST_CASE("three crashes at two moments suffice for a whole request") {
  const std::string request = requestName("/a", "bozi", "");
  const auto hedged = [&](const std::string &part, int upstream) {
    PartCrash crashed = crash(part, upstream);
    crashed.ranFor = milliseconds(80);
    return crashed;
  };
  for (const std::string &part : {request, std::string("x")}) {
    CrashingPartDetector detector;
    CHECK_FALSE(detector.onCrash(hedged(part, 1), Start));
    CHECK_FALSE(detector.onCrash(hedged(part, 2), Start + milliseconds(40)));
    CHECK(detector.onCrash(hedged(part, 3), Start + milliseconds(130))
              .has_value() == (part == request));
  }
}

// Guards against suspecting a request whose copies ran at several upstreams
// that crashed together.
TEST_CASE("any number of crashes at one moment is no evidence") {
  CrashingPartDetector detector;
  const std::string request = requestName("/a", "bozi", "");
  for (int i = 0; i < 9; ++i) {
    PartCrash crashed = crash(request, i);
    crashed.ranFor = milliseconds(10 + 3 * i);
    CHECK_FALSE(detector.onCrash(crashed, Start + milliseconds(i)));
  }
  CHECK(detector.hasCrashed(request));
  detector.onSound(request, Start + milliseconds(20));
  CHECK_FALSE(detector.hasCrashed(request));
}

TEST_CASE("a sound request exonerates its parts") {
  CrashingPartDetector detector;
  detector.onCrash(crash("x", 1), Start);
  detector.onCrash(crash("x", 2), Start + seconds(1));
  detector.onSound("x", Start + milliseconds(1500));
  CHECK_FALSE(detector.onCrash(crash("x", 3), Start + seconds(2)));
  // It may begin to crash upstreams later.
  const TimePoint later =
      Start + milliseconds(1500) + CrashingPartDetector::SoundFor;
  detector.onCrash(crash("x", 4), later);
  detector.onCrash(crash("x", 5), later + seconds(1));
  CHECK(detector.onCrash(crash("x", 6), later + seconds(2)));
}

TEST_CASE("reports that arrive late count at the time of their crashes") {
  CrashingPartDetector detector;
  PartCrash late = crash("x", 1);
  late.age = seconds(2);
  detector.onSound("x", Start - seconds(4));
  detector.onCrash(crash("x", 2), Start);
  detector.onCrash(crash("x", 3), Start + seconds(1));
  // Two seconds ago the part was sound.
  CHECK_FALSE(detector.onCrash(late, Start));
}

TEST_CASE("the name of a part is short and plain") {
  CHECK(partName("5c1e07a2") == "5c1e07a2");
  CHECK(partName(std::string(300, 'a')).size() <= 64);
  CHECK(partName("a b/c").find_first_of(" /") == std::string::npos);
  CHECK(partName("a b") != partName("a c"));
  const std::vector<PromptPart> prompt = {{"a", 1}, {"b", 1}, {"own", 1}};
  CHECK(sharedPartNames(prompt) == std::vector<std::string>{"a", "b"});
  CHECK(sharedPartNames({}).empty());
}

TEST_CASE("memory is bounded") {
  CrashingPartDetector detector;
  for (int i = 0; i < 20000; ++i) {
    const std::string part = "p" + std::to_string(i);
    detector.onCrash(crash(part, i), Start + milliseconds(i));
    detector.onSound("s" + part, Start + milliseconds(i));
  }
  CHECK(detector.suspectCount() <= CrashingPartDetector::MaxParts);
  CHECK_FALSE(detector.lastSoundAt("sp0"));
  CHECK(detector.lastSoundAt("sp19999"));
}

TEST_CASE("the detector finds exactly what crashes without being sound") {
  CHECK(rc::check([] {
    CrashingPartDetector detector;
    TimePoint now = Start;
    std::vector<TimePoint> moments;
    std::optional<TimePoint> sound;
    int upstream = 0;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 2000));
      if (*rc::gen::inRange(0, 4) == 0) {
        detector.onSound("x", now);
        sound = now;
        moments.clear();
        continue;
      }
      const bool counts =
          !sound || now >= *sound + CrashingPartDetector::SoundFor;
      if (counts && (moments.empty() ||
                     now >= moments.back() + CrashingPartDetector::Coincidence))
        moments.push_back(now);
      const bool found =
          detector.onCrash(crash("x", ++upstream), now).has_value();
      RC_ASSERT(found ==
                (counts && moments.size() >= CrashingPartDetector::MinCrashes));
    }
  }));
}
