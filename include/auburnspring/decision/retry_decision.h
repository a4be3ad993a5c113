#ifndef AUBURNSPRING_DECISION_RETRY_DECISION_H
#define AUBURNSPRING_DECISION_RETRY_DECISION_H

#include "auburnspring/decision/attempt_verdict.h"
#include "auburnspring/decision/routing_table.h"

#include <cstdint>

namespace auburnspring {

/// What to do after an attempt.
enum class RetryDecision {
  /// Relay the upstream's response to the caller.
  RelayResponse,
  /// Retry at another upstream.
  RetryElsewhere,
  /// Respond that the request has not run and will not run.
  ReportNotRun,
  /// Respond that the request may have run.
  ReportUnknown,
};

/// State of a request that limits its further attempts.
struct AttemptLimits {
  /// Attempts so far that may have run, including this one.
  std::int64_t possibleRuns = 0;
  /// All attempts so far, including refused ones.
  std::int64_t attemptCount = 0;
  bool hasTime = true;
};

/// Limit on all attempts of one request, including refused ones.
constexpr std::int64_t MaxAttemptsPerRequest = 4;

/// The only place that decides whether a request is retried and what its caller
/// is sent. Before a retry, the code that calls it charges the retry budget
/// and, if that is spent, uses `decideWithoutRetry` instead.
RetryDecision decideRetry(const ServedRoute &route, AttemptVerdict verdict,
                          const AttemptLimits &limits);
/// The decision without a retry. `possibleRuns` is as in AttemptLimits: if an
/// earlier attempt may have run, the result is never ReportNotRun.
RetryDecision decideWithoutRetry(AttemptVerdict verdict,
                                 std::int64_t possibleRuns);

} // namespace auburnspring

#endif
