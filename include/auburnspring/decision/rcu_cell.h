#ifndef AUBURNSPRING_DECISION_RCU_CELL_H
#define AUBURNSPRING_DECISION_RCU_CELL_H

#include <urcu/urcu-bp.h>

#include <atomic>
#include <memory>

namespace auburnspring {

/// Holds one immutable value that many threads read without a lock and one
/// thread replaces. A reader takes no lock inside its read section, so that
/// publish() never waits for one.
template <typename T> class RcuCell {
public:
  explicit RcuCell(std::unique_ptr<const T> first) : value_(first.release()) {}
  ~RcuCell() { delete value_.load(); }
  RcuCell(const RcuCell &) = delete;
  RcuCell &operator=(const RcuCell &) = delete;

  /// Calls `use` with the present value and returns what it returns, which
  /// must not point into the value.
  template <typename F> auto read(F use) const {
    const ReadSection section;
    return use(*value_.load(std::memory_order_acquire));
  }

  /// Replaces the value and frees the old one after its last reader has left.
  void publish(std::unique_ptr<const T> next) {
    const std::unique_ptr<const T> old(value_.exchange(next.release()));
    urcu_bp_synchronize_rcu();
  }

private:
  struct ReadSection {
    ReadSection() { urcu_bp_read_lock(); }
    ~ReadSection() { urcu_bp_read_unlock(); }
    ReadSection(const ReadSection &) = delete;
    ReadSection &operator=(const ReadSection &) = delete;
  };

  std::atomic<const T *> value_;
};

} // namespace auburnspring

#endif
