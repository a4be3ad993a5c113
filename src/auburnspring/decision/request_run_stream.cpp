// RequestRun: streamed output of generations, and silence.
#include "auburnspring/decision/request_run.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr std::uint32_t MaxReplacements = 3;
// Silence after which a replacement may go to a silent upstream itself: its
// connection is then more likely lost.
constexpr Duration SilenceOfLostConnection = std::chrono::seconds(3);

} // namespace

// Attempts at other versions that run beside end here, so that from the first
// output on all attempts of a part are at one version.
void RequestRun::bindToVersion(const LiveAttempt &begun, Step *step) {
  std::optional<std::string> &version = parts_[begun.id.part].version;
  if (version)
    return;
  version = begun.upstream->listed.version;
  for (LiveAttempt &attempt : attempts_)
    if (attempt.id.stage == begun.id.stage &&
        attempt.id.part == begun.id.part &&
        attempt.upstream->listed.version != *version)
      cancel(&attempt, step);
}

void RequestRun::onProgress(const AttemptProgress &event, Step *step) {
  LiveAttempt *attempt = findAttempt(event.attempt);
  if (attempt == nullptr || attempt->cancelled || responded_ ||
      attempt->id.stage != stage_)
    return;
  bindToVersion(*attempt, step);
  attempt->lastOutputAt = step->now.steady;
  parts_[attempt->id.part].silentAt =
      step->now.steady + SilenceBeforeReplacement;
  if (attempt->hasGap || event.offset != attempt->receivedText.size()) {
    attempt->hasGap = true;
    return;
  }
  attempt->receivedText += event.text;
  settleContest(*attempt, step);
  const bool last = attempt->id.stage + 1U == route().stages.size();
  if (!arrived_.stream || !last ||
      attempt->receivedText.size() <= streamedBytes_)
    return;
  step->addAction(StreamToCaller{arrived_.request,
                                 attempt->receivedText.substr(streamedBytes_)});
  streamedBytes_ = attempt->receivedText.size();
}

// Excludes the part's silent upstreams and keeps the longest text that is
// there.
Duration RequestRun::collectSilent(std::uint32_t part, TimePoint now) {
  PartState &state = parts_[part];
  Duration silence = Duration::max();
  for (const LiveAttempt &attempt : attempts_) {
    if (attempt.cancelled || attempt.id.stage != stage_ ||
        attempt.id.part != part)
      continue;
    silence = std::min(silence, now - attempt.lastOutputAt.value_or(now));
    state.excludedUpstreams.push_back(attempt.upstream->listed.name);
    if (!attempt.hasGap &&
        attempt.receivedText.size() > state.resumeText.size())
      state.resumeText = attempt.receivedText;
  }
  return silence;
}

// Silence is no failure: the attempts go on until one of them or the
// replacement brings more text, and without a replacement until the deadline.
void RequestRun::replaceSilent(std::uint32_t part, const RunContext &context,
                               Step *step) {
  PartState &state = parts_[part];
  const TimePoint now = step->now.steady;
  state.silentAt = TimePoint::max();
  if (state.done || liveAttempts(part) == 0)
    return;
  state.silentAt = now + SilenceBeforeReplacement;
  if (state.replacements >= MaxReplacements ||
      cannotFinish(now, startQuantile()))
    return;
  state.excludesStrictly = collectSilent(part, now) < SilenceOfLostConnection;
  if (canContinue(state, context) && takeExtraSlot(part, step)) {
    ++state.replacements;
    state.contestedBytes = state.resumeText.size();
    ++liveRoute_->counters->stages[stage_].hedges;
    dispatch(part, context, step);
  }
  state.excludesStrictly = false;
}

void RequestRun::settleContest(const LiveAttempt &winner, Step *step) {
  std::optional<std::size_t> &contested = parts_[winner.id.part].contestedBytes;
  if (!contested || winner.receivedText.size() <= *contested)
    return;
  contested.reset();
  for (LiveAttempt &attempt : attempts_)
    if (attempt.id.stage == winner.id.stage &&
        attempt.id.part == winner.id.part && !(attempt.id == winner.id))
      cancel(&attempt, step);
}

} // namespace auburnspring
