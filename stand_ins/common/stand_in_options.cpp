#include "common/stand_in_options.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>

namespace standin {

namespace {

constexpr int UsageExitCode = 2;

[[noreturn]] void exitWithUsage(const char *usage, int code) {
  fmt::print(code == 0 ? stdout : stderr,
             "{}\n\n  --listen IP:PORT   address; port 0 binds a free port\n"
             "  --port-file FILE   file that receives the bound port\n"
             "  --set NAME=VALUE   sets one of the values above\n"
             "  --version V, --silent-ms N, --silent-share P\n"
             "                     set version, silent_ms, silent_share\n",
             usage);
  std::exit(code);
}

} // namespace

std::int64_t StandInOptions::number(const std::string &name,
                                    std::int64_t fallback) const {
  const auto found = values.find(name);
  std::int64_t value = fallback;
  if (found == values.end() || absl::SimpleAtoi(found->second, &value))
    return value;
  fmt::print(stderr, "--set {}: expected a number\n", name);
  std::exit(UsageExitCode);
}

double StandInOptions::share(const std::string &name, double fallback) const {
  const auto found = values.find(name);
  if (found == values.end())
    return fallback;
  double value = 0;
  if (absl::SimpleAtod(found->second, &value) && value >= 0 && value <= 1)
    return value;
  fmt::print(stderr, "--set {}: expected a share from 0 to 1\n", name);
  std::exit(UsageExitCode);
}

std::string StandInOptions::text(const std::string &name,
                                 const std::string &fallback) const {
  const auto found = values.find(name);
  return found == values.end() ? fallback : found->second;
}

StandInOptions parseStandInOptions(int argc, char **argv, const char *usage) {
  static const option longOptions[] = {
      {"listen", required_argument, nullptr, 'l'},
      {"port-file", required_argument, nullptr, 'p'},
      {"set", required_argument, nullptr, 's'},
      {"version", required_argument, nullptr, 'v'},
      {"silent-ms", required_argument, nullptr, 'm'},
      {"silent-share", required_argument, nullptr, 'r'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  StandInOptions options;
  int found = 0;
  while ((found = getopt_long(argc, argv, "l:p:s:h", longOptions, nullptr)) !=
         -1) {
    const std::string value = optarg == nullptr ? "" : optarg;
    const std::size_t equals = value.find('=');
    if (found == 'l' && auburnspring::parseEndpoint(value))
      options.listen = *auburnspring::parseEndpoint(value);
    else if (found == 'p')
      options.portFile = value;
    else if (found == 's' && equals != std::string::npos)
      options.values[value.substr(0, equals)] = value.substr(equals + 1);
    else if (found == 'v')
      options.values["version"] = value;
    else if (found == 'm')
      options.values["silent_ms"] = value;
    else if (found == 'r')
      options.values["silent_share"] = value;
    else
      exitWithUsage(usage, found == 'h' ? 0 : UsageExitCode);
  }
  return options;
}

} // namespace standin
