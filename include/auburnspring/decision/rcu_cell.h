#ifndef AUBURNSPRING_DECISION_RCU_CELL_H
#define AUBURNSPRING_DECISION_RCU_CELL_H

#include <urcu/urcu-bp.h>

#include <atomic>
#include <memory>

#ifdef __SANITIZE_THREAD__
// The library's own synchronisation is not instrumented; the sanitizer is told
// that what a reader did comes before the free that follows the grace period.
extern "C" void __tsan_acquire(void *address);
extern "C" void __tsan_release(void *address);
#define AUBURNSPRING_RCU_READ_ENDS(cell) __tsan_release(cell)
#define AUBURNSPRING_RCU_GRACE_ENDS(cell) __tsan_acquire(cell)
#else
#define AUBURNSPRING_RCU_READ_ENDS(cell) (void)(cell)
#define AUBURNSPRING_RCU_GRACE_ENDS(cell) (void)(cell)
#endif

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
    const ReadSection section(&marker_);
    return use(*value_.load(std::memory_order_acquire));
  }

  /// Replaces the value and frees the old one after its last reader has left.
  void publish(std::unique_ptr<const T> next) {
    const std::unique_ptr<const T> old(value_.exchange(next.release()));
    urcu_bp_synchronize_rcu();
    AUBURNSPRING_RCU_GRACE_ENDS(&marker_);
  }

private:
  class ReadSection {
  public:
    explicit ReadSection(char *marker) : marker_(marker) {
      urcu_bp_read_lock();
    }
    ~ReadSection() {
      AUBURNSPRING_RCU_READ_ENDS(marker_);
      urcu_bp_read_unlock();
    }
    ReadSection(const ReadSection &) = delete;
    ReadSection &operator=(const ReadSection &) = delete;

  private:
    char *marker_;
  };

  std::atomic<const T *> value_;
  /// An address for the sanitizer; holds nothing.
  mutable char marker_ = 0;
};

} // namespace auburnspring

#endif
