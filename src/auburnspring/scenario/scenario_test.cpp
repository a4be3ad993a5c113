#include "auburnspring/scenario/scenario_runner.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

TEST_CASE("durations and percentages are parsed with their units") {
  CHECK(parseDuration("20ms") == std::chrono::milliseconds(20));
  CHECK(parseDuration("1.5s") == std::chrono::milliseconds(1500));
  CHECK(parseDuration("2m") == std::chrono::minutes(2));
  CHECK_FALSE(parseDuration("20"));
  CHECK(parseShare("30%") == Approx(0.3));
  CHECK_FALSE(parseShare("many"));
}

TEST_CASE("a parse error names its line") {
  Faults faults;
  CHECK_FALSE(
      parseScenario("x.scn", "seed 1\nroute r stages nowhere\n", &faults));
  REQUIRE(faults.size() == 1);
  CHECK(toString(faults.front()) ==
        "x.scn:2: route: no pool has the name nowhere");
}

TEST_CASE("runs are deterministic and a failed expectation is reported") {
  Faults faults;
  const auto scenario = parseScenario("x.scn", R"(
seed 5
pool p encode workers 2
route r deadline 1s stages p
at 1s call a r host 1
at 1s load r rate 20 for 2s
expect a rejected
)",
                                      &faults);
  REQUIRE(scenario);
  const ScenarioResult first =
      ScenarioRunner(*scenario, ConcurrentFault::None).run();
  const ScenarioResult second =
      ScenarioRunner(*scenario, ConcurrentFault::None).run();
  CHECK_FALSE(first.passed());
  CHECK(first.failures == second.failures);
  CHECK(first.summary == second.summary);
}
