#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/request_name.h"

namespace auburnspring {

void ActiveRequest::beginUnlessQuarantined() {
  std::vector<std::string> names = partNames_;
  for (std::uint32_t stage = 0; stage < route_->stages.size(); ++stage)
    names.push_back(stageName(requestName_, stage));
  const PartQuarantines::Check check = context_->partGuard->check(names);
  if (check.verdict == PartVerdict::Quarantined)
    return refuseQuarantined(check);
  if (check.verdict == PartVerdict::TrialDue && isRequestName(check.part))
    return requestTrial(check, &ActiveRequest::begin);
  begin();
}

void ActiveRequest::requestTrial(const PartQuarantines::Check &check,
                                 void (ActiveRequest::*next)()) {
  context_->partGuard->requestTrial(
      check.part, handlers_.bind([this, check, next](bool granted) {
        if (!granted)
          return refuseQuarantined(check);
        isTrial_ = true;
        (this->*next)();
      }));
}

void ActiveRequest::refuseQuarantined(const PartQuarantines::Check &check) {
  const std::string_view reason =
      isRequestName(check.part) ? "request_quarantined" : "part_quarantined";
  logEvent(LogLevel::Info, "request_quarantined",
           {{"id", request_.id},
            {"part", check.part},
            {"possible_runs", static_cast<long>(possibleRuns_)},
            {"next_trial_ms",
             check.nextTrialIn ? toMillis(*check.nextTrialIn) : -1.0}});
  if (streamStarted_)
    return abortStream(reason);
  if (possibleRuns_ > 0)
    return refuse(502, reason);
  // Before the next trial it is of no use to come back.
  refuse(503, reason, check.nextTrialIn);
}

bool ActiveRequest::holdIfQuarantined() {
  if (hasOpenTrial())
    return false;
  const PartQuarantines::Check check = context_->partGuard->check(partNames_);
  if (check.verdict == PartVerdict::Free)
    return false;
  if (hasLiveAttempt())
    return true;
  if (check.verdict == PartVerdict::Quarantined || !triedUpstreams_.empty()) {
    refuseQuarantined(check);
    return true;
  }
  requestTrial(check, &ActiveRequest::dispatch);
  return true;
}

void ActiveRequest::noteSound(Attempt *attempt) {
  if (attempt->isHandOver() || attempt->isSound())
    return;
  attempt->setSound();
  context_->partGuard->onSound(partNames_);
}

void ActiveRequest::reportParts(Attempt *attempt) {
  if (*attempt->verdict() == AttemptVerdict::Answered)
    return noteSound(attempt);
  if (*attempt->verdict() != AttemptVerdict::Broken || attempt->isHandOver() ||
      attempt->isSound())
    return;
  context_->partGuard->onBroken(partNames_, attempt->upstream().entry,
                                steadyNow() - attempt->startedAt());
}

} // namespace auburnspring
