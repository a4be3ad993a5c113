#ifndef AUBURNSPRING_DECISION_PART_CRASH_H
#define AUBURNSPRING_DECISION_PART_CRASH_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// An upstream broke off a response to a request with this prompt part before
/// the request had proved sound.
struct PartCrash {
  /// Name of the part, from partName().
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
};

} // namespace auburnspring

#endif
