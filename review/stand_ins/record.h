#ifndef AUBURNSPRING_REVIEW_RECORD_H
#define AUBURNSPRING_REVIEW_RECORD_H

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

/// What was sent, answered and run, with the time since the start of the case.
class Record {
public:
  explicit Record(const std::string &file)
      : file_(std::fopen(file.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr)
      std::fclose(file_);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void add(const std::string &text);
  /// As add(), and prints the line.
  void say(const std::string &text);
  double now() const {
    return std::chrono::duration<double>(Clock::now() - startedAt_).count();
  }

private:
  std::FILE *file_;
  std::mutex mutex_;
  Clock::time_point startedAt_ = Clock::now();
};

} // namespace review

#endif
