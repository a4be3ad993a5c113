#include "soak/fault_injector.h"
#include "soak/load_generator.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <unistd.h>

namespace {

using namespace auburnspring;
using namespace auburnspring::soak;

constexpr int ExitOk = 0;
constexpr int ExitViolation = 1;
constexpr int ExitUsage = 2;

/// Time without faults before the first one.
constexpr Duration WarmUp = std::chrono::seconds(3);
/// Time until hosts count as connected again, and then the time in which
/// streams break while they are.
constexpr Duration SettlingTime = std::chrono::seconds(4);
constexpr Duration StreamFaultTime = std::chrono::seconds(12);
/// Time to recover after the last fault, and then the time in which the share
/// of served requests is measured.
constexpr Duration RecoveryTime = std::chrono::seconds(8);
constexpr Duration MeasureTime = std::chrono::seconds(3);
/// Time for requests in flight to end.
constexpr Duration CallDrainTime = std::chrono::seconds(5);
/// One cause often violates a guarantee many times.
constexpr std::size_t MaxPrintedViolations = 8;
/// Long enough that most faults break streams midway.
constexpr int EventsPerLongStream = 12;
constexpr int ShortGapAimMs = 200;
constexpr double DroppedStreamShare = 0.2;
constexpr double SingleAttemptShare = 0.5;

constexpr const char *UsageText =
    R"(auburnspring-soak - injects seeded faults into real processes

usage: auburnspring-soak --program FILE [options]

  -p, --program FILE   the serving program (auburnspring-platformd)
  -o, --other FILE     program of every second host, such as an earlier build
  -s, --seed N         seed of the faults and the callers (1)
  -f, --faults SECONDS how long faults are injected (12)
  -n, --hosts N        serving hosts (3)
  -c, --callers N      callers (24)
  -k, --fault-set N    kinds of faults up to set N (11); seeds that failed with
                       an earlier set are run with that one
  -d, --dir DIR        settings and logs of the processes (a new directory)
  -h, --help           show this text

exit codes
  0  every guarantee was kept
  1  a guarantee was violated; one line each on standard output
  2  invalid arguments
)";

struct Options {
  std::string program;
  std::string otherProgram;
  std::uint64_t seed = 1;
  long faultSeconds = 12;
  std::size_t hosts = 3;
  std::size_t callers = 24;
  int faultSet = FaultInjector::LatestFaultSet;
  std::string directory;
  bool help = false;
};

bool parseOptions(int argc, char **argv, Options *options) {
  static const option longOptions[] = {
      {"program", required_argument, nullptr, 'p'},
      {"other", required_argument, nullptr, 'o'},
      {"seed", required_argument, nullptr, 's'},
      {"faults", required_argument, nullptr, 'f'},
      {"hosts", required_argument, nullptr, 'n'},
      {"callers", required_argument, nullptr, 'c'},
      {"fault-set", required_argument, nullptr, 'k'},
      {"dir", required_argument, nullptr, 'd'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  int found = 0;
  while ((found = getopt_long(argc, argv, "p:o:s:f:n:c:k:d:h", longOptions,
                              nullptr)) != -1) {
    switch (found) {
    case 'p':
      options->program = optarg;
      break;
    case 'o':
      options->otherProgram = optarg;
      break;
    case 's':
      options->seed = std::strtoull(optarg, nullptr, 10);
      break;
    case 'f':
      options->faultSeconds = std::strtol(optarg, nullptr, 10);
      break;
    case 'n':
      options->hosts = std::strtoul(optarg, nullptr, 10);
      break;
    case 'c':
      options->callers = std::strtoul(optarg, nullptr, 10);
      break;
    case 'k':
      options->faultSet = static_cast<int>(std::strtol(optarg, nullptr, 10));
      break;
    case 'd':
      options->directory = optarg;
      break;
    case 'h':
      options->help = true;
      break;
    default:
      return false;
    }
  }
  const bool isUsable = !options->program.empty() && options->hosts > 0 &&
                        options->callers > 0 && options->faultSeconds >= 0 &&
                        options->faultSet > 0;
  return options->help || (isUsable && optind == argc);
}

/// Runs the event loop for the span.
void runFor(asio::io_context &io, Duration span) {
  asio::steady_timer timer(io, span);
  bool isOver = false;
  timer.async_wait([&](asio::error_code) { isOver = true; });
  while (!isOver)
    io.run_one();
}

int runSoak(const Options &options) {
  std::filesystem::create_directories(options.directory);
  asio::io_context io(1);
  GuaranteeChecker checker{GuaranteeBounds()};
  ClusterOptions clusterOptions;
  clusterOptions.programs.push_back(options.program);
  if (!options.otherProgram.empty())
    clusterOptions.programs.push_back(options.otherProgram);
  clusterOptions.directory = options.directory;
  clusterOptions.hosts = options.hosts;
  const bool hasVersions = options.faultSet >= FaultInjector::VersionsFaultSet;
  if (hasVersions) {
    clusterOptions.modelVersions = {"v1", "v1", "v2", "v2", "v1.1", "v1.1"};
    clusterOptions.eventsPerStream = EventsPerLongStream;
    clusterOptions.streamGapAimMs = ShortGapAimMs;
    clusterOptions.droppedStreamShare = DroppedStreamShare;
    clusterOptions.singleAttemptShare = SingleAttemptShare;
  }
  if (options.faultSet >= FaultInjector::CrashingPartFaultSet)
    clusterOptions.crashingPart = "bad0";
  SoakCluster cluster(io, clusterOptions, &checker);
  cluster.startHosts();
  LoadGenerator generator(io, &cluster, &checker, options.seed,
                          options.callers);
  FaultInjector faults(io, &cluster, &checker, options.seed, options.faultSet);
  runFor(io, WarmUp);
  const Duration span = std::chrono::seconds(options.faultSeconds);
  faults.inject(span);
  runFor(io, span);
  if (hasVersions) {
    runFor(io, SettlingTime);
    faults.injectStreamFaults(StreamFaultTime);
    runFor(io, StreamFaultTime);
  }
  runFor(io, RecoveryTime);
  const TimePoint recoveredAt = steadyNow();
  runFor(io, MeasureTime);
  generator.stop();
  runFor(io, CallDrainTime);
  checker.checkAtEnd(recoveredAt);
  const std::vector<std::string> &violations = checker.violations();
  for (std::size_t i = 0; i < std::min(violations.size(), MaxPrintedViolations);
       ++i)
    fmt::print("broken seed={} {}\n", options.seed, violations[i]);
  const std::vector<std::string> mixed = checker.streams().mixedStreams();
  for (const std::vector<std::string> &lines : {mixed, checker.lostRequests()})
    for (std::size_t i = 0; i < std::min(lines.size(), MaxPrintedViolations);
         ++i)
      fmt::print("trace seed={} {}\n", options.seed, lines[i]);
  fmt::print("seed={} hosts={} sent={} served={} calm_share={:.3f} {} {} {} "
             "broken={} dir={}\n",
             options.seed, options.hosts, checker.sentCount(),
             checker.servedCount(), checker.recoveredShare(),
             checker.streams().summary(), checker.crashingPart().summary(),
             checker.limits().summary(), violations.size(), options.directory);
  return violations.empty() ? ExitOk : ExitViolation;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  if (!parseOptions(argc, argv, &options)) {
    fmt::print(stderr, "{}", UsageText);
    return ExitUsage;
  }
  if (options.help) {
    fmt::print("{}", UsageText);
    return ExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (options.directory.empty())
    options.directory =
        fmt::format("{}/auburnspring-soak-{}-{}",
                    std::filesystem::temp_directory_path().string(),
                    options.seed, getpid());
  return runSoak(options);
}
