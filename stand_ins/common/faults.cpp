#include "common/faults.h"

namespace standin {

namespace {

bool consumeOne(std::int64_t *count) {
  if (*count <= 0)
    return false;
  --*count;
  return true;
}

} // namespace

std::string Faults::set(const nlohmann::json &control) {
  const std::lock_guard<std::mutex> lock(mutex_);
  try {
    for (const auto &item : control.items()) {
      const std::string &field = item.key();
      const nlohmann::json &value = item.value();
      if (field == "slow_ms")
        delayMillis_ = value.get<std::int64_t>();
      else if (field == "fail")
        failCount_ = value.get<std::int64_t>();
      else if (field == "lose")
        dropCount_ = value.get<std::int64_t>();
      else if (field == "cut")
        truncateCount_ = value.get<std::int64_t>();
      else if (field == "freeze")
        frozen_ = value.get<bool>();
      else if (field == "leave")
        leaving_ = value.get<bool>();
      else
        return "unknown field " + field +
               "; known are slow_ms, fail, lose, cut, freeze, leave";
    }
  } catch (const nlohmann::json::exception &error) {
    return error.what();
  }
  return "";
}

nlohmann::json Faults::get() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{"slow_ms", delayMillis_}, {"fail", failCount_}, {"lose", dropCount_},
          {"cut", truncateCount_},   {"freeze", frozen_},  {"leave", leaving_}};
}

FaultDecision Faults::next(bool consumesCounts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  FaultDecision decision;
  decision.delayMillis = delayMillis_;
  if (!consumesCounts)
    return decision;
  decision.fail = consumeOne(&failCount_);
  decision.dropResponse = !decision.fail && consumeOne(&dropCount_);
  decision.truncate =
      !decision.fail && !decision.dropResponse && consumeOne(&truncateCount_);
  return decision;
}

bool Faults::isFrozen() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return frozen_;
}

bool Faults::isLeaving() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return leaving_;
}

} // namespace standin
