#include "soak/caller_crowd.h"
#include "soak/fault_script.h"

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
constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;

/// Quiet time before the first fault, and after the last one.
constexpr Duration WarmUp = std::chrono::seconds(3);
/// The platform's time to recover, and then the time that is looked at.
constexpr Duration Recovery = std::chrono::seconds(8);
constexpr Duration CalmTime = std::chrono::seconds(3);
constexpr Duration WindDown = std::chrono::seconds(5);
/// One cause often breaks a promise many times.
constexpr std::size_t BreachesPrinted = 8;

constexpr const char *UsageText =
    R"(auburnspring-soak - plays seeded faults against real processes

usage: auburnspring-soak --program FILE [options]

  -p, --program FILE   the serving program (auburnspring-platformd)
  -s, --seed N         seed of the faults and the callers (1)
  -f, --faults SECONDS how long faults are played (12)
  -n, --hosts N        serving hosts (3)
  -c, --callers N      callers (24)
  -d, --dir DIR        settings and logs of the processes (a new folder)
  -h, --help           show this text

exit codes
  0  every promise was kept
  1  a promise was broken; one line each on standard output
  2  wrong usage
)";

struct Options {
  std::string program;
  std::uint64_t seed = 1;
  long faultSeconds = 12;
  std::size_t hosts = 3;
  std::size_t callers = 24;
  std::string folder;
  bool help = false;
};

bool parseOptions(int argc, char **argv, Options *options) {
  static const option longOptions[] = {
      {"program", required_argument, nullptr, 'p'},
      {"seed", required_argument, nullptr, 's'},
      {"faults", required_argument, nullptr, 'f'},
      {"hosts", required_argument, nullptr, 'n'},
      {"callers", required_argument, nullptr, 'c'},
      {"dir", required_argument, nullptr, 'd'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  int found = 0;
  while ((found = getopt_long(argc, argv, "p:s:f:n:c:d:h", longOptions,
                              nullptr)) != -1) {
    switch (found) {
    case 'p':
      options->program = optarg;
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
    case 'd':
      options->folder = optarg;
      break;
    case 'h':
      options->help = true;
      break;
    default:
      return false;
    }
  }
  const bool isUsable = !options->program.empty() && options->hosts > 0 &&
                        options->callers > 0 && options->faultSeconds >= 0;
  return options->help || (isUsable && optind == argc);
}

/// Lets the run go on for a while.
void pass(asio::io_context &io, Duration span) {
  asio::steady_timer timer(io, span);
  bool isOver = false;
  timer.async_wait([&](asio::error_code) { isOver = true; });
  while (!isOver)
    io.run_one();
}

int soakOnce(const Options &options) {
  std::filesystem::create_directories(options.folder);
  asio::io_context io(1);
  PromiseBook book{PromiseBounds()};
  SoakSite site(io, {options.program, options.folder, options.hosts}, &book);
  site.startHosts();
  CallerCrowd crowd(io, &site, &book, options.seed, options.callers);
  FaultScript faults(io, &site, &book, options.seed);
  pass(io, WarmUp);
  const Duration span = std::chrono::seconds(options.faultSeconds);
  faults.play(span);
  pass(io, span + Recovery);
  const TimePoint calmFrom = steadyNow();
  pass(io, CalmTime);
  crowd.stop();
  pass(io, WindDown);
  book.close(calmFrom);
  const std::vector<std::string> &breaches = book.breaches();
  for (std::size_t i = 0; i < std::min(breaches.size(), BreachesPrinted); ++i)
    fmt::print("broken seed={} {}\n", options.seed, breaches[i]);
  fmt::print("seed={} hosts={} sent={} served={} calm_share={:.3f} "
             "broken={} dir={}\n",
             options.seed, options.hosts, book.sentCount(), book.servedCount(),
             book.calmShare(), breaches.size(), options.folder);
  return breaches.empty() ? ExitOk : ExitBroken;
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
  if (options.folder.empty())
    options.folder =
        fmt::format("{}/auburnspring-soak-{}-{}",
                    std::filesystem::temp_directory_path().string(),
                    options.seed, getpid());
  return soakOnce(options);
}
