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

/// Writes log lines to standard output on a thread of its own. Whoever logs
/// never waits: each event may write so many lines a second, the queue is
/// bounded, and what is dropped is counted in a line of its own.
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
  struct Allowance {
    TimePoint secondFrom;
    std::int64_t lines = 0;
    std::int64_t dropped = 0;
  };

  void write();
  void push(std::string line);

  std::int64_t linesPerSecond_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  // All below but the thread are guarded by mutex_.
  std::map<std::string, Allowance, std::less<>> allowances_;
  std::deque<std::string> queue_;
  std::uint64_t dropped_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace auburnspring

#endif
