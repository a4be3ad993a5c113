#ifndef STAND_INS_COMMON_FAULTS_H
#define STAND_INS_COMMON_FAULTS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace standin {

/// Faults to apply to one request.
struct FaultDecision {
  /// Delay before the request is handled.
  std::int64_t delayMillis = 0;
  /// Respond with status 500 without executing the request.
  bool fail = false;
  /// Execute the request, then close the connection without a response.
  bool dropResponse = false;
  /// Close the connection in the middle of the response.
  bool truncate = false;
};

/// The faults set by POST /control. Each affected request decrements one of
/// the counts fail, lose and cut.
class Faults {
public:
  /// Applies the fields of a control message; returns an error text, or "".
  std::string set(const nlohmann::json &control);
  nlohmann::json get() const;

  /// Faults of the next request. If `consumesCounts` is false, only the delay
  /// applies and no count is decremented.
  FaultDecision next(bool consumesCounts);
  bool isFrozen() const;
  bool isLeaving() const;

private:
  mutable std::mutex mutex_;
  std::int64_t delayMillis_ = 0;
  std::int64_t failCount_ = 0;
  std::int64_t dropCount_ = 0;
  std::int64_t truncateCount_ = 0;
  bool frozen_ = false;
  bool leaving_ = false;
};

} // namespace standin

#endif
