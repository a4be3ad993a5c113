#ifndef AUBURNSPRING_DECISION_RETRY_QUOTA_H
#define AUBURNSPRING_DECISION_RETRY_QUOTA_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// This host's share of the retry budgets of pools, spent without coordination.
/// In any window, all hosts' retries to a pool may make up a ratio of the first
/// attempts plus a fixed slack. A host may spend the ratio of its own first
/// attempts and an equal part of the slack.
class RetryQuota {
public:
  struct Limits {
    double ratio = 0.1;
    double slack = 10;
    Duration window = std::chrono::seconds(10);
  };
  /// Only this share of the budget is spent. The rest is a margin for requests
  /// that another host counts a moment later.
  static constexpr double SafetyFactor = 0.7;

  void setLimits(const Limits &limits) { limits_ = limits; }
  /// Number of hosts that share the slack of each pool.
  void setSharingHosts(std::size_t hosts) {
    sharingHosts_ = hosts == 0 ? 1 : hosts;
  }

  void recordFirstAttempts(const std::string &pool, std::int64_t count,
                           TimePoint now);
  /// Charges `count` retries; false if they exceed the budget. If this host
  /// sends all retries to the pool (`isSoleSender`), the slack is not divided.
  bool spend(const std::string &pool, std::int64_t count, TimePoint now,
             bool isSoleSender = false);

private:
  struct Entry {
    TimePoint at;
    std::int64_t count;
  };
  struct Window {
    std::deque<Entry> firstAttempts;
    std::deque<Entry> retries;
    std::int64_t firstAttemptCount = 0;
    std::int64_t retryCount = 0;
  };
  void trim(Window *window, TimePoint now) const;

  Limits limits_;
  std::size_t sharingHosts_ = 1;
  std::unordered_map<std::string, Window> pools_;
};

} // namespace auburnspring

#endif
