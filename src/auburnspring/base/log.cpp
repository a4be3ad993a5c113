#include "auburnspring/base/log.h"

#include <absl/strings/escaping.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace auburnspring {

namespace {

std::atomic<LogLevel> currentLevel{LogLevel::Info};
std::mutex hostMutex;
std::string hostName; // guarded by hostMutex

std::function<void(absl::string_view, std::string)> logSink;

constexpr const char *LevelNames[] = {"debug", "info", "warning", "error"};

bool needsQuotes(const std::string &text) {
  if (text.empty())
    return true;
  for (const char c : text)
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127)
      return true;
  return false;
}

void appendField(std::string *line, absl::string_view key,
                 const std::string &value) {
  line->append(" ");
  line->append(key.data(), key.size());
  line->append("=");
  if (!needsQuotes(value)) {
    line->append(value);
    return;
  }
  line->append("\"");
  line->append(absl::CEscape(value));
  line->append("\"");
}

} // namespace

LogField::LogField(const char *name, absl::string_view text)
    : key(name), value(text) {}
LogField::LogField(const char *name, const std::string &text)
    : key(name), value(text) {}
LogField::LogField(const char *name, const char *text)
    : key(name), value(text) {}
LogField::LogField(const char *name, bool flag)
    : key(name), value(flag ? "true" : "false") {}
LogField::LogField(const char *name, int number)
    : key(name), value(fmt::to_string(number)) {}
LogField::LogField(const char *name, long number)
    : key(name), value(fmt::to_string(number)) {}
LogField::LogField(const char *name, unsigned number)
    : key(name), value(fmt::to_string(number)) {}
LogField::LogField(const char *name, unsigned long number)
    : key(name), value(fmt::to_string(number)) {}
LogField::LogField(const char *name, double number)
    : key(name), value(fmt::format("{:.3f}", number)) {}

void setLogLevel(LogLevel level) { currentLevel = level; }

void setLogHost(absl::string_view host) {
  const std::lock_guard<std::mutex> lock(hostMutex);
  hostName = std::string(host);
}

void setLogSink(std::function<void(absl::string_view, std::string)> sink) {
  logSink = std::move(sink);
}

bool parseLogLevel(absl::string_view text, LogLevel *level) {
  for (int i = 0; i < 4; ++i) {
    if (text != LevelNames[i])
      continue;
    *level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

std::string formatLogLine(LogLevel level, absl::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line = "level=";
  line += LevelNames[static_cast<int>(level)];
  {
    const std::lock_guard<std::mutex> lock(hostMutex);
    if (!hostName.empty())
      appendField(&line, "host", hostName);
  }
  appendField(&line, "event", std::string(event));
  for (const LogField &field : fields)
    appendField(&line, field.key, field.value);
  return line;
}

void logEvent(LogLevel level, absl::string_view event,
              std::initializer_list<LogField> fields) {
  if (level < currentLevel.load(std::memory_order_relaxed))
    return;
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  std::string line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  millis, formatLogLine(level, event, fields));
  if (logSink)
    return logSink(event, std::move(line));
  // A single write per line keeps lines of concurrent threads from mixing.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace auburnspring
