#include "common/faults.h"

namespace standin {

namespace {

bool useUp(std::int64_t *count) {
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
        slowMillis_ = value.get<std::int64_t>();
      else if (field == "fail")
        fail_ = value.get<std::int64_t>();
      else if (field == "lose")
        lose_ = value.get<std::int64_t>();
      else if (field == "cut")
        cut_ = value.get<std::int64_t>();
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
  return {{"slow_ms", slowMillis_}, {"fail", fail_},
          {"lose", lose_},          {"cut", cut_},
          {"freeze", frozen_},      {"leave", leaving_}};
}

FaultDecision Faults::next(bool usesUp) {
  const std::lock_guard<std::mutex> lock(mutex_);
  FaultDecision decision;
  decision.slowMillis = slowMillis_;
  if (!usesUp)
    return decision;
  decision.fail = useUp(&fail_);
  decision.lose = !decision.fail && useUp(&lose_);
  decision.cut = !decision.fail && !decision.lose && useUp(&cut_);
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
