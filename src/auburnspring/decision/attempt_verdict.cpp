#include "auburnspring/decision/attempt_verdict.h"

namespace auburnspring {

namespace {

constexpr int FirstServerError = 500;

bool isUsable(const AttemptReport &report) {
  return report.isWhole && report.isSigned;
}

bool isFailure(const AttemptReport &report) {
  return report.status >= FirstServerError;
}

} // namespace

bool mayHaveRun(const AttemptReport &report) {
  return report.mayBeSent && !report.isNotRun;
}

NextStep decideNext(const ServedRoute &route, const AttemptReport &report,
                    const AttemptLimits &limits) {
  if (isUsable(report) && !report.isNotRun && !isFailure(report))
    return NextStep::Relay;
  const bool mayTry = limits.tried < MaxTries && limits.hasTime;
  if (!mayHaveRun(report))
    return mayTry ? NextStep::Elsewhere : afterBudgetSpent(report, limits.ran);
  const bool mayRepeat =
      route.mayRunAgain() && limits.ran < route.maxAttempts && mayTry;
  return mayRepeat ? NextStep::Elsewhere : afterBudgetSpent(report, limits.ran);
}

NextStep afterBudgetSpent(const AttemptReport &report, std::int64_t ran) {
  if (!mayHaveRun(report))
    return ran > 0 ? NextStep::SayUnknown : NextStep::SayNotRun;
  // A failure of the upstream's own is still its whole answer.
  return isUsable(report) ? NextStep::Relay : NextStep::SayUnknown;
}

} // namespace auburnspring
