#include "auburnspring/decision/request_run.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburnspring {

namespace {

// An at-most-once attempt may end this long after the caller's deadline, so
// that its outcome can be recorded.
constexpr Duration AtMostOnceGrace = std::chrono::seconds(30);
// Sent to upstreams in place of the route's priority. Route owners set those,
// so they rank requests of one organisation only; an engine that applied them
// across organisations would defeat the sharing by weight.
constexpr std::int64_t NeutralPriority = 5;

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

RequestRun::RequestRun(RequestArrived arrived,
                       std::shared_ptr<const LiveRoute> route, Instant now)
    : arrived_(std::move(arrived)), liveRoute_(std::move(route)),
      arrivedAt_(now.steady) {
  Duration allowed = this->route().deadline;
  if (arrived_.deadline)
    allowed = std::min(allowed, *arrived_.deadline);
  deadline_ = arrivedAt_ + allowed;
}

std::shared_ptr<const Pool> RequestRun::pool(const std::string &name,
                                             const RunContext &context) const {
  return context.snapshot.read([&name](const Snapshot &snapshot) {
    const auto found = snapshot.pools.find(name);
    return found == snapshot.pools.end() ? nullptr : found->second;
  });
}

Duration RequestRun::expectedRemaining(std::size_t stage,
                                       double quantile) const {
  Duration sum{0};
  for (std::size_t i = stage; i < liveRoute_->stageLatencies.size(); ++i)
    sum += liveRoute_->stageLatencies[i]->quantile(quantile);
  return sum;
}

bool RequestRun::cannotFinish(TimePoint now, double quantile) const {
  return now + expectedRemaining(stage_, quantile) > deadline_;
}

// A non-retryable call is started only if it will very likely end in time: a
// late one gives the caller an unknown outcome and wastes its slot.
double RequestRun::startQuantile() const {
  if (isAtMostOnceStage())
    return 0.95;
  return stage().kind == StageKind::Generate ? 0.85 : 0.4;
}

std::size_t RequestRun::liveAttempts(std::uint32_t part) const {
  return static_cast<std::size_t>(std::count_if(
      attempts_.begin(), attempts_.end(), [&](const LiveAttempt &a) {
        return !a.cancelled && a.id.stage == stage_ && a.id.part == part;
      }));
}

void RequestRun::start(const RunContext &context, Step *step) {
  if (route().retryPolicy == RetryPolicy::Always)
    return admit(context, step);
  if (arrived_.key.empty())
    return reject("the route is not retryable and requires an Idempotency-Key",
                  context, step);
  scopedKey_ = scopedKey(arrived_.organisation, arrived_.route, arrived_.key);
  bodyDigest_ = digestHex(arrived_.body);
  requestClaim(false, context, step);
}

Duration RequestRun::expectedWait(const RunContext &context) const {
  Duration sum{0};
  for (std::size_t i = stage_; i < route().stages.size(); ++i)
    if (const auto found = pool(route().stages[i].pool, context))
      sum += found->state->limiter.expectedWait(arrived_.organisation,
                                                arrived_.weight);
  return sum;
}

// Refuses a request immediately if it is not expected to meet its deadline.
void RequestRun::admit(const RunContext &context, Step *step) {
  if (step->now.steady + expectedWait(context) + expectedRemaining(0, 0.5) >
      deadline_)
    return giveUp("the stages can't finish within the deadline", context, step);
  beginStage(0, context, step);
}

void RequestRun::beginStage(std::size_t index, const RunContext &context,
                            Step *step) {
  stage_ = index;
  phase_ = Phase::Running;
  parts_.assign(static_cast<std::size_t>(stage().parts), PartState());
  const std::shared_ptr<const Pool> found = pool(stage().pool, context);
  if (!found)
    return giveUp(absl::StrCat("no upstream is listed for pool ", stage().pool),
                  context, step);
  stagePool_ = found->state;
  if (cannotFinish(step->now.steady, UnattainableQuantile))
    return giveUp("the remaining stages can't finish within the deadline",
                  context, step);
  for (std::uint32_t part = 0; part < parts_.size() && !responded_; ++part)
    requestSlot(part, context, step);
}

SlotRequest RequestRun::slotRequest(std::uint32_t part) const {
  SlotRequest request;
  request.request = arrived_.request;
  request.stage = static_cast<std::uint32_t>(stage_);
  request.part = part;
  request.organisation = arrived_.organisation;
  request.weight = arrived_.weight;
  request.priority = route().priority;
  request.cost = liveRoute_->stageLatencies[stage_]->quantile(0.5);
  request.latestStart = deadline_ - expectedRemaining(stage_, 0.5);
  return request;
}

void RequestRun::requestSlot(std::uint32_t part, const RunContext &context,
                             Step *step) {
  const SlotResult result = stagePool_->limiter.acquire(slotRequest(part));
  if (result == SlotResult::Granted)
    return dispatch(part, context, step);
  if (result == SlotResult::Full)
    giveUp(absl::StrCat("the queue for pool ", stage().pool, " is full"),
           context, step);
}

void RequestRun::releaseSlot(const std::shared_ptr<PoolState> &pool,
                             const std::string &organisation, Step *step) {
  std::vector<SlotRequest> granted;
  pool->limiter.release(organisation, &granted);
  for (const SlotRequest &next : granted)
    step->postEvent(SlotGranted{next.request, next.stage, next.part,
                                next.organisation, pool});
}

void RequestRun::onSlotGranted(const SlotGranted &granted,
                               const RunContext &context, Step *step) {
  const bool stillNeeded =
      !responded_ && phase_ == Phase::Running && granted.stage == stage_ &&
      granted.part < parts_.size() && !parts_[granted.part].done;
  if (!stillNeeded)
    return releaseSlot(granted.pool, arrived_.organisation, step);
  dispatch(granted.part, context, step);
}

SelectionCriteria
RequestRun::selectionCriteria(const PartState &part,
                              const RunContext &context) const {
  SelectionCriteria criteria;
  criteria.model = stage().model;
  if (stage().kind == StageKind::Generate)
    criteria.prompt = arrived_.body;
  criteria.dataCentre = context.dataCentre;
  criteria.avoid = part.excludedUpstreams;
  criteria.avoidStrictly = part.excludesStrictly;
  if (part.version)
    criteria.version = *part.version;
  return criteria;
}

bool RequestRun::canContinue(const PartState &part,
                             const RunContext &context) const {
  const std::shared_ptr<const Pool> found = pool(stage().pool, context);
  return found &&
         hasCandidate(found->upstreams, selectionCriteria(part, context));
}

std::string RequestRun::noUpstreamReason(const PartState &part) const {
  const std::string version =
      part.version ? absl::StrCat(" of version \"", *part.version, "\"") : "";
  return absl::StrCat("no upstream", version, " of pool ", stage().pool,
                      " accepts new requests");
}

// The caller holds a slot, whose ownership passes to the attempt. Deadline and
// upstream are checked here, immediately before the send, because a SlotGranted
// event may be handled long after it was queued.
void RequestRun::dispatch(std::uint32_t part, const RunContext &context,
                          Step *step) {
  PartState &state = parts_[part];
  const TimePoint now = step->now.steady;
  const std::shared_ptr<const Pool> found = pool(stage().pool, context);
  TrackedUpstreamPtr upstream;
  const bool late = cannotFinish(now, startQuantile());
  if (found && !late)
    upstream =
        chooseUpstream(found->upstreams, selectionCriteria(state, context), now,
                       &context.random);
  if (!upstream) {
    releaseSlot(stagePool_, arrived_.organisation, step);
    if (liveAttempts(part) > 0)
      return;
    return giveUp(late ? "the remaining stages can't finish within the deadline"
                       : noUpstreamReason(state),
                  context, step);
  }
  LiveAttempt attempt;
  attempt.id = {context.incarnation, arrived_.request,
                static_cast<std::uint32_t>(stage_), part, ++state.attempts};
  attempt.upstream = std::move(upstream);
  attempt.pool = stagePool_;
  attempt.startedAt = now;
  attempt.atMostOnce = isAtMostOnceStage();
  attempt.receivedText = state.resumeText;
  if (stage().kind == StageKind::Generate) {
    attempt.lastOutputAt = now;
    state.silentAt = now + SilenceBeforeReplacement;
  }
  ++attempt.upstream->inFlight;
  ++possiblyRunAttempts_;
  atMostOnceMayHaveRun_ = atMostOnceMayHaveRun_ || attempt.atMostOnce;
  ++costOf(attempt.id).attempts;
  if (state.attempts == 1)
    stagePool_->budget.earn();
  setHedge(&state, now);
  step->addAction(makeStartAttempt(attempt));
  attempts_.push_back(std::move(attempt));
}

StartAttempt RequestRun::makeStartAttempt(const LiveAttempt &attempt) const {
  StartAttempt start;
  start.attempt = attempt.id;
  start.upstream = attempt.upstream->listed.name;
  start.endpoint = attempt.upstream->listed.endpoint;
  start.kind = stage().kind;
  start.route = route().name;
  start.organisation = arrived_.organisation;
  start.model = stage().model;
  start.input = arrived_.body;
  start.context = stageResult_;
  start.part = attempt.id.part;
  start.parts = static_cast<std::uint32_t>(parts_.size());
  start.priority = NeutralPriority;
  start.maxTokens = stage().maxTokens;
  start.resumeText = parts_[attempt.id.part].resumeText;
  start.deadline = attempt.atMostOnce ? deadline_ + AtMostOnceGrace : deadline_;
  start.atMostOnce = attempt.atMostOnce;
  if (attempt.atMostOnce)
    start.key = arrived_.key;
  return start;
}

RequestRun::LiveAttempt *RequestRun::findAttempt(const AttemptId &id) {
  for (LiveAttempt &attempt : attempts_)
    if (attempt.id == id)
      return &attempt;
  return nullptr;
}

RequestRun::LiveAttempt RequestRun::endAttempt(LiveAttempt *attempt,
                                               Step *step) {
  LiveAttempt ended = std::move(*attempt);
  attempts_.erase(attempts_.begin() + (attempt - attempts_.data()));
  --ended.upstream->inFlight;
  releaseSlot(ended.pool, arrived_.organisation, step);
  return ended;
}

void RequestRun::onSucceeded(const AttemptSucceeded &event,
                             const RunContext &context, Step *step) {
  LiveAttempt *live = findAttempt(event.attempt);
  if (live == nullptr)
    return;
  const bool textMismatch =
      !live->hasGap && !startsWith(event.text, live->receivedText);
  if (textMismatch)
    return onFailed({event.attempt, FailureKind::ResponseLost,
                     "the final text differs from the streamed text",
                     event.usage},
                    context, step);
  const LiveAttempt attempt = endAttempt(live, step);
  const Duration latency = step->now.steady - attempt.startedAt;
  recordAttemptSuccess(attempt.upstream.get(), latency);
  LatencyHistogram &latencies = *liveRoute_->stageLatencies[attempt.id.stage];
  attempt.pool->limiter.recordLatency(latency, latencies.slowdownRatio(latency),
                                      step->now.steady);
  latencies.add(latency);
  const bool useful = !responded_ && !attempt.cancelled &&
                      attempt.id.stage == stage_ &&
                      !parts_[attempt.id.part].done;
  recordCost(attempt, event.usage, useful || attempt.atMostOnce);
  if (useful)
    return finishPart(attempt.id.part, event.text, context, step);
  const bool last = attempt.id.stage + 1U == route().stages.size();
  if (!attempt.atMostOnce || !claimed_)
    return;
  // The caller has received "unknown"; a retry with the key gets the result.
  if (last)
    context.ledger.record(scopedKey_, nonce_, bodyDigest_, Outcome::Complete,
                          event.text, step);
  else
    context.ledger.record(scopedKey_, nonce_, bodyDigest_, Outcome::Unknown, "",
                          step);
  claimed_ = false;
}

void RequestRun::finishPart(std::uint32_t part, std::string text,
                            const RunContext &context, Step *step) {
  parts_[part].done = true;
  parts_[part].result = std::move(text);
  parts_[part].hedgeAt = TimePoint::max();
  parts_[part].silentAt = TimePoint::max();
  cancelPart(part, step);
  const bool all = std::all_of(parts_.begin(), parts_.end(),
                               [](const PartState &p) { return p.done; });
  if (all)
    joinStage(context, step);
}

// Joins the parts by index, independent of the order of arrival.
void RequestRun::joinStage(const RunContext &context, Step *step) {
  if (parts_.size() == 1) {
    stageResult_ = std::move(parts_.front().result);
  } else {
    nlohmann::json joined = nlohmann::json::array();
    for (PartState &part : parts_)
      joined.push_back(std::move(part.result));
    stageResult_ =
        joined.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  if (stage_ + 1 == route().stages.size())
    return complete(context, step);
  beginStage(stage_ + 1, context, step);
}

void RequestRun::complete(const RunContext &context, Step *step) {
  if (claimed_) {
    context.ledger.record(scopedKey_, nonce_, bodyDigest_, Outcome::Complete,
                          stageResult_, step);
    claimed_ = false;
  }
  if (step->now.steady <= deadline_)
    ++liveRoute_->counters->attained;
  RespondToCaller response;
  response.outcome = Outcome::Complete;
  response.body = stageResult_;
  respond(std::move(response), context, step);
}

// An at-most-once attempt is not cancelled, since its outcome must be recorded.
void RequestRun::cancel(LiveAttempt *attempt, Step *step) {
  if (attempt->cancelled || attempt->atMostOnce)
    return;
  attempt->cancelled = true;
  const bool silent =
      attempt->lastOutputAt &&
      step->now.steady - *attempt->lastOutputAt >= SilenceBeforeReplacement;
  if (silent)
    recordAttemptFailure(attempt->upstream.get(), step->now.steady);
  step->addAction(CancelAttempt{attempt->id});
}

void RequestRun::cancelPart(std::uint32_t part, Step *step) {
  for (LiveAttempt &attempt : attempts_)
    if (attempt.id.stage == stage_ && attempt.id.part == part)
      cancel(&attempt, step);
}

void RequestRun::cancelAll(Step *step) {
  for (LiveAttempt &attempt : attempts_)
    cancel(&attempt, step);
}

void RequestRun::onCallerDisconnected(const RunContext &context, Step *step) {
  if (!responded_ && !atMostOnceMayHaveRun_)
    giveUp("the caller disconnected", context, step);
}

void RequestRun::onTimer(const RunContext &context, Step *step) {
  if (responded_)
    return;
  const TimePoint now = step->now.steady;
  if (now >= deadline_)
    return giveUp("the deadline has passed", context, step);
  if (now >= ledgerPollAt_)
    return requestClaim(true, context, step);
  if (phase_ != Phase::Running)
    return;
  for (std::uint32_t part = 0; part < parts_.size() && !responded_; ++part) {
    if (now >= parts_[part].hedgeAt)
      hedge(part, context, step);
    if (now >= parts_[part].silentAt)
      replaceSilent(part, context, step);
  }
}

StageCost &RequestRun::costOf(const AttemptId &id) const {
  return liveRoute_->counters->stages[id.stage];
}

void RequestRun::recordCost(const LiveAttempt &attempt, const Usage &usage,
                            bool useful) {
  StageCost &cost = costOf(attempt.id);
  cost.busyMicros += usage.busy.count();
  if (!useful)
    cost.wastedMicros += usage.busy.count();
  cost.promptTokens += usage.promptTokens;
  cost.cachedTokens += usage.cachedTokens;
  cost.generatedTokens += usage.generatedTokens;
}

bool RequestRun::isOver() const {
  return responded_ && attempts_.empty() && !claimPending_;
}

TimePoint RequestRun::nextWake() const {
  if (responded_)
    return TimePoint::max();
  TimePoint next = std::min(deadline_, ledgerPollAt_);
  for (const PartState &part : parts_)
    next = std::min({next, part.hedgeAt, part.silentAt});
  return next;
}

void RequestRun::collectUpstreams(std::vector<std::string> *names) const {
  for (const LiveAttempt &attempt : attempts_)
    names->push_back(attempt.upstream->listed.name);
}

} // namespace auburnspring
