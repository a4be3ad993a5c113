#ifndef AUBURNSPRING_DECISION_PART_CRASH_H
#define AUBURNSPRING_DECISION_PART_CRASH_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// An upstream broke off a response to a request with this prompt part, or to
/// this request, before it had proved sound.
struct PartCrash {
  /// Name of the part, from partName(), or of the request as a whole, from
  /// requestName().
  std::string part;
  /// The incarnation that broke off; several breaks of one incarnation are one
  /// crash.
  std::string upstream;
  std::int64_t startedAtMillis = 0;
  /// Time since the break.
  Duration age{0};
  /// The request lacked a part that is suspected for the same crashes, so it
  /// tells the two apart.
  bool isDistinguishing = false;
  /// How long the request had run there. Unknown counts as long.
  Duration ranFor = std::chrono::hours(1);
};

} // namespace auburnspring

#endif
