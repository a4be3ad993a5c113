#ifndef AUBURNSPRING_SCENARIO_SCENARIO_RUNNER_H
#define AUBURNSPRING_SCENARIO_SCENARIO_RUNNER_H

#include "auburnspring/model/world.h"
#include "auburnspring/scenario/scenario.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// A second cause that is laid over a scenario. Its own expectations then no
/// longer hold, but nothing may be violated.
enum class SecondCause { None, KeyValueDown, HostFrozen };

struct ScenarioResult {
  /// What was not as expected, each with its line; empty if all was.
  std::vector<std::string> failures;
  /// Counts of outcomes by route, for people.
  std::string summary;

  bool passed() const { return failures.empty(); }
};

/// Runs one scenario on the virtual clock.
class ScenarioRunner {
public:
  ScenarioRunner(const Scenario &scenario, SecondCause cause,
                 World::HostFactory makeHost = makeEntryHost);
  ~ScenarioRunner();
  ScenarioRunner(const ScenarioRunner &) = delete;
  ScenarioRunner &operator=(const ScenarioRunner &) = delete;

  ScenarioResult run();

private:
  using Words = std::vector<std::string>;
  /// Handles one verb; false if the words are not understood.
  using Verb = bool (ScenarioRunner::*)(const Words &words);
  struct VerbEntry {
    const char *name;
    Verb verb;
  };
  static const VerbEntry verbs[];

  void act(const ScenarioStep &step);
  bool call(const Words &words);
  bool load(const Words &words);
  bool kill(const Words &words);
  bool restart(const Words &words);
  bool freeze(const Words &words);
  bool thaw(const Words &words);
  bool stop(const Words &words);
  bool hangUp(const Words &words);
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
  bool expectQuiet(const Words &words);
  bool expectMembers(const Words &words);
  void check(bool good, const std::string &found);

  std::size_t hostOf(const std::string &word) const;
  std::string summary() const;

  const Scenario &scenario_;
  SecondCause cause_;
  std::unique_ptr<World> world_;
  TimePoint start_;
  int line_ = 0;
  std::string shown_;
  std::map<std::string, std::size_t> calls_;
  std::map<std::string, std::uint64_t> arrivalsAt_;
  std::vector<std::string> failures_;
  std::uint64_t loadCount_ = 0;
  std::uint64_t drains_ = 0;
};

} // namespace auburnspring

#endif
