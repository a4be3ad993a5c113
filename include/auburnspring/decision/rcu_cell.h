#ifndef AUBURNSPRING_DECISION_RCU_CELL_H
#define AUBURNSPRING_DECISION_RCU_CELL_H

#include <urcu/urcu-bp.h>

#include <atomic>
#include <memory>

#ifdef __SANITIZE_THREAD__
// ThreadSanitizer does not instrument the library's synchronisation. These
// annotations order a reader's accesses before the free that follows the grace
// period.
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
/// thread replaces. `use` in read() must not take a lock, so that publish()
/// never waits for one.
template <typename T> class RcuCell {
public:
  explicit RcuCell(std::unique_ptr<const T> first) : value_(first.release()) {}
  ~RcuCell() { delete value_.load(); }
  RcuCell(const RcuCell &) = delete;
  RcuCell &operator=(const RcuCell &) = delete;

  /// Calls `use` with the current value and returns its result, which must not
  /// refer to the value.
  template <typename F> auto read(F use) const {
    const ReadSection section(&marker_);
    return use(*value_.load(std::memory_order_acquire));
  }

  /// Replaces the value and frees the old one after the grace period.
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
  /// Only its address is used, in the sanitizer annotations.
  mutable char marker_ = 0;
};

} // namespace auburnspring

#endif
