#include "auburnspring/decision/retry_decision.h"

namespace auburnspring {

namespace {

constexpr int FirstServerError = 500;

bool isUsable(const AttemptReport &report) {
  return report.isComplete && report.isSigned;
}

bool isServerError(const AttemptReport &report) {
  return report.status >= FirstServerError;
}

} // namespace

bool mayHaveRun(const AttemptReport &report) {
  return report.mayHaveBeenSent && !report.isNotRun;
}

RetryDecision decideRetry(const ServedRoute &route, const AttemptReport &report,
                          const AttemptLimits &limits) {
  if (isUsable(report) && !report.isNotRun && !isServerError(report))
    return RetryDecision::RelayResponse;
  const bool mayAttempt =
      limits.attemptCount < MaxAttemptsPerRequest && limits.hasTime;
  if (!mayHaveRun(report))
    return mayAttempt ? RetryDecision::RetryElsewhere
                      : decideWithoutRetry(report, limits.possibleRuns);
  const bool mayRetry = route.isRetryable() &&
                        limits.possibleRuns < route.maxAttempts && mayAttempt;
  return mayRetry ? RetryDecision::RetryElsewhere
                  : decideWithoutRetry(report, limits.possibleRuns);
}

RetryDecision decideWithoutRetry(const AttemptReport &report,
                                 std::int64_t possibleRuns) {
  if (!mayHaveRun(report))
    return possibleRuns > 0 ? RetryDecision::ReportUnknown
                            : RetryDecision::ReportNotRun;
  // A complete, signed error response is relayed like any other.
  return isUsable(report) ? RetryDecision::RelayResponse
                          : RetryDecision::ReportUnknown;
}

} // namespace auburnspring
