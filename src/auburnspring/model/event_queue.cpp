#include "auburnspring/model/event_queue.h"

#include <algorithm>

namespace auburnspring {

void EventQueue::at(TimePoint time, Callback callback) {
  entries_.push({std::max(time, now_), nextSequence_++, std::move(callback)});
}

void EventQueue::runUntil(TimePoint end) {
  while (!entries_.empty() && entries_.top().time <= end) {
    Entry entry = entries_.top();
    entries_.pop();
    now_ = entry.time;
    entry.callback();
  }
  now_ = end;
}

} // namespace auburnspring
