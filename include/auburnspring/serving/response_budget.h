#ifndef AUBURNSPRING_SERVING_RESPONSE_BUDGET_H
#define AUBURNSPRING_SERVING_RESPONSE_BUDGET_H

#include <cstddef>

namespace auburnspring {

/// Bounds the bytes that all responses in progress at a host hold together. A
/// response may hold as much as is left beside all of them, itself included
/// (the dynamic thresholds of shared packet buffers): a large one passes while
/// the others are small, responses without end bound each other, and there is
/// always room for another small one.
class ResponseBudget {
public:
  /// A quarter of the working memory of the smallest host.
  static constexpr std::size_t DefaultBytes = 32 << 20;

  explicit ResponseBudget(std::size_t bytes = DefaultBytes)
      : capacity_(bytes) {}
  ResponseBudget(const ResponseBudget &) = delete;
  ResponseBudget &operator=(const ResponseBudget &) = delete;

  /// Replaces the bytes that one response holds. Returns false, and changes
  /// nothing, if it wants to hold more than it does and more than is left.
  bool replace(std::size_t held, std::size_t wanted) {
    const std::size_t total = held_ - held + wanted;
    if (wanted > held && total + wanted > capacity_)
      return false;
    held_ = total;
    return true;
  }

  std::size_t heldBytes() const { return held_; }

private:
  std::size_t capacity_;
  std::size_t held_ = 0;
};

} // namespace auburnspring

#endif
