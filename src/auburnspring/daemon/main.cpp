#include "auburnspring/base/log.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/server/http_server.h"
#include "auburnspring/shell/host_runtime.h"

#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

namespace {

using namespace auburnspring;

constexpr int ExitOk = 0;
constexpr int ExitRequestsAborted = 1;
constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitListen = 4;

constexpr const char *UsageText =
    R"(auburnspringd - serves multi-stage model pipelines

usage: auburnspringd --settings FILE [--check]

  -s, --settings FILE  settings of this host (JSON with comments)
  -c, --check          validate the settings, print errors and exit
  -h, --help           show this text

SIGTERM or SIGINT stops gracefully: new requests are rejected with outcome
not-run and those in flight finish.

exit codes
  0  stopped with no request aborted, or the settings are valid
  1  stopped after stop_timeout_ms with requests still in flight
  2  invalid command line
  3  invalid settings; one error per line on standard error
  4  can't listen on an address
)";

struct Options {
  std::string settingsFile;
  bool check = false;
  bool help = false;
};

bool parseOptions(int argc, char **argv, Options *options) {
  static const option longOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  int opt = 0;
  while ((opt = getopt_long(argc, argv, "s:ch", longOptions, nullptr)) != -1) {
    switch (opt) {
    case 's':
      options->settingsFile = optarg;
      break;
    case 'c':
      options->check = true;
      break;
    case 'h':
      options->help = true;
      break;
    default:
      return false;
    }
  }
  return options->help || (!options->settingsFile.empty() && optind == argc);
}

std::optional<Settings> loadSettings(const std::string &file) {
  std::ifstream stream(file);
  if (!stream) {
    fmt::print(stderr, "{}: can't read the file\n", file);
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  Faults faults;
  std::optional<Settings> settings = parseSettings(file, text, &faults);
  for (const Fault &fault : faults)
    fmt::print(stderr, "{}\n", toString(fault));
  return settings;
}

sigset_t stopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

int serve(Settings settings) {
  // Blocked before any thread starts, so that only sigwait receives them.
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  LogLevel level = LogLevel::Info;
  parseLogLevel(settings.logLevel, &level);
  setLogLevel(level);
  setLogHost(settings.host);
  HostRuntime runtime(std::move(settings));
  HttpServer server(&runtime);
  absl::Status status = runtime.start();
  if (status.ok())
    status = server.start();
  if (!status.ok()) {
    logEvent(LogLevel::Error, "start_failed",
             {{"error", std::string(status.message())}});
    runtime.stop();
    return ExitListen;
  }
  logEvent(LogLevel::Info, "started",
           {{"listen", toString(runtime.settings().listen)},
            {"peer_listen", toString(runtime.settings().peerListen)},
            {"data_centre", runtime.settings().dataCentre}});
  int signal = 0;
  sigwait(&signals, &signal);
  logEvent(LogLevel::Info, "stopping", {{"signal", signal}});
  const bool clean = runtime.stop();
  server.stop();
  logEvent(LogLevel::Info, "stopped", {{"clean", clean}});
  return clean ? ExitOk : ExitRequestsAborted;
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
  std::optional<Settings> settings = loadSettings(options.settingsFile);
  if (!settings)
    return ExitSettings;
  if (options.check)
    return ExitOk;
  return serve(*std::move(settings));
}
