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

/// Discards lines below this level. The default is Info.
void setLogLevel(LogLevel level);

/// Sets the host name that each line contains as host=NAME.
void setLogHost(absl::string_view host);

/// Parses "debug", "info", "warning" or "error"; returns false for other text.
bool parseLogLevel(absl::string_view text, LogLevel *level);

/// Writes one line to standard error: time, level, host, event, then the
/// fields in order. Values with spaces, quotes or control characters are
/// quoted and escaped, which prevents log injection through request data.
void logEvent(LogLevel level, absl::string_view event,
              std::initializer_list<LogField> fields = {});

/// Passes each complete line, including its newline, to `sink` instead of
/// standard error. Must be called before other threads log.
void setLogSink(
    std::function<void(absl::string_view event, std::string line)> sink);

/// Formats one line without its time and newline.
std::string formatLogLine(LogLevel level, absl::string_view event,
                          std::initializer_list<LogField> fields);

} // namespace auburnspring

#endif
