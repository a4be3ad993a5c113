#ifndef AUBURNSPRING_SCENARIO_SCENARIO_RUNNER_H
#define AUBURNSPRING_SCENARIO_SCENARIO_RUNNER_H

#include "auburnspring/model/simulation.h"
#include "auburnspring/scenario/scenario.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// A fault injected in addition to those of the scenario. The scenario's own
/// expectations are not checked then, only Simulation::violations().
enum class ConcurrentFault { None, KeyValueDown, HostFrozen };

struct ScenarioResult {
  /// Failed expectations and violations, each with its line (0 for a
  /// violation).
  std::vector<std::string> failures;
  /// Human-readable counts of outcomes by route.
  std::string summary;

  bool passed() const { return failures.empty(); }
};

/// Runs one scenario on the virtual clock.
class ScenarioRunner {
public:
  ScenarioRunner(const Scenario &scenario, ConcurrentFault concurrentFault,
                 Simulation::HostFactory makeHost = makeEntryHost);
  ~ScenarioRunner();
  ScenarioRunner(const ScenarioRunner &) = delete;
  ScenarioRunner &operator=(const ScenarioRunner &) = delete;

  ScenarioResult run();

private:
  using Words = std::vector<std::string>;
  /// Executes one verb; false if its arguments are invalid.
  using Verb = bool (ScenarioRunner::*)(const Words &words);
  struct VerbEntry {
    const char *name;
    Verb verb;
  };
  static const VerbEntry verbs[];

  void runStep(const ScenarioStep &step);
  bool call(const Words &words);
  bool load(const Words &words);
  bool kill(const Words &words);
  bool restart(const Words &words);
  bool freeze(const Words &words);
  bool thaw(const Words &words);
  bool stop(const Words &words);
  bool disconnectCaller(const Words &words);
  bool cut(const Words &words);
  bool heal(const Words &words);
  bool keyValue(const Words &words);
  bool upstream(const Words &words);
  bool list(const Words &words);
  bool publish(const Words &words);
  bool drain(const Words &words);
  bool expect(const Words &words);

  bool expectOutcome(const Words &words);
  bool expectExecutions(const Words &words);
  bool expectAttainment(const Words &words);
  bool expectGeneration(const Words &words);
  bool expectNoNewAttempts(const Words &words);
  bool expectMembers(const Words &words);
  /// Records a failure unless `holds`; `found` describes the actual state.
  void check(bool holds, const std::string &found);

  std::size_t hostIndex(const std::string &word) const;
  std::string summary() const;

  const Scenario &scenario_;
  ConcurrentFault concurrentFault_;
  std::unique_ptr<Simulation> simulation_;
  TimePoint start_;
  int line_ = 0;
  std::string stepText_;
  std::map<std::string, std::size_t> calls_;
  std::map<std::string, std::uint64_t> attemptsReceivedAt_;
  std::vector<std::string> failures_;
  std::uint64_t loadCount_ = 0;
  std::uint64_t drainCount_ = 0;
};

} // namespace auburnspring

#endif
