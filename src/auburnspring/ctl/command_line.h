#ifndef AUBURNSPRING_CTL_COMMAND_LINE_H
#define AUBURNSPRING_CTL_COMMAND_LINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// Exit codes of every command.
enum ExitCode {
  ExitOk = 0,
  /// The command ran with a negative result: files with faults, a request that
  /// was not completed, a key without a record, a drain that is not complete.
  ExitNegative = 1,
  ExitUsage = 2,
  /// Another operator's change was published first.
  ExitConflict = 3,
  /// A host or the key-value service is unreachable.
  ExitUnreachable = 4,
  /// It is unknown whether the change took effect; retry with the same --id.
  ExitUnsettled = 5,
};

/// The parsed command line.
struct CommandLine {
  std::string command;
  std::vector<std::string> arguments;
  std::string settingsFile;
  /// Entry host to query, IP:PORT; the listen address in the settings if empty.
  std::string host;
  std::string organisation;
  std::string route;
  std::string key;
  std::string bodyFile;
  std::string author;
  std::string publishId;
  std::optional<std::uint64_t> base;
  std::int64_t deadlineMillis = 0;
  bool replaceAll = false;
  bool stream = false;
  bool wait = false;
  bool json = false;
  bool help = false;
};

/// Parses the arguments. On an error, prints a message to standard error and
/// returns false.
bool parseCommandLine(int argc, char **argv, CommandLine *line);

/// Help for one command, or for all if `command` is empty.
std::string helpText(const std::string &command);

} // namespace auburnspring

#endif
