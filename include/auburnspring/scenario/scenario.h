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

/// One line that acts or checks, as words.
struct ScenarioStep {
  int line = 0;
  /// Time on the scenario's clock; expectations without one come last.
  Duration at{0};
  std::vector<std::string> words;
};

/// A pool of upstreams named POOL-1, POOL-2, ...
struct ScenarioPool {
  std::size_t workers = 1;
  FakeUpstream::Options options;
};

struct ScenarioRoute {
  std::string name;
  std::string text;
  /// Published by a step instead of at the start.
  bool later = false;
};

/// A parsed scenario file. See docs/SCENARIOS.md for the language.
struct Scenario {
  std::string file;
  std::string promise;
  std::uint64_t seed = 1;
  std::size_t hosts = 3;
  Duration length = std::chrono::seconds(10);
  std::vector<ScenarioPool> pools;
  std::vector<ScenarioRoute> routes;
  std::vector<ScenarioStep> steps;
};

/// Parses a scenario; all faults found are added to `faults`.
std::optional<Scenario> parseScenario(absl::string_view file,
                                      absl::string_view text, Faults *faults);

/// Reads "250us", "20ms", "1.5s" or "2m"; empty if it is none of them.
std::optional<Duration> parseDuration(absl::string_view text);

/// Scales a share written as "30%", or any other number.
std::optional<double> parseShare(absl::string_view text);

} // namespace auburnspring

#endif
