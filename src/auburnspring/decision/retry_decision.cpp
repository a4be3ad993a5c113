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

NextStep decideNext(const ServedRoute &route, const AttemptReport &report,
                    const AttemptLimits &limits) {
  if (isUsable(report) && !report.isNotRun && !isServerError(report))
    return NextStep::Relay;
  const bool mayAttempt =
      limits.attemptCount < MaxAttemptsPerRequest && limits.hasTime;
  if (!mayHaveRun(report))
    return mayAttempt ? NextStep::Elsewhere
                      : afterBudgetSpent(report, limits.possibleRuns);
  const bool mayRetry = route.mayRunAgain() &&
                        limits.possibleRuns < route.maxAttempts && mayAttempt;
  return mayRetry ? NextStep::Elsewhere
                  : afterBudgetSpent(report, limits.possibleRuns);
}

NextStep afterBudgetSpent(const AttemptReport &report, std::int64_t ran) {
  if (!mayHaveRun(report))
    return ran > 0 ? NextStep::ReportUnknown : NextStep::SayNotRun;
  // A complete, signed error response is relayed like any other.
  return isUsable(report) ? NextStep::Relay : NextStep::ReportUnknown;
}

} // namespace auburnspring
