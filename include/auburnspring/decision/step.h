#ifndef AUBURNSPRING_DECISION_STEP_H
#define AUBURNSPRING_DECISION_STEP_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/action.h"
#include "auburnspring/decision/event.h"

#include <deque>

namespace auburnspring {

/// Output of the handling of one event: actions for the shell, and internal
/// events that EntryHost::handle() dispatches before it returns.
struct Step {
  Instant now;
  Actions actions;
  std::deque<Event> followUpEvents;

  template <typename T> void addAction(T action) {
    actions.emplace_back(std::move(action));
  }
  template <typename T> void postEvent(T event) {
    followUpEvents.emplace_back(std::move(event));
  }
};

} // namespace auburnspring

#endif
