// The part of a request's run that claims its key and settles the claim.
#include "auburnspring/decision/request_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration ClaimTimeout = std::chrono::milliseconds(500);
constexpr Duration FirstLookAgain = std::chrono::milliseconds(50);
constexpr Duration MaxLookAgain = std::chrono::milliseconds(800);

} // namespace

void RequestRun::askForClaim(bool refresh, const RunContext &context,
                             Step *step) {
  phase_ = Phase::Claiming;
  claimPending_ = true;
  lookAgainAt_ = TimePoint::max();
  Claim claim;
  claim.request = arrived_.request;
  claim.key = scopedKey_;
  claim.bodyDigest = bodyDigest_;
  claim.answerBy = std::min(deadline_, step->now.steady + ClaimTimeout);
  claim.refresh = refresh;
  context.ledger.claim(claim, step);
}

void RequestRun::lookAgainLater(Step *step) {
  phase_ = Phase::AwaitingOther;
  lookAgainWait_ = std::clamp(lookAgainWait_ * 2, FirstLookAgain, MaxLookAgain);
  lookAgainAt_ = step->now.steady + lookAgainWait_;
}

void RequestRun::onClaim(const ClaimDecided &event, const RunContext &context,
                         Step *step) {
  claimPending_ = false;
  if (event.verdict == ClaimVerdict::Granted) {
    claimed_ = true;
    nonce_ = event.nonce;
  }
  if (answered_)
    return settle(context, step);
  switch (event.verdict) {
  case ClaimVerdict::Granted:
    otherMayRun_ = false;
    keyIsFresh_ = true;
    phase_ = Phase::Running;
    if (step->now.steady >= deadline_)
      return giveUp("the claim came after the deadline", context, step);
    return admit(context, step);
  case ClaimVerdict::Mismatch:
    return reject("the Idempotency-Key was used with another body", context,
                  step);
  case ClaimVerdict::Unavailable:
    if (otherMayRun_)
      return lookAgainLater(step);
    return giveUp("the ledger of claims can't be written", context, step);
  case ClaimVerdict::Taken:
    otherMayRun_ = true;
    if (!event.outcome)
      return lookAgainLater(step);
    return relay(event, context, step);
  }
}

void RequestRun::relay(const ClaimDecided &event, const RunContext &context,
                       Step *step) {
  if (*event.outcome != Outcome::Complete)
    return giveUp(absl::StrCat("an earlier call with this key at ",
                               event.claimant, " ended without an answer"),
                  context, step);
  AnswerCaller relayed;
  relayed.outcome = Outcome::Complete;
  relayed.body = event.answer;
  relayed.reason = absl::StrCat("relayed from ", event.claimant);
  answer(std::move(relayed), context, step);
}

// Ends the claim without an answer: released if nothing ran under it, else
// recorded as unknown.
void RequestRun::settle(const RunContext &context, Step *step) {
  if (!claimed_)
    return;
  claimed_ = false;
  if (onceMayHaveRun_)
    context.ledger.record(scopedKey_, nonce_, bodyDigest_, Outcome::Unknown, "",
                          step);
  else
    context.ledger.release(scopedKey_, nonce_, step);
}

// A caller that calls again after an answer it never got must not be told
// not-run by a host that could not look its key up.
bool RequestRun::mayHaveRunEarlier() const {
  return route().repeat == RepeatRule::Never && !arrived_.key.empty() &&
         !arrived_.firstTry && !keyIsFresh_;
}

} // namespace auburnspring
