#include "auburnspring/model/event_queue.h"

#include <algorithm>

namespace auburnspring {

void EventQueue::at(TimePoint time, Work work) {
  entries_.push({std::max(time, now_), order_++, std::move(work)});
}

void EventQueue::runUntil(TimePoint end) {
  while (!entries_.empty() && entries_.top().time <= end) {
    Entry entry = entries_.top();
    entries_.pop();
    now_ = entry.time;
    entry.work();
  }
  now_ = end;
}

} // namespace auburnspring
