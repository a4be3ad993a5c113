#ifndef AUBURNSPRING_SERVING_RESPONSE_SHARE_H
#define AUBURNSPRING_SERVING_RESPONSE_SHARE_H

#include "auburnspring/serving/response_budget.h"

namespace auburnspring {

/// What one response holds of a budget, returned at the end. A share that holds
/// nothing may outlive its budget.
class ResponseShare {
public:
  explicit ResponseShare(ResponseBudget *budget) : budget_(budget) {}
  ~ResponseShare() {
    if (held_ > 0)
      budget_->replace(held_, 0);
  }
  ResponseShare(const ResponseShare &) = delete;
  ResponseShare &operator=(const ResponseShare &) = delete;

  /// Sets the bytes held. Returns false, and changes nothing, if the budget
  /// has no room for them.
  bool resize(std::size_t bytes) {
    if (!budget_->replace(held_, bytes))
      return false;
    held_ = bytes;
    return true;
  }

private:
  ResponseBudget *budget_;
  std::size_t held_ = 0;
};

} // namespace auburnspring

#endif
