#ifndef AUBURNSPRING_BASE_LOG_WRITER_H
#define AUBURNSPRING_BASE_LOG_WRITER_H

#include "auburnspring/base/time.h"

#include <absl/strings/string_view.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace auburnspring {

/// Writes log lines to standard output on a dedicated thread, so that logging
/// does not block on output. Each event has a limit of lines per second and the
/// queue is bounded; a separate line reports how many lines the rate limit
/// dropped.
class LogWriter {
public:
  static constexpr std::size_t MaxQueued = 4096;

  explicit LogWriter(std::int64_t linesPerSecond);
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  void add(absl::string_view event, std::string line, TimePoint now);

  std::uint64_t dropped() const;

private:
  struct RateWindow {
    TimePoint start;
    std::int64_t lines = 0;
    std::int64_t dropped = 0;
  };

  void writeLoop();
  void push(std::string line);

  std::int64_t linesPerSecond_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  // All members below except thread_ are guarded by mutex_.
  std::map<std::string, RateWindow, std::less<>> windows_;
  std::deque<std::string> queue_;
  std::uint64_t dropped_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace auburnspring

#endif
