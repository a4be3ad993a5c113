#include "auburnspring/model/naive_host.h"
#include "auburnspring/scenario/scenario_runner.h"

#include <fmt/format.h>

#include <cstring>
#include <fstream>
#include <iterator>

namespace {

using namespace auburnspring;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

struct Variant {
  const char *name;
  ConcurrentFault concurrentFault;
};

constexpr Variant Variants[] = {
    {"as written", ConcurrentFault::None},
    {"with the key-value service down", ConcurrentFault::KeyValueDown},
    {"with one host frozen", ConcurrentFault::HostFrozen}};

bool runVariant(const Scenario &scenario, const Variant &variant,
                const Simulation::HostFactory &makeHost) {
  const ScenarioResult result =
      ScenarioRunner(scenario, variant.concurrentFault, makeHost).run();
  fmt::print("{} {} {} (seed {})\n", result.passed() ? "passed" : "FAILED",
             scenario.file, variant.name, scenario.seed);
  for (const std::string &failure : result.failures)
    fmt::print("  {}:{}\n", scenario.file, failure);
  fmt::print("{}", result.summary);
  return result.passed();
}

int runFile(const std::string &file, const Simulation::HostFactory &makeHost) {
  std::ifstream stream(file);
  if (!stream) {
    fmt::print(stderr, "{}: cannot read the file\n", file);
    return ExitUsage;
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  Faults faults;
  const std::optional<Scenario> scenario = parseScenario(file, text, &faults);
  for (const Fault &fault : faults)
    fmt::print(stderr, "{}\n", toString(fault));
  if (!scenario)
    return ExitUsage;
  bool passed = true;
  for (const Variant &variant : Variants)
    passed = runVariant(*scenario, variant, makeHost) && passed;
  return passed ? ExitOk : ExitFailed;
}

} // namespace

int main(int argc, char **argv) {
  if (argc < 2 || std::strcmp(argv[1], "--help") == 0) {
    fmt::print("usage: auburnspring-scenario [--naive] FILE...\n"
               "Runs each scenario on a virtual clock: as written, with the "
               "key-value service\ndown, and with one host frozen. --naive "
               "runs the naive host instead of the\nproduct, to show which "
               "violations a scenario detects.\n");
    return argc < 2 ? ExitUsage : ExitOk;
  }
  const bool naive = std::strcmp(argv[1], "--naive") == 0;
  const Simulation::HostFactory makeHost =
      naive ? makeNaiveHost : makeEntryHost;
  int worst = ExitOk;
  for (int i = naive ? 2 : 1; i < argc; ++i)
    worst = std::max(worst, runFile(argv[i], makeHost));
  return worst;
}
