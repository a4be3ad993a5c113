#ifndef AUBURNSPRING_DECISION_UPSTREAM_STATEMENT_H
#define AUBURNSPRING_DECISION_UPSTREAM_STATEMENT_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnspring {

/// What a statement is about, which sets the unit of its value.
enum class StatementKind : std::uint8_t {
  /// Requests a second that the upstream takes of all hosts together.
  RequestLimit,
  /// Requests a second that it may turn away for want of room, of all hosts
  /// together, before it crashes.
  RejectionLimit,
  /// Milliseconds for which it stays cold.
  Cold,
  /// How long its work takes, as a multiple of what its pool usually takes at
  /// equal load.
  Slowdown,
};

/// A fact about one incarnation of an upstream that is of use to all hosts.
/// Hosts pass statements on in heartbeats; of two about the same incarnation
/// and kind the later one holds.
struct UpstreamStatement {
  std::string upstream;
  /// Start time of the incarnation (wall clock, ms).
  std::int64_t startedAtMillis = 0;
  StatementKind kind = StatementKind::RequestLimit;
  /// In the unit of the kind; not set if the fact has ceased to hold.
  std::optional<double> value;
  /// Time since it was stated or observed.
  Duration age{0};
};

} // namespace auburnspring

#endif
