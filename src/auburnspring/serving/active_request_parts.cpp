#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/log.h"

namespace auburnspring {

bool ActiveRequest::refuseIfQuarantined() {
  const PartQuarantines::Check check = context_->partGuard->check(partNames_);
  if (check.verdict != PartVerdict::Quarantined)
    return false;
  refuseQuarantined(check);
  return true;
}

void ActiveRequest::refuseQuarantined(const PartQuarantines::Check &check) {
  constexpr std::string_view Reason = "part_quarantined";
  logEvent(LogLevel::Info, "request_quarantined",
           {{"id", request_.id},
            {"part", check.part},
            {"possible_runs", static_cast<long>(possibleRuns_)},
            {"next_trial_ms",
             check.nextTrialIn ? toMillis(*check.nextTrialIn) : -1.0}});
  if (streamStarted_)
    return abortStream(Reason);
  if (possibleRuns_ > 0)
    return refuse(502, Reason);
  // Before the next trial it is of no use to come back.
  refuse(503, Reason, check.nextTrialIn);
}

bool ActiveRequest::holdIfQuarantined() {
  if (isTrial_ && triedUpstreams_.empty())
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
  context_->partGuard->requestTrial(
      check.part, [weak = weak_from_this(), check](bool granted) {
        const auto self = weak.lock();
        if (!self || self->done_)
          return;
        if (!granted)
          return self->refuseQuarantined(check);
        self->isTrial_ = true;
        self->dispatch();
      });
  return true;
}

void ActiveRequest::noteSound(Attempt *attempt) {
  if (partNames_.empty() || attempt->isSound() || attempt->head().status >= 500)
    return;
  attempt->setSound();
  context_->partGuard->onSound(partNames_);
}

void ActiveRequest::noteBroken(const Attempt &attempt) {
  const AttemptReport report = attempt.report();
  if (partNames_.empty() || attempt.isSound() || report.isComplete ||
      !mayHaveRun(report))
    return;
  context_->partGuard->onBroken(partNames_, attempt.upstream().entry);
}

} // namespace auburnspring
