#ifndef AUBURNSPRING_DECISION_REPEAT_ALLOWANCE_H
#define AUBURNSPRING_DECISION_REPEAT_ALLOWANCE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// The part of the retry budget that this host may spend on its own. All hosts
/// share the budget of a pool: in any window, repeats may make up a ratio of
/// the requests plus a fixed slack. A host spends the ratio of what it has
/// itself sent first, and an equal part of the slack.
class RepeatAllowance {
public:
  struct Limits {
    double ratio = 0.1;
    double slack = 10;
    Duration window = std::chrono::seconds(10);
  };
  /// Kept back for requests that another host counts a moment later.
  static constexpr double SafetyFactor = 0.7;

  void setLimits(const Limits &limits) { limits_ = limits; }
  /// How many hosts share the slack of pools.
  void setSharers(std::size_t hosts) { sharers_ = hosts == 0 ? 1 : hosts; }

  void noteFirst(const std::string &pool, std::int64_t count, TimePoint now);
  /// Takes the price of `count` repeats; false if the budget is spent. A pool
  /// whose repeats are all sent by one host does not share its slack.
  bool spend(const std::string &pool, std::int64_t count, TimePoint now,
             bool isSoleSender = false);

private:
  struct Entry {
    TimePoint at;
    std::int64_t count;
  };
  struct Window {
    std::deque<Entry> firsts;
    std::deque<Entry> repeats;
    std::int64_t firstCount = 0;
    std::int64_t repeatCount = 0;
  };
  void expire(Window *window, TimePoint now) const;

  Limits limits_;
  std::size_t sharers_ = 1;
  std::unordered_map<std::string, Window> pools_;
};

} // namespace auburnspring

#endif
