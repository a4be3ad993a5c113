#ifndef AUBURNSPRING_BASE_LOG_H
#define AUBURNSPRING_BASE_LOG_H

#include <absl/strings/string_view.h>

#include <functional>
#include <initializer_list>
#include <string>

namespace auburnspring {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line. Numbers are formatted by the constructor.
struct LogField {
  LogField(const char *name, absl::string_view text);
  LogField(const char *name, const std::string &text);
  LogField(const char *name, const char *text);
  LogField(const char *name, bool flag);
  LogField(const char *name, int number);
  LogField(const char *name, long number);
  LogField(const char *name, unsigned number);
  LogField(const char *name, unsigned long number);
  LogField(const char *name, double number);

  const char *key;
  std::string value;
};

/// Lines below this level are dropped. The default is Info.
void setLogLevel(LogLevel level);

/// The name that each line carries as host=NAME.
void setLogHost(absl::string_view host);

/// Reads "debug", "info", "warning" or "error"; false if it is none of them.
bool parseLogLevel(absl::string_view text, LogLevel *level);

/// Writes one line to standard error: time, level, host, event, then the
/// fields in order. Values with spaces, quotes or control characters are
/// quoted and escaped, so that a caller's text can't forge a line.
void logEvent(LogLevel level, absl::string_view event,
              std::initializer_list<LogField> fields = {});

/// Takes each finished line, its newline included, in place of standard error.
/// Set it before other threads log.
void setLogSink(
    std::function<void(absl::string_view event, std::string line)> sink);

/// One formatted line without its time and its newline.
std::string formatLogLine(LogLevel level, absl::string_view event,
                          std::initializer_list<LogField> fields);

} // namespace auburnspring

#endif
