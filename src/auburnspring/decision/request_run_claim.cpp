// RequestRun: acquiring, polling and settling the claim on the request's key.
#include "auburnspring/decision/request_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration ClaimTimeout = std::chrono::milliseconds(500);
constexpr Duration MinLedgerPollDelay = std::chrono::milliseconds(50);
constexpr Duration MaxLedgerPollDelay = std::chrono::milliseconds(800);

} // namespace

void RequestRun::requestClaim(bool refresh, const RunContext &context,
                              Step *step) {
  phase_ = Phase::Claiming;
  claimPending_ = true;
  ledgerPollAt_ = TimePoint::max();
  Claim claim;
  claim.request = arrived_.request;
  claim.key = scopedKey_;
  claim.bodyDigest = bodyDigest_;
  claim.verdictDeadline = std::min(deadline_, step->now.steady + ClaimTimeout);
  claim.refresh = refresh;
  context.ledger.claim(claim, step);
}

void RequestRun::scheduleLedgerPoll(Step *step) {
  phase_ = Phase::AwaitingClaimant;
  ledgerPollDelay_ =
      std::clamp(ledgerPollDelay_ * 2, MinLedgerPollDelay, MaxLedgerPollDelay);
  ledgerPollAt_ = step->now.steady + ledgerPollDelay_;
}

void RequestRun::onClaim(const ClaimDecided &event, const RunContext &context,
                         Step *step) {
  claimPending_ = false;
  if (event.verdict == ClaimVerdict::Granted) {
    claimed_ = true;
    nonce_ = event.nonce;
  }
  if (responded_)
    return settleClaim(context, step);
  switch (event.verdict) {
  case ClaimVerdict::Granted:
    otherHostMayHaveRun_ = false;
    keyKnownUnused_ = true;
    phase_ = Phase::Running;
    if (step->now.steady >= deadline_)
      return giveUp("the claim was granted after the deadline", context, step);
    return admit(context, step);
  case ClaimVerdict::Mismatch:
    return reject("the Idempotency-Key was used with another body", context,
                  step);
  case ClaimVerdict::Unavailable:
    if (otherHostMayHaveRun_)
      return scheduleLedgerPoll(step);
    return giveUp("the claim ledger can't be written", context, step);
  case ClaimVerdict::Taken:
    otherHostMayHaveRun_ = true;
    if (!event.outcome)
      return scheduleLedgerPoll(step);
    return relay(event, context, step);
  }
}

void RequestRun::relay(const ClaimDecided &event, const RunContext &context,
                       Step *step) {
  if (*event.outcome != Outcome::Complete)
    return giveUp(absl::StrCat("an earlier call with this key at ",
                               event.claimant, " ended without a result"),
                  context, step);
  RespondToCaller relayed;
  relayed.outcome = Outcome::Complete;
  relayed.body = event.response;
  relayed.reason = absl::StrCat("relayed from ", event.claimant);
  respond(std::move(relayed), context, step);
}

// Ends the claim without a result: releases it if nothing ran under it, else
// records the outcome as unknown.
void RequestRun::settleClaim(const RunContext &context, Step *step) {
  if (!claimed_)
    return;
  claimed_ = false;
  if (atMostOnceMayHaveRun_)
    context.ledger.record(scopedKey_, nonce_, bodyDigest_, Outcome::Unknown, "",
                          step);
  else
    context.ledger.release(scopedKey_, nonce_, step);
}

// A caller that retries after a lost response must not receive not-run from a
// host that could not look up the key.
bool RequestRun::mayHaveRunEarlier() const {
  return route().retryPolicy == RetryPolicy::Never && !arrived_.key.empty() &&
         !arrived_.firstTry && !keyKnownUnused_;
}

} // namespace auburnspring
