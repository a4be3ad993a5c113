#ifndef STAND_INS_COMMON_FAULTS_H
#define STAND_INS_COMMON_FAULTS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace standin {

/// What one request meets.
struct FaultDecision {
  std::int64_t slowMillis = 0;
  /// Answer 500 without taking effect.
  bool fail = false;
  /// Take effect, then close the connection without an answer.
  bool lose = false;
  /// Close the connection in the middle of the answer.
  bool cut = false;
};

/// The faults that POST /control sets. Counts are used up by one a request.
class Faults {
public:
  /// Reads the fields of a control message; an error text, or "".
  std::string set(const nlohmann::json &control);
  nlohmann::json get() const;

  FaultDecision next(bool usesUp);
  bool isFrozen() const;
  bool isLeaving() const;

private:
  mutable std::mutex mutex_;
  std::int64_t slowMillis_ = 0;
  std::int64_t fail_ = 0;
  std::int64_t lose_ = 0;
  std::int64_t cut_ = 0;
  bool frozen_ = false;
  bool leaving_ = false;
};

} // namespace standin

#endif
