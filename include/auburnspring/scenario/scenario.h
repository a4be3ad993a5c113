#ifndef AUBURNSPRING_SCENARIO_SCENARIO_H
#define AUBURNSPRING_SCENARIO_SCENARIO_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/fault.h"
#include "auburnspring/model/fake_upstream.h"

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// One line of a scenario that performs an action or checks an expectation,
/// split into words.
struct ScenarioStep {
  int line = 0;
  /// Time since the start; expectations without one run at the end.
  Duration at{0};
  std::vector<std::string> words;
};

/// A pool of upstreams named POOL-1, POOL-2, ...
struct ScenarioPool {
  std::size_t upstreamCount = 1;
  FakeUpstream::Options options;
  /// Software versions, which the upstreams have in turn; empty for none.
  std::vector<std::string> versions;
};

struct ScenarioRoute {
  std::string name;
  std::string text;
  /// Published by a step rather than at the start.
  bool publishedLater = false;
};

/// A parsed scenario file. See docs/SCENARIOS.md for the language.
struct Scenario {
  std::string file;
  /// Label of the guarantee that the scenario tests.
  std::string promise;
  std::uint64_t seed = 1;
  std::size_t hosts = 3;
  Duration length = std::chrono::seconds(10);
  std::vector<ScenarioPool> pools;
  std::vector<ScenarioRoute> routes;
  std::vector<ScenarioStep> steps;
};

/// Parses a scenario; returns nothing and adds to `faults` on errors.
std::optional<Scenario> parseScenario(absl::string_view file,
                                      absl::string_view text, Faults *faults);

/// Parses a duration such as "250us", "20ms", "1.5s" or "2m"; empty on error.
std::optional<Duration> parseDuration(absl::string_view text);

/// Parses a percentage such as "30%" (as 0.3) or a plain number; empty on
/// error.
std::optional<double> parseShare(absl::string_view text);

} // namespace auburnspring

#endif
