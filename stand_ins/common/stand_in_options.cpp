#include "common/stand_in_options.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>

namespace standin {

namespace {

constexpr int ExitUsage = 2;

[[noreturn]] void endWith(const char *usage, int code) {
  fmt::print(code == 0 ? stdout : stderr,
             "{}\n\n  --listen IP:PORT   address; port 0 lets the system pick\n"
             "  --port-file FILE   where to write the port\n"
             "  --set NAME=VALUE   one of the values above\n",
             usage);
  std::exit(code);
}

} // namespace

std::int64_t StandInOptions::number(const std::string &name,
                                    std::int64_t standard) const {
  const auto found = own.find(name);
  std::int64_t value = standard;
  if (found == own.end() || absl::SimpleAtoi(found->second, &value))
    return value;
  fmt::print(stderr, "--set {}: wanted a number\n", name);
  std::exit(ExitUsage);
}

std::string StandInOptions::text(const std::string &name,
                                 const std::string &standard) const {
  const auto found = own.find(name);
  return found == own.end() ? standard : found->second;
}

StandInOptions parseStandInOptions(int argc, char **argv, const char *usage) {
  static const option longOptions[] = {
      {"listen", required_argument, nullptr, 'l'},
      {"port-file", required_argument, nullptr, 'p'},
      {"set", required_argument, nullptr, 's'},
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
      options.own[value.substr(0, equals)] = value.substr(equals + 1);
    else
      endWith(usage, found == 'h' ? 0 : ExitUsage);
  }
  return options;
}

} // namespace standin
