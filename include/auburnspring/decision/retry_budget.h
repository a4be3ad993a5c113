#ifndef AUBURNSPRING_DECISION_RETRY_BUDGET_H
#define AUBURNSPRING_DECISION_RETRY_BUDGET_H

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace auburnspring {

/// Bounds retries and hedges to a share of first attempts, so that they do not
/// overload a failing pool. Any thread may call it.
class RetryBudget {
public:
  /// Each first attempt adds this many thousandths of a retry.
  static constexpr std::int64_t EarnThousandths = 80;
  static constexpr std::int64_t RetryCostThousandths = 1000;
  static constexpr std::int64_t MaxThousandths = 20000;

  void earn() {
    const std::int64_t tokens = tokens_.load(std::memory_order_relaxed);
    if (tokens < MaxThousandths)
      tokens_.fetch_add(EarnThousandths, std::memory_order_relaxed);
  }

  /// Charges one retry; false if the budget is spent.
  bool spend() {
    std::int64_t tokens = tokens_.load(std::memory_order_relaxed);
    while (tokens >= RetryCostThousandths)
      if (tokens_.compare_exchange_weak(tokens, tokens - RetryCostThousandths,
                                        std::memory_order_relaxed))
        return true;
    return false;
  }

  std::int64_t thousandths() const {
    return tokens_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> tokens_{MaxThousandths / 4};
};

} // namespace auburnspring

#endif
