#ifndef AUBURNSPRING_DECISION_STREAM_ORIGIN_H
#define AUBURNSPRING_DECISION_STREAM_ORIGIN_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// Where a stream began. It may go on only at upstreams of that software
/// version.
struct StreamOrigin {
  /// Id of the request that brought the first event.
  std::string id;
  std::string pool;
  std::string softwareVersion;
  /// Grows when the stream is dispatched again before its first event.
  std::uint64_t revision = 0;
  /// How long the stream may still be resumed.
  Duration expiresIn{0};
  /// The first event has come from this version, so that the origin is final.
  bool isBound = false;

  /// Two origins of a stream: true if this one replaces the other.
  bool replaces(const StreamOrigin &other) const {
    return isBound != other.isBound ? isBound : revision > other.revision;
  }
};

} // namespace auburnspring

#endif
