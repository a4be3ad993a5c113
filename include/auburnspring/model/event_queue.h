#ifndef AUBURNSPRING_MODEL_EVENT_QUEUE_H
#define AUBURNSPRING_MODEL_EVENT_QUEUE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace auburnspring {

/// A virtual clock with a queue of timed callbacks. Callbacks due at the same
/// time run in the order in which they were added, so runs are deterministic.
class EventQueue {
public:
  using Callback = std::function<void()>;

  TimePoint now() const { return now_; }

  /// Schedules `callback`; a `time` in the past counts as now().
  void at(TimePoint time, Callback callback);
  void after(Duration delay, Callback callback) {
    at(now_ + delay, std::move(callback));
  }

  /// Runs all callbacks due up to and including `end`, then sets now() to it.
  void runUntil(TimePoint end);

private:
  struct Entry {
    TimePoint time;
    std::uint64_t sequence;
    Callback callback;
  };
  struct FiresLater {
    bool operator()(const Entry &a, const Entry &b) const {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t nextSequence_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, FiresLater> entries_;
};

} // namespace auburnspring

#endif
