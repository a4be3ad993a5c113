#include "auburnspring/decision/request_run.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/decision/worker_choice.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr std::uint32_t MaxAttempts = 4;
// A once-only attempt is heard out beyond the caller's deadline, so that its
// outcome is recorded.
constexpr Duration OnceRunOn = std::chrono::seconds(30);
constexpr Duration MinComeBack = std::chrono::milliseconds(200);
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(10);
constexpr double GenerateHedgeWeight = 0.8;
// Owners set their routes' priorities, so these rank requests of one
// organisation only. An engine that followed them across organisations would
// undo the sharing by weight.
constexpr std::int64_t NeutralPriority = 5;
// What even a quick run of the remaining stages can't finish is hopeless.
constexpr double HopelessQuantile = 0.1;

bool provesNotRun(FailureKind kind) {
  return kind == FailureKind::NotSent || kind == FailureKind::Refused ||
         kind == FailureKind::Leaving || kind == FailureKind::Rejected;
}

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

void releaseSlot(const std::shared_ptr<PoolState> &pool,
                 const std::string &organisation, Step *step) {
  std::vector<SlotRequest> granted;
  pool->gate.release(organisation, &granted);
  for (const SlotRequest &next : granted)
    step->follow(SlotGranted{next.request, next.stage, next.part,
                             next.organisation, pool});
}

} // namespace

RequestRun::RequestRun(RequestArrived arrived,
                       std::shared_ptr<const LiveRoute> route, Instant now)
    : arrived_(std::move(arrived)), live_(std::move(route)),
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

Duration RequestRun::expectedFrom(std::size_t stage, double quantile) const {
  Duration sum{0};
  for (std::size_t i = stage; i < live_->stageTimes.size(); ++i)
    sum += live_->stageTimes[i]->quantile(quantile);
  return sum;
}

bool RequestRun::cannotFinish(TimePoint now, double quantile) const {
  return now + expectedFrom(stage_, quantile) > deadline_;
}

// A call that can't be repeated must not be begun unless it will very likely
// end in time: a late one leaves its caller in doubt and its slot wasted.
double RequestRun::startQuantile() const {
  if (isOnceStage())
    return 0.95;
  return stage().kind == StageKind::Generate ? 0.85 : 0.4;
}

std::size_t RequestRun::liveOn(std::uint32_t part) const {
  return static_cast<std::size_t>(std::count_if(
      attempts_.begin(), attempts_.end(), [&](const LiveAttempt &a) {
        return !a.cancelled && a.id.stage == stage_ && a.id.part == part;
      }));
}

void RequestRun::start(const RunContext &context, Step *step) {
  if (route().repeat == RepeatRule::Always)
    return admit(context, step);
  if (arrived_.key.empty())
    return reject("the route is never repeated and needs an Idempotency-Key",
                  context, step);
  scopedKey_ = scopedKey(arrived_.organisation, arrived_.route, arrived_.key);
  bodyDigest_ = digestHex(arrived_.body);
  askForClaim(false, context, step);
}

Duration RequestRun::expectedWait(const RunContext &context) const {
  Duration sum{0};
  for (std::size_t i = stage_; i < route().stages.size(); ++i)
    if (const auto found = pool(route().stages[i].pool, context))
      sum += found->state->gate.expectedWait(arrived_.organisation,
                                             arrived_.weight);
  return sum;
}

// Refuses at once what can't finish in time.
void RequestRun::admit(const RunContext &context, Step *step) {
  if (step->now.steady + expectedWait(context) + expectedFrom(0, 0.5) >
      deadline_)
    return giveUp("the stages can't finish within the deadline", context, step);
  beginStage(0, context, step);
}

void RequestRun::beginStage(std::size_t index, const RunContext &context,
                            Step *step) {
  stage_ = index;
  phase_ = Phase::Running;
  parts_.assign(static_cast<std::size_t>(stage().parts), PartRun());
  const std::shared_ptr<const Pool> found = pool(stage().pool, context);
  if (!found)
    return giveUp(absl::StrCat("no upstream is listed for pool ", stage().pool),
                  context, step);
  stagePool_ = found->state;
  if (cannotFinish(step->now.steady, HopelessQuantile))
    return giveUp("the remaining stages can't finish within the deadline",
                  context, step);
  for (std::uint32_t part = 0; part < parts_.size() && !answered_; ++part)
    askForSlot(part, context, step);
}

SlotRequest RequestRun::slotRequest(std::uint32_t part) const {
  SlotRequest request;
  request.request = arrived_.request;
  request.stage = static_cast<std::uint32_t>(stage_);
  request.part = part;
  request.organisation = arrived_.organisation;
  request.weight = arrived_.weight;
  request.priority = route().priority;
  request.cost = live_->stageTimes[stage_]->quantile(0.5);
  request.latestStart = deadline_ - expectedFrom(stage_, 0.5);
  return request;
}

void RequestRun::askForSlot(std::uint32_t part, const RunContext &context,
                            Step *step) {
  const GateAnswer gate = stagePool_->gate.ask(slotRequest(part));
  if (gate == GateAnswer::Granted)
    return dispatch(part, context, step);
  if (gate == GateAnswer::Full)
    giveUp(absl::StrCat("the queue for pool ", stage().pool, " is full"),
           context, step);
}

void RequestRun::onSlot(const SlotGranted &granted, const RunContext &context,
                        Step *step) {
  const bool wanted = !answered_ && phase_ == Phase::Running &&
                      granted.stage == stage_ && granted.part < parts_.size() &&
                      !parts_[granted.part].done;
  if (!wanted)
    return releaseSlot(granted.pool, arrived_.organisation, step);
  dispatch(granted.part, context, step);
}

// The caller of dispatch holds a slot, which the attempt takes over. Deadline
// and worker are checked here, right before the act, since the event may be
// handled long after it was raised.
void RequestRun::dispatch(std::uint32_t part, const RunContext &context,
                          Step *step) {
  PartRun &run = parts_[part];
  const TimePoint now = step->now.steady;
  const std::shared_ptr<const Pool> found = pool(stage().pool, context);
  WorkerPtr worker;
  const bool late = cannotFinish(now, startQuantile());
  if (found && !late) {
    ChoiceRequest choice;
    choice.model = stage().model;
    if (stage().kind == StageKind::Generate)
      choice.prompt = arrived_.body;
    choice.dataCentre = context.dataCentre;
    choice.avoid = run.failedOn;
    worker = chooseWorker(found->workers, choice, now, &context.random);
  }
  if (!worker) {
    releaseSlot(stagePool_, arrived_.organisation, step);
    if (liveOn(part) > 0)
      return;
    return giveUp(late ? "the remaining stages can't finish within the deadline"
                       : absl::StrCat("no upstream of pool ", stage().pool,
                                      " takes new work"),
                  context, step);
  }
  LiveAttempt attempt;
  attempt.id = {context.incarnation, arrived_.request,
                static_cast<std::uint32_t>(stage_), part, ++run.attempts};
  attempt.worker = std::move(worker);
  attempt.pool = stagePool_;
  attempt.startedAt = now;
  attempt.once = isOnceStage();
  attempt.received = run.kept;
  ++attempt.worker->inFlight;
  ++mayHaveRun_;
  onceMayHaveRun_ = onceMayHaveRun_ || attempt.once;
  ++costOf(attempt.id).attempts;
  if (run.attempts == 1)
    stagePool_->budget.earn();
  setHedge(&run, now);
  step->act(attemptAction(attempt));
  attempts_.push_back(std::move(attempt));
}

void RequestRun::setHedge(PartRun *part, TimePoint now) const {
  part->hedgeAt = TimePoint::max();
  const double weight = route().attainmentWeight;
  const bool generate = stage().kind == StageKind::Generate;
  const bool worthIt = generate ? weight >= GenerateHedgeWeight : weight > 0;
  const bool first = part->attempts == 1;
  if (!first || !worthIt || isOnceStage() || arrived_.stream)
    return;
  const Duration tail = live_->stageTimes[stage_]->quantile(0.95);
  const double patience = 2 - weight;
  part->hedgeAt =
      now + std::max(MinHedgeDelay,
                     Duration(static_cast<std::int64_t>(
                         static_cast<double>(tail.count()) * patience)));
}

StartAttempt RequestRun::attemptAction(const LiveAttempt &attempt) const {
  StartAttempt start;
  start.attempt = attempt.id;
  start.upstream = attempt.worker->listed.name;
  start.endpoint = attempt.worker->listed.endpoint;
  start.kind = stage().kind;
  start.route = route().name;
  start.organisation = arrived_.organisation;
  start.model = stage().model;
  start.input = arrived_.body;
  start.context = context_;
  start.part = attempt.id.part;
  start.parts = static_cast<std::uint32_t>(parts_.size());
  start.priority = NeutralPriority;
  start.maxTokens = stage().maxTokens;
  start.resumeText = parts_[attempt.id.part].kept;
  start.deadline = attempt.once ? deadline_ + OnceRunOn : deadline_;
  start.once = attempt.once;
  if (attempt.once)
    start.key = arrived_.key;
  return start;
}

RequestRun::LiveAttempt *RequestRun::find(const AttemptId &id) {
  for (LiveAttempt &attempt : attempts_)
    if (attempt.id == id)
      return &attempt;
  return nullptr;
}

RequestRun::LiveAttempt RequestRun::end(LiveAttempt *attempt, Step *step) {
  LiveAttempt ended = std::move(*attempt);
  attempts_.erase(attempts_.begin() + (attempt - attempts_.data()));
  --ended.worker->inFlight;
  releaseSlot(ended.pool, arrived_.organisation, step);
  return ended;
}

void RequestRun::onSucceeded(const AttemptSucceeded &event,
                             const RunContext &context, Step *step) {
  LiveAttempt *live = find(event.attempt);
  if (live == nullptr)
    return;
  const bool torn = !live->gap && !startsWith(event.text, live->received);
  if (torn)
    return onFailed({event.attempt, FailureKind::Broken,
                     "the final text differs from the streamed text",
                     event.usage},
                    context, step);
  const LiveAttempt attempt = end(live, step);
  const Duration took = step->now.steady - attempt.startedAt;
  noteSuccess(attempt.worker.get(), took);
  LatencyBook &book = *live_->stageTimes[attempt.id.stage];
  attempt.pool->gate.learn(took, book.stretch(took), step->now.steady);
  book.add(took);
  const bool useful = !answered_ && !attempt.cancelled &&
                      attempt.id.stage == stage_ &&
                      !parts_[attempt.id.part].done;
  countCost(attempt, event.usage, useful || attempt.once);
  if (useful)
    return finishPart(attempt.id.part, event.text, context, step);
  const bool last = attempt.id.stage + 1U == route().stages.size();
  if (!attempt.once || !claimed_)
    return;
  // The caller was told "unknown"; who asks again with the key gets the answer.
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
  cancelPart(part, step);
  const bool all = std::all_of(parts_.begin(), parts_.end(),
                               [](const PartRun &p) { return p.done; });
  if (all)
    joinStage(context, step);
}

// Parts join by their index, in whatever order they arrived.
void RequestRun::joinStage(const RunContext &context, Step *step) {
  if (parts_.size() == 1) {
    context_ = std::move(parts_.front().result);
  } else {
    nlohmann::json joined = nlohmann::json::array();
    for (PartRun &part : parts_)
      joined.push_back(std::move(part.result));
    context_ =
        joined.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  if (stage_ + 1 == route().stages.size())
    return complete(context, step);
  beginStage(stage_ + 1, context, step);
}

void RequestRun::complete(const RunContext &context, Step *step) {
  if (claimed_) {
    context.ledger.record(scopedKey_, nonce_, bodyDigest_, Outcome::Complete,
                          context_, step);
    claimed_ = false;
  }
  if (step->now.steady <= deadline_)
    ++live_->counters->attained;
  AnswerCaller whole;
  whole.outcome = Outcome::Complete;
  whole.body = context_;
  answer(std::move(whole), context, step);
}

void RequestRun::noteEnd(const LiveAttempt &attempt, const AttemptFailed &event,
                         Step *step) const {
  switch (event.kind) {
  case FailureKind::NotSent:
  case FailureKind::Faulty:
  case FailureKind::Broken:
    noteFailure(attempt.worker.get(), step->now.steady);
    break;
  case FailureKind::Refused:
    attempt.pool->gate.learnOverload(step->now.steady);
    break;
  case FailureKind::Leaving:
    step->follow(LeavingSeen{
        {attempt.worker->listed.name, attempt.worker->listed.incarnation}});
    break;
  case FailureKind::Rejected:
  case FailureKind::Cancelled:
    break;
  }
}

void RequestRun::onFailed(const AttemptFailed &event, const RunContext &context,
                          Step *step) {
  LiveAttempt *live = find(event.attempt);
  if (live == nullptr)
    return;
  const LiveAttempt attempt = end(live, step);
  ++costOf(attempt.id).failures;
  countCost(attempt, event.usage, false);
  noteEnd(attempt, event, step);
  if (provesNotRun(event.kind)) {
    --mayHaveRun_;
    if (attempt.once)
      onceMayHaveRun_ = false;
  }
  if (answered_ && attempt.once)
    return settle(context, step);
  const bool wanted = !answered_ && !attempt.cancelled &&
                      attempt.id.stage == stage_ &&
                      !parts_[attempt.id.part].done;
  if (!wanted)
    return;
  if (event.kind == FailureKind::Rejected)
    return reject(event.detail, context, step);
  if (attempt.once && onceMayHaveRun_)
    return giveUp(absl::StrCat("the call to ", attempt.worker->listed.name,
                               " broke off: ", event.detail),
                  context, step);
  retryPart(attempt, context, step);
}

void RequestRun::retryPart(const LiveAttempt &attempt,
                           const RunContext &context, Step *step) {
  PartRun &run = parts_[attempt.id.part];
  run.failedOn.push_back(attempt.worker->listed.name);
  if (!attempt.gap && attempt.received.size() > run.kept.size())
    run.kept = attempt.received;
  if (liveOn(attempt.id.part) > 0)
    return;
  const bool allowed = run.attempts < MaxAttempts &&
                       !cannotFinish(step->now.steady, HopelessQuantile) &&
                       stagePool_->budget.spend();
  if (!allowed)
    return giveUp(absl::StrCat("stage ", stage().name, " failed at ",
                               attempt.worker->listed.name),
                  context, step);
  ++costOf(attempt.id).retries;
  askForSlot(attempt.id.part, context, step);
}

void RequestRun::onProgress(const AttemptProgress &event, Step *step) {
  LiveAttempt *attempt = find(event.attempt);
  if (attempt == nullptr || attempt->cancelled || answered_)
    return;
  if (attempt->gap || event.offset != attempt->received.size()) {
    attempt->gap = true;
    return;
  }
  attempt->received += event.text;
  const bool last = attempt->id.stage + 1U == route().stages.size();
  if (!arrived_.stream || !last || attempt->received.size() <= streamedBytes_)
    return;
  step->act(StreamToCaller{arrived_.request,
                           attempt->received.substr(streamedBytes_)});
  streamedBytes_ = attempt->received.size();
}

// A once-only attempt is never cancelled: it runs on and is recorded.
void RequestRun::cancel(LiveAttempt *attempt, Step *step) {
  if (attempt->cancelled || attempt->once)
    return;
  attempt->cancelled = true;
  step->act(CancelAttempt{attempt->id});
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

void RequestRun::onCallerGone(const RunContext &context, Step *step) {
  if (!answered_ && !onceMayHaveRun_)
    giveUp("the caller hung up", context, step);
}

void RequestRun::onTime(const RunContext &context, Step *step) {
  if (answered_)
    return;
  const TimePoint now = step->now.steady;
  if (now >= deadline_)
    return giveUp("the deadline has passed", context, step);
  if (now >= lookAgainAt_)
    return askForClaim(true, context, step);
  if (phase_ != Phase::Running)
    return;
  for (std::uint32_t part = 0; part < parts_.size() && !answered_; ++part)
    if (now >= parts_[part].hedgeAt)
      hedge(part, context, step);
}

void RequestRun::hedge(std::uint32_t part, const RunContext &context,
                       Step *step) {
  PartRun &run = parts_[part];
  run.hedgeAt = TimePoint::max();
  if (run.done || liveOn(part) != 1)
    return;
  if (!stagePool_->gate.tryTake(slotRequest(part)))
    return;
  if (!stagePool_->budget.spend())
    return releaseSlot(stagePool_, arrived_.organisation, step);
  for (const LiveAttempt &attempt : attempts_)
    if (attempt.id.stage == stage_ && attempt.id.part == part)
      run.failedOn.push_back(attempt.worker->listed.name);
  ++live_->counters->stages[stage_].hedges;
  dispatch(part, context, step);
}

Duration RequestRun::comeBackAfter(const RunContext &context) const {
  const Duration wait = std::max(MinComeBack, expectedWait(context));
  std::uniform_real_distribution<double> jitter(0.8, 1.6);
  return Duration(static_cast<std::int64_t>(static_cast<double>(wait.count()) *
                                            jitter(context.random)));
}

void RequestRun::giveUp(const std::string &reason, const RunContext &context,
                        Step *step) {
  AnswerCaller given;
  given.outcome = Outcome::NotRun;
  if (mayHaveRun_ > 0)
    given.outcome = Outcome::Incomplete;
  if (onceMayHaveRun_ || otherMayRun_ || mayHaveRunEarlier())
    given.outcome = Outcome::Unknown;
  given.reason = reason;
  given.retryAfter = comeBackAfter(context);
  answer(std::move(given), context, step);
}

void RequestRun::reject(const std::string &reason, const RunContext &context,
                        Step *step) {
  AnswerCaller rejected;
  rejected.outcome = Outcome::Rejected;
  rejected.reason = reason;
  rejected.permanent = true;
  answer(std::move(rejected), context, step);
}

void RequestRun::answer(AnswerCaller answer, const RunContext &context,
                        Step *step) {
  answered_ = true;
  phase_ = Phase::Finished;
  lookAgainAt_ = TimePoint::max();
  if (claimPending_ && context.ledger.abandon(arrived_.request, step))
    claimPending_ = false;
  if (stagePool_)
    stagePool_->gate.withdraw(arrived_.request);
  cancelAll(step);
  const bool onceLive =
      std::any_of(attempts_.begin(), attempts_.end(),
                  [](const LiveAttempt &a) { return a.once; });
  if (!onceLive)
    settle(context, step);
  ++live_->counters->outcomes[static_cast<std::size_t>(answer.outcome)];
  answer.request = arrived_.request;
  step->act(std::move(answer));
}

StageCost &RequestRun::costOf(const AttemptId &id) const {
  return live_->counters->stages[id.stage];
}

void RequestRun::countCost(const LiveAttempt &attempt, const Usage &usage,
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
  return answered_ && attempts_.empty() && !claimPending_;
}

TimePoint RequestRun::wakeAt() const {
  if (answered_)
    return TimePoint::max();
  TimePoint next = std::min(deadline_, lookAgainAt_);
  for (const PartRun &part : parts_)
    next = std::min(next, part.hedgeAt);
  return next;
}

void RequestRun::collectUpstreams(std::vector<std::string> *names) const {
  for (const LiveAttempt &attempt : attempts_)
    names->push_back(attempt.worker->listed.name);
}

} // namespace auburnspring
