#ifndef AUBURNSPRING_MODEL_EVENT_QUEUE_H
#define AUBURNSPRING_MODEL_EVENT_QUEUE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace auburnspring {

/// A virtual clock with the work that is due on it. Work for one time runs in
/// the order in which it was added, so that a run repeats exactly.
class EventQueue {
public:
  using Work = std::function<void()>;

  TimePoint now() const { return now_; }

  void at(TimePoint time, Work work);
  void after(Duration delay, Work work) { at(now_ + delay, std::move(work)); }

  /// Runs all that is due up to `end`, which becomes the present.
  void runUntil(TimePoint end);

private:
  struct Entry {
    TimePoint time;
    std::uint64_t order;
    Work work;
  };
  struct Later {
    bool operator()(const Entry &a, const Entry &b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
};

} // namespace auburnspring

#endif
