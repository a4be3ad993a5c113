#ifndef AUBURNSPRING_DECISION_OUTCOME_H
#define AUBURNSPRING_DECISION_OUTCOME_H

#include <absl/strings/string_view.h>

namespace auburnspring {

/// Outcome of a request as reported to the caller.
enum class Outcome {
  /// The response carries the complete result.
  Complete,
  /// No stage has run or will run, neither in this call nor, on a non-retryable
  /// route, in any earlier call with the same key.
  NotRun,
  /// Only retryable stages have run, and no other will. Retrying the request is
  /// safe.
  Incomplete,
  /// A non-retryable stage may have run.
  Unknown,
  /// Malformed or not permitted; no non-retryable stage has run.
  Rejected,
};

/// The name used in the response's header and body, such as "not-run".
const char *toString(Outcome outcome);

/// Parses the output of toString; false if `text` is not an outcome.
bool parseOutcome(absl::string_view text, Outcome *outcome);

} // namespace auburnspring

#endif
