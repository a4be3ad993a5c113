#include "auburnspring/decision/retry_decision.h"

namespace auburnspring {

RetryDecision decideRetry(const ServedRoute &route, AttemptVerdict verdict,
                          const AttemptLimits &limits) {
  if (verdict == AttemptVerdict::Answered)
    return RetryDecision::RelayResponse;
  const bool mayAttempt =
      limits.attemptCount < MaxAttemptsPerRequest && limits.hasTime;
  if (!mayHaveRun(verdict))
    return mayAttempt ? RetryDecision::RetryElsewhere
                      : decideWithoutRetry(verdict, limits.possibleRuns);
  const bool mayRetry = route.isRetryable() &&
                        limits.possibleRuns < route.maxAttempts && mayAttempt;
  return mayRetry ? RetryDecision::RetryElsewhere
                  : decideWithoutRetry(verdict, limits.possibleRuns);
}

RetryDecision decideWithoutRetry(AttemptVerdict verdict,
                                 std::int64_t possibleRuns) {
  if (!mayHaveRun(verdict))
    return possibleRuns > 0 ? RetryDecision::ReportUnknown
                            : RetryDecision::ReportNotRun;
  // A server error of the upstream is relayed like any other response.
  const bool isUpstreams = verdict == AttemptVerdict::Answered ||
                           verdict == AttemptVerdict::ServerError;
  return isUpstreams ? RetryDecision::RelayResponse
                     : RetryDecision::ReportUnknown;
}

} // namespace auburnspring
