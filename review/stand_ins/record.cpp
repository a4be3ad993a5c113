#include "record.h"

namespace review {

void Record::add(const std::string &text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (file_ == nullptr)
    return;
  std::fprintf(file_, "%8.3f  %s\n", now(), text.c_str());
  std::fflush(file_);
}

void Record::say(const std::string &text) {
  add(text);
  std::printf("%8.3f  %s\n", now(), text.c_str());
  std::fflush(stdout);
}

} // namespace review
