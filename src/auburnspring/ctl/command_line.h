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
  /// The command was understood and its answer is no: files with faults, a
  /// request that was not completed, a key without a record.
  ExitNo = 1,
  ExitUsage = 2,
  /// Another operator's change came first.
  ExitConflict = 3,
  /// A host or the key-value service can't be reached.
  ExitUnreachable = 4,
  /// It can't be said yet whether the change landed; run it again with the
  /// same --id.
  ExitUnsettled = 5,
};

/// The whole command line.
struct CommandLine {
  std::string command;
  std::vector<std::string> arguments;
  std::string settingsFile;
  /// Entry host to ask, IP:PORT; the settings' own address if empty.
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

/// Parses the arguments; false after a message on standard error.
bool parseCommandLine(int argc, char **argv, CommandLine *line);

/// Help for one command, or for all if `command` is empty.
std::string helpText(const std::string &command);

} // namespace auburnspring

#endif
