#ifndef AUBURNSPRING_DECISION_PART_QUARANTINE_H
#define AUBURNSPRING_DECISION_PART_QUARANTINE_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring {

/// What the hosts share about one prompt part. Of two states of a part the one
/// of the higher generation holds.
struct PartQuarantine {
  std::string part;
  /// Odd while the part is quarantined, even after it was released.
  std::uint64_t generation = 0;
  /// Requests with the part that were let through on trial.
  std::uint32_t trials = 0;
  /// A crash has told the part from those suspected for the same crashes.
  bool isConfirmed = false;
  /// Time since the first of the crashes that the quarantine rests on.
  Duration firstCrashAge{0};
  /// The incarnation that crashed first. Parts with the same are suspected for
  /// the same crashes.
  std::string evidence;
  /// Time until the next trial; negative if it is overdue.
  Duration nextTrialIn{0};
  /// Time since a request last met the quarantine at any host, or since its
  /// begin or end. Without it, hosts that forget a state would learn it from
  /// each other for ever.
  Duration idleFor{0};

  bool isQuarantined() const { return generation % 2 == 1; }
};

} // namespace auburnspring

#endif
