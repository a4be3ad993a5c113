#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/request_urgency.h"
#include "auburnspring/decision/upstream_health.h"
#include "auburnspring/serving/upstream_statements.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Unsent bytes at which the stream to a slow caller is aborted.
constexpr std::size_t MaxPendingBytes = 2 << 20;
/// Maximum size in bytes of a response body, which is buffered before it is
/// forwarded.
constexpr std::size_t MaxResponseBytes = 8 << 20;
/// Bytes of part ids in one log line.
constexpr std::size_t MaxLoggedPartBytes = 160;
/// A stream that still brings events this long after its first one was not
/// broken off by what begins with it.
constexpr Duration SoundStreamTime = std::chrono::milliseconds(500);

} // namespace

EngineChoice
ActiveRequest::selectUpstream(const std::vector<std::string> &inputs,
                              absl::Span<const std::string> avoid) {
  PlacementRequest placement;
  placement.prompt = request_.prompt;
  placement.promptTokens = request_.promptTokens;
  placement.outputTokens = request_.outputTokens;
  placement.avoid = avoid;
  const std::optional<std::string> version = requiredVersion();
  placement.softwareVersion = version;
  std::vector<std::string> inputDataCentres;
  for (const std::string &input : inputs)
    if (const auto endpoint = context_->dialect->resultEndpoint(input))
      if (const UpstreamStatePtr producer =
              context_->registry.byEndpoint(*endpoint))
        inputDataCentres.push_back(producer->entry.dataCentre);
  placement.inputDataCentres = inputDataCentres;
  const std::vector<UpstreamStatePtr> &members =
      context_->registry.pool(poolName_);
  const TimePoint now = steadyNow();
  if (pool_ == nullptr || !pool_->engine)
    return chooseForCall(members, placement, now, &context_->random);
  placement.prefillMillisPerToken = engineSpeed().millisPerToken();
  if (context_->speeds.isUneven(poolName_)) {
    placement.eventGap = route_->eventGap;
    placement.bands = &context_->promptBands[poolName_];
  }
  return chooseEngine(members, *pool_->engine, placement, now,
                      &context_->random);
}

void ActiveRequest::dispatch() {
  if (done_)
    return;
  if (timeLeft() < MinAttemptTime) {
    if (!hasLiveAttempt())
      onDeadline();
    return;
  }
  if (awaitsPermit_ || holdIfQuarantined())
    return;
  if (mustHandOver())
    return handOver();
  const EngineChoice choice = selectUpstream(plan_.finalResults());
  if (choice.engine == nullptr) {
    if (hasLiveAttempt())
      return;
    if (streamStarted_)
      return abortStream(missingUpstreamReason());
    if (possibleRuns_ > 0)
      return refuse(502, missingUpstreamReason());
    return refuseWithoutUpstream();
  }
  if (!choice.forecast.hasRoom && mayHandOver())
    return handOver();
  if (!context_->requestLimits->needsPermit(choice.engine.get()))
    return startAttempt(choice, nullptr);
  awaitsPermit_ = true;
  context_->requestLimits->acquire(
      choice.engine, timeLeft(),
      handlers_.bind([this, choice](bool granted, PermitLeasePtr lease) {
        onPermit(choice, granted, std::move(lease));
      }));
}

void ActiveRequest::onPermit(const EngineChoice &choice, bool granted,
                             PermitLeasePtr lease) {
  awaitsPermit_ = false;
  // Its data centre may have been evacuated in the meantime.
  const bool isOpen = !choice.engine->isClosed(steadyNow());
  if (granted && isOpen && timeLeft() >= MinAttemptTime)
    return startAttempt(choice, std::move(lease));
  // Another upstream may have room.
  dispatch();
}

ForwardingParams
ActiveRequest::forwardingParams(const UpstreamState &upstream) const {
  ForwardingParams params;
  params.timeLeft = timeLeft();
  params.expectedUpstream = upstream.entry.id;
  params.organisation = organisation_;
  params.inputs = plan_.finalResults();
  params.lastEventId = lastEventId_;
  if (route_->eventGap > Duration(0) && context_->speeds.isUneven(poolName_))
    params.urgency =
        requestUrgency({route_->targetLatency, targetTime_ - steadyNow(),
                        engineSpeed().prefillDuration(request_.promptTokens),
                        route_->eventGap});
  return params;
}

void ActiveRequest::startAttempt(const EngineChoice &choice,
                                 PermitLeasePtr lease) {
  const UpstreamStatePtr &upstream = choice.engine;
  const TimePoint now = steadyNow();
  if (triedUpstreams_.empty())
    context_->retryQuota.recordFirstAttempts(poolName_, 1, now);
  notePromptLength();
  // Of several attempts the one that brings the first event decides.
  if (!streamStarted_ && !hasLiveAttempt())
    recordOrigin(*upstream);
  std::int64_t sharedTokens = 0;
  for (const PromptPart &part : sharedParts())
    sharedTokens += part.tokens;
  const AttemptTokens tokens{
      std::max<std::int64_t>(0, request_.promptTokens - sharedTokens),
      request_.promptTokens + request_.outputTokens, choice.pendingTokens};
  Attempt *attempt = addAttempt(upstream, tokens);
  attempt->setLease(std::move(lease));
  attempt->start(
      context_->dialect->upstreamRequestHead(
          exchange_->head, forwardingParams(*upstream), exchange_->body.size()),
      exchange_->body, request_.id, now);
  if (route_->isStream)
    armStallTimer();
  else
    armHedgeTimer();
}

void ActiveRequest::notePromptLength() {
  if (pool_ == nullptr || !pool_->engine || route_->eventGap <= Duration(0))
    return;
  const double gapTokens =
      toMillis(route_->eventGap) / engineSpeed().millisPerToken();
  context_->promptBands[poolName_].observe(
      request_.promptTokens, static_cast<std::int64_t>(gapTokens));
}

Attempt *ActiveRequest::addAttempt(const UpstreamStatePtr &upstream,
                                   AttemptTokens tokens) {
  triedUpstreams_.push_back(upstream->entry.id);
  ++possibleRuns_;
  Attempt::Events events;
  const ExpectedBody expected = !route_->isStream ? ExpectedBody::Opaque
                                : streamStarted_  ? ExpectedBody::FurtherEvents
                                                  : ExpectedBody::Events;
  auto attempt =
      std::make_unique<Attempt>(*context_->io, context_->dialect, upstream,
                                tokens, expected, &context_->responseBudget);
  Attempt *raw = attempt.get();
  events.onHead = [this, raw] { onHead(raw); };
  events.onBody = [this, raw](std::string_view bytes) { onBody(raw, bytes); };
  events.onEnd = [this, raw] { onAttemptEnd(raw); };
  raw->setEvents(std::move(events));
  raw->meter().setOutputTokens(request_.outputTokens);
  attempts_.push_back(std::move(attempt));
  return raw;
}

void ActiveRequest::onHead(Attempt *attempt) {
  if (attempt->isHandOver()) {
    if (attempt->head().headers.find(NotRunHeader) != nullptr)
      attempt->setNotRun();
    return;
  }
  context_->reach->onConnected(attempt->mutableUpstream(),
                               attempt->startedAt());
  applyUpstreamStatements(attempt->responseInfo(), attempt->mutableUpstream(),
                          &context_->registry, steadyNow());
  context_->requestLimits->onResponse(
      attempt->responseInfo(), attempt->upstreamState(), attempt->startedAt());
  if (!route_->isStream)
    context_->speeds.onReport(attempt, attempt->upstream().latency,
                              steadyNow());
  const bool isOnly = attempts_.size() == 1;
  const bool otherBegan =
      !streamStarted_ &&
      std::any_of(attempts_.begin(), attempts_.end(), [&](const auto &other) {
        return other.get() != attempt && other->isEventStream();
      });
  if (attempt->isEventStream() && !isOnly && !otherBegan)
    boundOverlap(attempt);
}

void ActiveRequest::onBody(Attempt *attempt, std::string_view bytes) {
  if (attempt->isEventStream())
    return onEvents(attempt, bytes);
  if (done_)
    return;
  // A truncated body must not be forwarded as a complete one.
  const std::size_t size = attempt->body().size() + bytes.size();
  if (size > MaxResponseBytes)
    return attempt->endUnbounded("body", size);
  if (!attempt->appendBody(bytes))
    attempt->endUnbounded("budget", size);
}

void ActiveRequest::recordEventTime(TimePoint now) {
  if (firstEventAt_ == TimePoint())
    firstEventAt_ = now;
  else
    longestGap_ = std::max(longestGap_, now - lastEventAt_);
  lastEventAt_ = now;
}

void ActiveRequest::onEvents(Attempt *attempt, std::string_view bytes) {
  if (done_)
    return;
  std::string out;
  bool hasEvent = false;
  attempt->meter().addBytes(bytes.size());
  std::vector<StreamEvent> events;
  const bool hasRoom = attempt->splitEvents(bytes, &events);
  for (const StreamEvent &event : events) {
    // A resumed stream may repeat events that the caller has received.
    const bool isRepeated =
        event.id && lastEventId_ && *event.id <= *lastEventId_;
    attempt->meter().addEvent(event, isRepeated);
    if (isRepeated)
      continue;
    out += event.bytes;
    hasEvent = hasEvent || event.id || event.hasData;
    if (event.id)
      lastEventId_ = event.id;
  }
  // Comments are no progress: they keep no stream at its upstream.
  if (hasEvent)
    forwardEvents(attempt, out);
  else if (streamStarted_ && attempts_.size() == 1)
    exchange_->write(out);
  if (!done_ && attempt->meter().isExceeded())
    return attempt->endUnbounded("event", attempt->meter().bytes());
  if (!done_ && !hasRoom)
    attempt->endUnbounded("budget", attempt->splitter().partialBytes());
}

void ActiveRequest::forwardEvents(Attempt *attempt, std::string_view events) {
  keepOnly(attempt);
  recordEventTime(steadyNow());
  context_->speeds.onEvent(attempt, lastEventAt_);
  if (!streamStarted_)
    startStream(attempt);
  attempt->notePrefillDone();
  if (attempt->noteEvent(lastEventAt_, SoundStreamTime))
    noteSound(attempt);
  exchange_->write(events);
  if (exchange_->pendingBytes() > MaxPendingBytes)
    return abortStream("caller_reads_too_slowly");
  armStallTimer();
}

void ActiveRequest::startStream(Attempt *attempt) {
  streamStarted_ = true;
  if (attempt->isHandOver()) {
    context_->metrics.observeFirstEvent(route_->name,
                                        steadyNow() - exchange_->receivedAt);
    return exchange_->begin(
        context_->dialect->callerResponseHead(attempt->head()));
  }
  softwareVersion_ = attempt->upstream().entry.softwareVersion;
  recordOrigin(attempt->upstream());
  attempt->notePrefillDone();
  const TimePoint now = steadyNow();
  const Duration elapsed = now - attempt->startedAt();
  recordResponse(attempt->mutableUpstream(), elapsed, now);
  if (pool_ != nullptr && pool_->engine) {
    const Duration expected =
        engineSpeed().firstEventDuration(attempt->tokens().pending);
    context_->speeds.onReport(attempt, expected, now);
    engineSpeed().observe(attempt->tokens().pending, elapsed);
  }
  const Duration prefillTime =
      engineSpeed().prefillDuration(request_.promptTokens);
  context_->firstEventDelays.observe(
      poolName_, std::max(Duration(0), elapsed - prefillTime), now);
  context_->metrics.observeFirstEvent(route_->name,
                                      now - exchange_->receivedAt);
  exchange_->begin(context_->dialect->callerResponseHead(attempt->head()));
  releaseResults(plan_.takeHeldResults());
}

absl::Span<const PromptPart> ActiveRequest::sharedParts() const {
  const absl::Span<const PromptPart> parts = request_.prompt;
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::string ActiveRequest::loggedParts() const {
  std::string names;
  for (const std::string &part : sharedPartNames(request_.prompt)) {
    if (names.size() + part.size() > MaxLoggedPartBytes)
      return names + ",...";
    names += (names.empty() ? "" : ",") + part;
  }
  return names;
}

void ActiveRequest::recordHealth(Attempt *attempt) {
  const TimePoint now = steadyNow();
  UpstreamState *upstream = attempt->mutableUpstream();
  const AttemptVerdict verdict = *attempt->verdict();
  const char *end = verdictName(verdict);
  switch (verdict) {
  case AttemptVerdict::NotSent:
    recordUnreachable(upstream, now);
    if (!attempt->isHandOver())
      context_->reach->onUnreachable(upstream, attempt->startedAt());
    break;
  case AttemptVerdict::NotRun:
  case AttemptVerdict::Broken:
  case AttemptVerdict::TimedOut:
  case AttemptVerdict::Unusable:
  case AttemptVerdict::ServerError:
    recordUpstreamFailure(upstream, now);
    break;
  case AttemptVerdict::Answered:
    // The latency of a stream was recorded with its first event.
    if (!route_->isStream)
      recordResponse(upstream, now - attempt->startedAt(), now);
    break;
  }
  context_->metrics.countAttempt(poolName_, end);
  if (verdict != AttemptVerdict::Answered)
    logEvent(LogLevel::Info, "attempt_failed",
             {{"id", request_.id},
              {"route", route_->name},
              {"upstream", upstream->entry.id},
              {"end", end},
              {"status", attempt->head().status},
              {"why", attempt->failureReason()},
              {"unframed", attempt->isUnframed()},
              {"events", static_cast<long>(attempt->meter().eventCount())},
              {"parts", loggedParts()},
              {"request", requestName_},
              {"ms", toMillis(now - attempt->startedAt())},
              {"failure_rate", upstream->failureRate},
              {"in_flight", static_cast<long>(upstream->inFlight)}});
}

void ActiveRequest::onAttemptEnd(Attempt *attempt) {
  const AttemptVerdict verdict = *attempt->verdict();
  recordHealth(attempt);
  reportParts(attempt);
  if (!mayHaveRun(verdict))
    --possibleRuns_;
  if (callerDisconnected_ && !hasOpenTrial())
    return finish("caller_gone", 0, "caller_gone");
  if (attempt->isEventStream() && verdict == AttemptVerdict::Answered) {
    context_->speeds.onStreamEnd(attempt, steadyNow());
    exchange_->end();
    return finish("complete", 200, "");
  }
  decideNextStep(attempt);
}

bool ActiveRequest::takeRetry() {
  return context_->retryQuota.spend(poolName_, 1, steadyNow());
}

void ActiveRequest::decideNextStep(Attempt *attempt) {
  const AttemptVerdict verdict = *attempt->verdict();
  // The other attempt of a hedged stream may still go on.
  if (route_->isStream && (hasLiveAttempt() || hedgeAwaitsStages_)) {
    if (isStalled_ && !mayHaveRun(verdict))
      retryHedge(attempt);
    return;
  }
  if (hasPeerReply(*attempt) && !streamStarted_)
    return relayFromPeer(attempt);
  const bool inputsGone = attempt->responseInfo().areInputsGone;
  AttemptLimits limits;
  limits.possibleRuns = possibleRuns_;
  limits.attemptCount = static_cast<std::int64_t>(triedUpstreams_.size());
  limits.hasTime = timeLeft() > MinAttemptTime;
  RetryDecision step = decideRetry(*route_, verdict, limits);
  if (step == RetryDecision::RetryElsewhere && hasLiveAttempt())
    return;
  // Before the stages run again, and before a retry is spent.
  if (step == RetryDecision::RetryElsewhere && streamStarted_ &&
      !mustHandOver() && selectUpstream({}).engine == nullptr)
    return abortStream(missingUpstreamReason());
  if (step == RetryDecision::RetryElsewhere && !takeRetry())
    step = decideWithoutRetry(verdict, possibleRuns_);
  // A hedge may still bring a better response than an error.
  const bool isSuccess = step == RetryDecision::RelayResponse &&
                         verdict == AttemptVerdict::Answered;
  if (!isSuccess && hasLiveAttempt())
    return;
  if (step == RetryDecision::RetryElsewhere) {
    if (!mustHandOver() && (inputsGone || needsStagesAgain()))
      return rerunStages(attempt);
    return dispatch();
  }
  if (streamStarted_)
    return abortStream("upstream_broke_off");
  if (step != RetryDecision::RelayResponse)
    if (Attempt *failed = errorResponse())
      return relay(failed);
  if (step == RetryDecision::RelayResponse)
    return relay(attempt);
  if (step == RetryDecision::ReportNotRun)
    return refuse(503, "upstreams_refused", DefaultRetryAfter);
  refuse(502, "upstream_broke_off");
}

Attempt *ActiveRequest::errorResponse() const {
  const auto found = std::find_if(
      attempts_.begin(), attempts_.end(), [this](const auto &attempt) {
        return !route_->isStream &&
               attempt->verdict() == AttemptVerdict::ServerError;
      });
  return found == attempts_.end() ? nullptr : found->get();
}

void ActiveRequest::rerunStages(Attempt *attempt) {
  if (attempt->responseInfo().areInputsGone)
    triedUpstreams_.pop_back();
  if (restartStages())
    return submitReadyStages();
  streamStarted_
      ? abortStream("inputs_gone")
      : refuse(possibleRuns_ > 0 ? 502 : 503, "inputs_gone", DefaultRetryAfter);
}

} // namespace auburnspring
