#ifndef AUBURNSPRING_DECISION_PERMIT_END_H
#define AUBURNSPRING_DECISION_PERMIT_END_H

#include <cstdint>

namespace auburnspring {

/// How the request of a permit has ended.
enum class PermitEnd : std::uint8_t {
  Done,
  /// The upstream turned it away for want of room.
  Rejected,
  /// Its host has given it up; the upstream will notice.
  Cancelled,
};

} // namespace auburnspring

#endif
