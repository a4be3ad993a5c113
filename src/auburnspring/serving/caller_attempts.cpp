#include "auburnspring/serving/caller_run.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/engine_speed.h"
#include "auburnspring/decision/upstream_health.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// An attempt that has less time than this is of no use.
constexpr Duration LeastAttemptTime = std::chrono::milliseconds(10);
/// A second attempt starts when the first has taken so many times the usual
/// latency, within these bounds.
constexpr std::int64_t HedgeFactor = 3;
constexpr Duration EarliestHedge = std::chrono::milliseconds(45);
/// A resumable stream that is silent for so long goes on elsewhere.
constexpr Duration StallLimit = std::chrono::milliseconds(900);
constexpr std::int64_t StallGaps = 4;
/// Without a first event for this much longer than the goal it goes elsewhere.
constexpr Duration FirstEventSlack = std::chrono::milliseconds(1500);
/// Bytes that a slow caller may leave unread before its stream is given up.
constexpr std::size_t MaxPendingBytes = 2 << 20;
/// Longest answer that is taken in whole before it is handed on.
constexpr std::size_t MaxWholeAnswer = 8 << 20;

} // namespace

ServedUpstreamPtr CallerRun::place(const std::vector<std::string> &inputs) {
  PlacementRequest placement;
  placement.prompt = request_.prompt;
  placement.promptTokens = request_.promptTokens;
  placement.outputTokens = request_.outputTokens;
  placement.avoid = tried_;
  std::vector<std::string> inputPlaces;
  for (const std::string &input : inputs)
    if (const auto endpoint = context_->dialect->resultEndpoint(input))
      if (const ServedUpstreamPtr maker = context_->registry.at(*endpoint))
        inputPlaces.push_back(maker->entry.dataCentre);
  placement.inputDataCentres = inputPlaces;
  const std::vector<ServedUpstreamPtr> &members =
      context_->registry.pool(poolName_);
  const TimePoint now = steadyNow();
  return pool_ != nullptr && pool_->engine
             ? placeEngine(members, *pool_->engine, placement, now,
                           &context_->random)
             : placePlain(members, placement, now, &context_->random);
}

void CallerRun::dispatch() {
  if (done_)
    return;
  if (timeLeft() < LeastAttemptTime)
    return onDeadline();
  const ServedUpstreamPtr upstream = place(plan_.finalInputs());
  if (upstream == nullptr) {
    if (hasLiveAttempt())
      return;
    if (streamBegun_)
      return abortStream("no_upstream");
    return ran_ > 0 ? refuse(502, "no_upstream")
                    : refuse(503, "no_upstream", DefaultReturn);
  }
  startAttempt(upstream);
}

UpstreamTerms CallerRun::termsFor(const ServedUpstream &upstream) const {
  UpstreamTerms terms;
  terms.timeLeft = timeLeft();
  terms.expectedUpstream = upstream.entry.id;
  terms.organisation = organisation_;
  terms.inputs = plan_.finalInputs();
  terms.lastEvent = lastEvent_;
  return terms;
}

void CallerRun::startAttempt(const ServedUpstreamPtr &upstream) {
  const TimePoint now = steadyNow();
  if (tried_.empty())
    context_->repeats.noteFirst(poolName_, 1, now);
  tried_.push_back(upstream->entry.id);
  ++ran_;
  std::int64_t shared = 0;
  for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i)
    shared += request_.prompt[i].tokens;
  const AttemptTokens tokens{
      std::max<std::int64_t>(0, request_.promptTokens - shared),
      request_.promptTokens + request_.outputTokens};
  Attempt::Events events;
  auto attempt = std::make_unique<Attempt>(*context_->io, context_->dialect,
                                           upstream, tokens);
  Attempt *raw = attempt.get();
  events.onBody = [this, raw](std::string_view bytes) { onBody(raw, bytes); };
  events.onEnd = [weak = weak_from_this(), raw] {
    if (const auto self = weak.lock())
      self->onAttemptEnd(raw);
  };
  raw->setEvents(std::move(events));
  attempts_.push_back(std::move(attempt));
  raw->start(context_->dialect->upstreamHead(
                 exchange_->head, termsFor(*upstream), exchange_->body.size()),
             exchange_->body, request_.id, now);
  if (route_->isStream)
    armStall();
  else
    armHedge();
}

void CallerRun::onBody(Attempt *attempt, std::string_view bytes) {
  const bool isStream = route_->isStream && attempt->head().status == 200 &&
                        attempt->facts().isSigned &&
                        !attempt->facts().isEncoded;
  if (isStream)
    return onEvents(attempt, bytes);
  if (attempt->body().size() + bytes.size() <= MaxWholeAnswer)
    attempt->body().append(bytes);
}

void CallerRun::onEvents(Attempt *attempt, std::string_view bytes) {
  if (done_)
    return;
  std::string out;
  for (const StreamEvent &event : splitter_.feed(bytes)) {
    // A run that goes on elsewhere may repeat what the caller has.
    if (event.id && lastEvent_ && *event.id <= *lastEvent_)
      continue;
    out += event.bytes;
    if (event.id)
      lastEvent_ = event.id;
  }
  if (splitter_.isTooLarge())
    return abortStream("event_too_large");
  if (out.empty())
    return;
  if (!streamBegun_) {
    streamBegun_ = true;
    attempt->notePromptRead();
    noteAnswered(attempt->mutableUpstream(), steadyNow() - attempt->startedAt(),
                 steadyNow());
    const Duration reading = readingTime(request_.promptTokens);
    context_->firstEventPace.observe(
        poolName_,
        std::max(Duration(0), steadyNow() - attempt->startedAt() - reading),
        steadyNow());
    context_->metrics.observeFirstEvent(route_->name,
                                        steadyNow() - exchange_->receivedAt);
    exchange_->begin(context_->dialect->callerHead(attempt->head()));
    releaseResults(plan_.takeHeld());
  }
  attempt->notePromptRead();
  exchange_->write(out);
  if (exchange_->pendingBytes() > MaxPendingBytes)
    return abortStream("caller_reads_too_slowly");
  armStall();
}

void CallerRun::noteHealth(Attempt *attempt) {
  const TimePoint now = steadyNow();
  ServedUpstream *upstream = attempt->mutableUpstream();
  const AttemptReport report = attempt->report();
  const char *end = "answered";
  if (!report.mayBeSent) {
    noteUnreachable(upstream, now);
    end = "unreachable";
  } else if (report.isNotRun) {
    noteFailed(upstream, now);
    end = "not_run";
  } else if (!report.isWhole || !report.isSigned || report.status >= 500) {
    noteFailed(upstream, now);
    end = report.isWhole ? "failed" : "broken";
  } else if (!route_->isStream) {
    noteAnswered(upstream, now - attempt->startedAt(), now);
  }
  context_->metrics.countAttempt(poolName_, end);
  if (end != std::string("answered"))
    logEvent(LogLevel::Info, "attempt_failed",
             {{"id", request_.id},
              {"route", route_->name},
              {"upstream", upstream->entry.id},
              {"end", end},
              {"status", report.status},
              {"why", attempt->why()},
              {"ms", toMillis(now - attempt->startedAt())},
              {"failure_rate", upstream->failureRate},
              {"in_flight", static_cast<long>(upstream->inFlight)}});
}

void CallerRun::onAttemptEnd(Attempt *attempt) {
  if (done_)
    return;
  noteHealth(attempt);
  if (!attempt->report().mayBeSent || attempt->report().isNotRun)
    --ran_;
  if (callerGone_)
    return finish("caller_gone", 0, "caller_gone");
  if (route_->isStream && attempt->hasHead() &&
      (streamBegun_ || attempt->head().status == 200))
    return onStreamEnd(attempt);
  next(attempt->report(), attempt);
}

void CallerRun::onStreamEnd(Attempt *attempt) {
  const AttemptReport report = attempt->report();
  const bool isWhole = report.isWhole && report.isSigned && streamBegun_ &&
                       report.status == 200 && !splitter_.hasPartialEvent();
  if (isWhole) {
    exchange_->end();
    return finish("complete", 200, "");
  }
  splitter_ = EventSplitter();
  AttemptReport broken = report;
  broken.isWhole = false;
  next(broken, attempt);
}

bool CallerRun::spendRepeat() {
  return context_->repeats.spend(poolName_, 1, steadyNow());
}

void CallerRun::next(const AttemptReport &report, Attempt *attempt) {
  const bool inputsGone = attempt->facts().areInputsGone;
  AttemptLimits limits;
  limits.ran = ran_;
  limits.tried = static_cast<std::int64_t>(tried_.size());
  limits.hasTime = timeLeft() > LeastAttemptTime;
  NextStep step = decideNext(*route_, report, limits);
  if (step == NextStep::Elsewhere && hasLiveAttempt())
    return;
  if (step == NextStep::Elsewhere && !spendRepeat())
    step = afterBudgetSpent(report, ran_);
  if (step != NextStep::Relay && hasLiveAttempt())
    return;
  if (step == NextStep::Elsewhere) {
    if (inputsGone || (!plan_.stages().empty() && streamBegun_))
      return redoInputs(attempt);
    return dispatch();
  }
  if (streamBegun_)
    return abortStream("upstream_broke_off");
  if (step == NextStep::Relay)
    return relay(attempt);
  if (step == NextStep::SayNotRun)
    return refuse(503, "upstreams_refused", DefaultReturn);
  refuse(502, "upstream_broke_off");
}

void CallerRun::redoInputs(Attempt *attempt) {
  if (attempt->facts().areInputsGone)
    tried_.pop_back();
  if (plan_.restart())
    return submitReady();
  streamBegun_ ? abortStream("inputs_gone")
               : refuse(ran_ > 0 ? 502 : 503, "inputs_gone", DefaultReturn);
}

void CallerRun::armHedge() {
  if (!route_->mayRunAgain() || route_->maxAttempts < 2 || attempts_.size() > 1)
    return;
  const Duration usual = attempts_.back()->upstream().latency * HedgeFactor;
  const Duration latest =
      std::max(EarliestHedge, std::min(route_->goal / 2, timeLeft() / 3));
  paceTimer_.expires_after(std::max(EarliestHedge, std::min(latest, usual)));
  paceTimer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->done_)
      self->onHedge();
  });
}

void CallerRun::onHedge() {
  if (!hasLiveAttempt() || ran_ >= route_->maxAttempts || !spendRepeat())
    return;
  dispatch();
}

void CallerRun::armStall() {
  if (!route_->isResumable)
    return;
  const Duration limit =
      streamBegun_ ? std::max(StallLimit, route_->eventGap * StallGaps)
                   : route_->goal + FirstEventSlack;
  paceTimer_.expires_after(limit);
  paceTimer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->done_)
      self->onStall();
  });
}

void CallerRun::onStall() {
  if (!hasLiveAttempt() || ran_ >= route_->maxAttempts)
    return;
  Attempt *attempt = attempts_.back().get();
  logEvent(LogLevel::Info, "stream_stalled",
           {{"id", request_.id},
            {"upstream", attempt->upstream().entry.id},
            {"last_event", static_cast<long>(lastEvent_.value_or(-1))}});
  attempt->cancel();
  noteFailed(attempt->mutableUpstream(), steadyNow());
  AttemptReport report = attempt->report();
  report.mayBeSent = true;
  report.isWhole = false;
  attempts_.clear();
  splitter_ = EventSplitter();
  if (decideNext(*route_, report,
                 {ran_, static_cast<std::int64_t>(tried_.size()), true}) !=
          NextStep::Elsewhere ||
      !spendRepeat())
    return streamBegun_ ? abortStream("stalled") : refuse(502, "stalled");
  if (plan_.stages().empty() || !streamBegun_)
    return dispatch();
  if (plan_.restart())
    return submitReady();
  abortStream("stalled");
}

} // namespace auburnspring
