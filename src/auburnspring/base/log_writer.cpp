#include "auburnspring/base/log_writer.h"

#include <fmt/format.h>

#include <cstdio>

namespace auburnspring {

LogWriter::LogWriter(std::int64_t linesPerSecond)
    : linesPerSecond_(linesPerSecond), thread_([this] { writeLoop(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void LogWriter::add(absl::string_view event, std::string line, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RateWindow &window = windows_[std::string(event)];
  if (now - window.start >= std::chrono::seconds(1)) {
    if (window.dropped > 0)
      push(fmt::format("level=warning event=log_lines_dropped of={} count={}\n",
                       std::string(event), window.dropped));
    window = {now, 0, 0};
  }
  if (++window.lines > linesPerSecond_) {
    ++window.dropped;
    ++dropped_;
    return;
  }
  push(std::move(line));
}

void LogWriter::push(std::string line) {
  if (queue_.size() >= MaxQueued) {
    ++dropped_;
    return;
  }
  queue_.push_back(std::move(line));
  wake_.notify_one();
}

void LogWriter::writeLoop() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (queue_.empty())
      return;
    std::deque<std::string> lines;
    lines.swap(queue_);
    lock.unlock();
    for (const std::string &line : lines)
      std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
    lock.lock();
  }
}

std::uint64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

} // namespace auburnspring
