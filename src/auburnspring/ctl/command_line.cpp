#include "command_line.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>

namespace auburnspring {

namespace {

struct CommandHelp {
  const char *name;
  const char *arguments;
  const char *text;
};

constexpr CommandHelp Commands[] = {
    {"check", "FILE|DIR...",
     "Reads route files (*.route.json below a DIR) and reports every fault "
     "with file, line and field. Exit 0 if there is none."},
    {"publish", "DIR... [--replace] [--base N] [--id ID] [--author NAME]",
     "Collects *.route.json below each DIR, checks them together with the "
     "files in force and publishes them. Files not given stay in force unless "
     "--replace is given. Prints the new generation or the reason for "
     "refusal."},
    {"status", "",
     "Shows every entry host with its state and configuration generation."},
    {"dump", "[HOST]",
     "Prints the full state of a host as JSON; HOST is a name or IP:PORT."},
    {"routes", "", "Shows the routes in force with outcomes and attainment."},
    {"history", "", "Shows the latest publishes, newest first."},
    {"drain", "UPSTREAM [--wait]",
     "Takes an upstream out of service. With --wait returns when every live "
     "host reports no requests in flight there; unresponsive hosts are "
     "listed."},
    {"undrain", "UPSTREAM", "Puts a drained upstream back into service."},
    {"call",
     "ROUTE --organisation NAME [--key KEY] [--body FILE] [--deadline MS] "
     "[--stream]",
     "Sends one request with the organisation's token from the settings. The "
     "body is read from FILE or standard input. Exit 0 if complete."},
    {"outcome", "KEY --organisation NAME --route ROUTE",
     "Looks up the outcome recorded for an Idempotency-Key."},
};

constexpr const char *CommonHelp =
    R"(common options
  -s, --settings FILE  settings of any entry host (default: the file named by
                       AUBURNSPRING_SETTINGS)
  -H, --host IP:PORT   entry host to query (default: the listen address in
                       the settings)
  -j, --json           machine-readable output
  -h, --help           print this help, or that of one command

exit codes
  0  done
  1  negative result: faults, not complete, no record, drain not complete
  2  wrong usage
  3  another operator's change was published first
  4  a host or the key-value service is unreachable
  5  it is unknown whether the change took effect; retry with the same --id
)";

enum LongOnlyOption { Replace = 256, Base, Id, Author, Wait, Stream, Deadline };

constexpr option LongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"host", required_argument, nullptr, 'H'},
    {"organisation", required_argument, nullptr, 'o'},
    {"route", required_argument, nullptr, 'r'},
    {"key", required_argument, nullptr, 'k'},
    {"body", required_argument, nullptr, 'b'},
    {"json", no_argument, nullptr, 'j'},
    {"help", no_argument, nullptr, 'h'},
    {"replace", no_argument, nullptr, Replace},
    {"base", required_argument, nullptr, Base},
    {"id", required_argument, nullptr, Id},
    {"author", required_argument, nullptr, Author},
    {"wait", no_argument, nullptr, Wait},
    {"stream", no_argument, nullptr, Stream},
    {"deadline", required_argument, nullptr, Deadline},
    {nullptr, 0, nullptr, 0}};

bool readNumber(const char *name, const char *text, std::int64_t *out) {
  if (absl::SimpleAtoi(text, out) && *out >= 0)
    return true;
  fmt::print(stderr, "--{}: found \"{}\", wanted a whole number\n", name, text);
  return false;
}

bool applyOption(int optionCode, CommandLine *line) {
  std::int64_t number = 0;
  switch (optionCode) {
  case 's':
    line->settingsFile = optarg;
    return true;
  case 'H':
    line->host = optarg;
    return true;
  case 'o':
    line->organisation = optarg;
    return true;
  case 'r':
    line->route = optarg;
    return true;
  case 'k':
    line->key = optarg;
    return true;
  case 'b':
    line->bodyFile = optarg;
    return true;
  case 'j':
    line->json = true;
    return true;
  case 'h':
    line->help = true;
    return true;
  case Replace:
    line->replaceAll = true;
    return true;
  case Base:
    if (!readNumber("base", optarg, &number))
      return false;
    line->base = static_cast<std::uint64_t>(number);
    return true;
  case Id:
    line->publishId = optarg;
    return true;
  case Author:
    line->author = optarg;
    return true;
  case Wait:
    line->wait = true;
    return true;
  case Stream:
    line->stream = true;
    return true;
  case Deadline:
    return readNumber("deadline", optarg, &line->deadlineMillis);
  default:
    return false;
  }
}

std::string environmentVariable(const char *name) {
  const char *value = std::getenv(name);
  return value == nullptr ? "" : value;
}

} // namespace

std::string helpText(const std::string &command) {
  std::string text = "auburnspringctl - operator tool of auburnspring\n\n";
  for (const CommandHelp &help : Commands) {
    if (!command.empty() && command != help.name)
      continue;
    text += fmt::format("auburnspringctl {} {}\n    {}\n", help.name,
                        help.arguments, help.text);
  }
  return text + "\n" + CommonHelp;
}

bool parseCommandLine(int argc, char **argv, CommandLine *line) {
  line->settingsFile = environmentVariable("AUBURNSPRING_SETTINGS");
  line->author = environmentVariable("USER");
  if (line->author.empty())
    line->author = "unknown";
  int optionCode = 0;
  while ((optionCode = getopt_long(argc, argv, "s:H:o:r:k:b:jh", LongOptions,
                                   nullptr)) != -1)
    if (!applyOption(optionCode, line))
      return false;
  for (int i = optind; i < argc; ++i)
    line->arguments.emplace_back(argv[i]);
  if (line->arguments.empty())
    return line->help;
  line->command = line->arguments.front();
  line->arguments.erase(line->arguments.begin());
  return true;
}

} // namespace auburnspring
