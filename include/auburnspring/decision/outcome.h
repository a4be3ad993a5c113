#ifndef AUBURNSPRING_DECISION_OUTCOME_H
#define AUBURNSPRING_DECISION_OUTCOME_H

#include <absl/strings/string_view.h>

namespace auburnspring {

/// What a caller is told about its request.
enum class Outcome {
  /// The whole answer.
  Complete,
  /// No stage has run and none will, in this call or, for a route that is never
  /// repeated, in any earlier call with its key.
  NotRun,
  /// Stages that may be repeated have run, no other has run or will. Sending
  /// the request again is safe.
  Incomplete,
  /// The stage that may not be repeated may have run.
  Unknown,
  /// Malformed or not permitted; no stage that may not be repeated has run.
  Rejected,
};

/// The word in the answer's header and body, such as "not-run".
const char *toString(Outcome outcome);

/// Reads what toString wrote; false if it is no outcome.
bool parseOutcome(absl::string_view text, Outcome *outcome);

} // namespace auburnspring

#endif
