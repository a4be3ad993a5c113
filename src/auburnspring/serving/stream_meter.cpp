#include "auburnspring/serving/stream_meter.h"

#include <algorithm>

namespace auburnspring {

void StreamMeter::addEvent(const StreamEvent &event, bool isRepeated) {
  if (!event.hasData)
    return;
  idleBytes_ -= std::min(idleBytes_, event.bytes.size());
  if (isRepeated) {
    repeatedBytes_ += event.bytes.size();
    return;
  }
  idleBytes_ = 0;
  ++events_;
}

bool StreamMeter::isExceeded() const {
  const bool hasTooManyEvents =
      outputTokens_ > 0 &&
      events_ > outputTokens_ * MaxEventsPerToken + MaxExtraEvents;
  return hasTooManyEvents || idleBytes_ > MaxIdleBytes ||
         repeatedBytes_ > MaxRepeatedBytes;
}

} // namespace auburnspring
