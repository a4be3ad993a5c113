#include "record.h"

#include "auburnspring/base/clock.h"

#include <fmt/format.h>

#include <cstdlib>

namespace auburnspring::review {

Record::Record(const std::string &path) : file_(path), begin_(steadyNow()) {}

void Record::add(const std::string &line) {
  file_ << fmt::format("{:9.1f} {}\n", millisAt(steadyNow()), line);
  file_.flush();
}

double Record::millisAt(TimePoint time) const {
  return toMillis(time - begin_);
}

bool hasTrouble() {
  const char *trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace auburnspring::review
