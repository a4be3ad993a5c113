#ifndef AUBURNSPRING_SOAK_STREAM_RESUMPTION_H
#define AUBURNSPRING_SOAK_STREAM_RESUMPTION_H

#include "auburnspring/base/time.h"

#include <string>

namespace auburnspring::soak {

/// A broken stream that its caller is to take up again.
struct StreamResumption {
  /// The request that brought its first event, and that event's version.
  std::string streamId;
  std::string version;
  bool isSingleAttempt = false;
  int lastEventId = 0;
  /// Requests that resumed it already.
  int tries = 0;
  TimePoint deadline;
  /// Wait before the next request, as a host has asked for.
  Duration delay{0};
};

} // namespace auburnspring::soak

#endif
