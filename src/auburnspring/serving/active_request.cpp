#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/request_name.h"
#include "auburnspring/decision/upstream_health.h"

#include <asio/post.hpp>

#include <algorithm>

namespace auburnspring {

namespace {

/// Timeout of a request until its route is known.
constexpr Duration DefaultTimeout = std::chrono::seconds(60);

} // namespace

ActiveRequest::ActiveRequest(ServingContext *context,
                             std::shared_ptr<http::Exchange> exchange,
                             Source source, FinishedHandler onFinished)
    : context_(context), exchange_(std::move(exchange)), source_(source),
      onFinished_(std::move(onFinished)), table_(context->table),
      deadlineTimer_(*context->io), progressTimer_(*context->io),
      overlapTimer_(*context->io) {}

void ActiveRequest::start() {
  request_ = context_->dialect->parseCallerRequest(exchange_->head);
  deadline_ = exchange_->receivedAt + DefaultTimeout;
  if (!admit())
    return;
  requestName_ =
      requestName(exchange_->head.target, organisation_, exchange_->body);
  partNames_ = sharedPartNames(request_.prompt);
  partNames_.push_back(requestName_);
  exchange_->onDisconnect = handlers_.bind([this] { onCallerDisconnected(); });
  deadlineTimer_.startAt(deadline_, [this] { onDeadline(); });
  beginUnlessQuarantined();
}

void ActiveRequest::begin() {
  lastEventId_ = request_.lastEventId;
  if (mustHandOver())
    return handOver();
  isResumption() ? findOrigin() : startStages();
}

bool ActiveRequest::admit() {
  if (request_.isMalformed) {
    refuse(400, "not_utf8");
    return false;
  }
  if (!table_) {
    refuse(503, "no_configuration", DefaultRetryAfter);
    return false;
  }
  route_ = table_->match(request_.host, request_.path);
  if (route_ == nullptr) {
    refuse(404, "no_route");
    return false;
  }
  priority_ = route_->priority;
  if (!table_->organisations.empty() && !route_->isPublic) {
    const ServedOrganisation *owner =
        request_.key ? table_->organisationForKey(*request_.key) : nullptr;
    if (owner == nullptr) {
      refuse(401, "unknown_key");
      return false;
    }
    organisation_ = owner->name;
    priority_ = owner->priority.value_or(priority_);
  }
  const Duration timeout =
      std::min(route_->timeout, request_.timeLeft.value_or(route_->timeout));
  deadline_ = exchange_->receivedAt + timeout;
  // A retrying caller has less time left than a new one; its latency target
  // counts from its first attempt.
  Duration &longestTimeout = context_->longestTimeout[route_->name];
  longestTimeout =
      std::max(longestTimeout, request_.timeLeft.value_or(timeout));
  // A stream that is resumed has met or missed its target before. Its stages
  // are worth as much as those of a new one.
  const Duration elapsedBefore =
      isResumption()
          ? Duration(0)
          : longestTimeout - request_.timeLeft.value_or(longestTimeout);
  targetTime_ = exchange_->receivedAt + route_->targetLatency - elapsedBefore;
  chooseUpstreamPool();
  pool_ = table_->pool(poolName_);
  if (hasTimeBeforeStop())
    return true;
  refuse(503, "stopping", StoppingRetryAfter);
  return false;
}

bool ActiveRequest::hasTimeBeforeStop() const {
  return !context_->stop ||
         context_->stop->hasTimeFor(
             deadline_, context_->routeDurations.bound(route_->name),
             steadyNow());
}

void ActiveRequest::chooseUpstreamPool() {
  double total = 0;
  for (const PoolShare &share : route_->pools)
    total += share.weight;
  std::uniform_real_distribution<double> uniform(0, total);
  double point = uniform(context_->random);
  for (const PoolShare &share : route_->pools) {
    poolName_ = share.pool;
    point -= share.weight;
    if (point < 0)
      return;
  }
}

Duration ActiveRequest::timeLeft() const { return deadline_ - steadyNow(); }

void ActiveRequest::onCallerDisconnected() {
  callerDisconnected_ = true;
  // A non-retryable request keeps running, so that it is not aborted halfway
  // through its side effects, and so does a trial: the next one may be far off.
  const bool hasSideEffects =
      !route_->isStream && !route_->isRetryable() && hasLiveAttempt();
  if (hasSideEffects || isTrial_)
    return;
  finish("caller_gone", 0, "caller_gone");
}

void ActiveRequest::onDeadline() { endRequest(504, "deadline"); }

void ActiveRequest::endForShutdown() { endRequest(502, "host_stops"); }

void ActiveRequest::endRequest(int statusIfRun, std::string_view reason) {
  if (done_)
    return;
  if (callerDisconnected_)
    return finish("caller_gone", 0, reason);
  if (streamStarted_)
    return abortStream(reason);
  if (possibleRuns_ > 0 || hasLiveAttempt())
    return refuse(statusIfRun, reason);
  refuse(503, reason, DefaultRetryAfter);
}

Attempt *ActiveRequest::liveAttempt() const {
  const auto live =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [](const auto &attempt) { return !attempt->hasEnded(); });
  return live == attempts_.end() ? nullptr : live->get();
}

// Responses.

void ActiveRequest::relay(Attempt *attempt) {
  const int status = attempt->head().status;
  respondingUpstream_ = attempt->upstream().entry.id;
  const TimePoint now = steadyNow();
  for (const auto &other : attempts_)
    if (!other->hasEnded() && other->startedAt() < attempt->startedAt())
      recordOvertaken(other->mutableUpstream(), now - other->startedAt());
  exchange_->respond(context_->dialect->callerResponseHead(attempt->head()),
                     attempt->body());
  finish(status < 500 ? "complete" : "upstream_failed", status, "");
}

void ActiveRequest::refuse(int status, std::string_view reason,
                           std::optional<Duration> retryAfter) {
  context_->metrics.countRefusal(std::string(reason));
  http::ResponseHead reply =
      context_->dialect->localReply(status, request_.id, retryAfter);
  if (isFromPeer() && status == 503)
    reply.headers.add(NotRunHeader, "1");
  exchange_->respond(std::move(reply), "");
  const char *outcome = status == 503   ? "not_run"
                        : status >= 500 ? "unknown"
                                        : "rejected";
  finish(outcome, status, reason);
}

void ActiveRequest::abortStream(std::string_view reason) {
  context_->metrics.countAbortedStream(std::string(reason));
  exchange_->abort();
  finish("incomplete", 0, reason);
}

void ActiveRequest::finish(const std::string &outcome, int status,
                           std::string_view reason) {
  if (done_)
    return;
  done_ = true;
  handlers_.reset();
  deadlineTimer_.cancel();
  progressTimer_.cancel();
  overlapTimer_.cancel();
  if (context_->pieceDispatcher != nullptr && !plan_.stages().empty()) {
    context_->pieceDispatcher->cancel(request_.id);
    releaseResults(plan_.takeHeldResults());
  }
  // No caller resumes a stream of which it has no event from here.
  if (!streamStarted_)
    context_->streamOrigins->disown(request_.id);
  const TimePoint now = steadyNow();
  const Duration elapsed = now - exchange_->receivedAt;
  const std::string route = route_ == nullptr ? "" : route_->name;
  context_->metrics.countRequest(route, outcome, elapsed);
  // The deadline cuts a request that takes even longer.
  if (outcome == "complete" || reason == "deadline")
    context_->routeDurations.observe(route, elapsed);
  if (isResumption())
    context_->metrics.countResumption(streamStarted_   ? "went_on"
                                      : reason.empty() ? outcome
                                                       : std::string(reason));
  logEvent(
      outcome == "complete" ? LogLevel::Info : LogLevel::Warning,
      "request_done",
      {{"id", request_.id},
       {"route", route},
       {"organisation", organisation_},
       {"outcome", outcome},
       {"status", status},
       {"reason", std::string(reason)},
       {"upstream", respondingUpstream_.empty() && !triedUpstreams_.empty()
                        ? triedUpstreams_.back()
                        : respondingUpstream_},
       {"attempts", static_cast<unsigned long>(triedUpstreams_.size())},
       {"ms", toMillis(elapsed)},
       {"resumes", request_.resumedId},
       {"version", softwareVersion_.value_or("")},
       {"stages_ms", stagesDoneAt_ == TimePoint()
                         ? 0.0
                         : toMillis(stagesDoneAt_ - exchange_->receivedAt)},
       {"first_event_ms",
        firstEventAt_ == TimePoint()
            ? 0.0
            : toMillis(firstEventAt_ - exchange_->receivedAt)},
       {"longest_gap_ms", toMillis(longestGap_)},
       {"silent_ms",
        firstEventAt_ == TimePoint() ? 0.0 : toMillis(now - lastEventAt_)},
       {"pieces_done", plan_.donePieces()},
       {"left_ms", toMillis(deadline_ - now)},
       {"configuration", table_ ? static_cast<long>(table_->version) : 0},
       {"configuration_now",
        context_->table ? static_cast<long>(context_->table->version) : 0},
       {"upstreams_at",
        static_cast<unsigned long>(context_->registry.version())}});
  for (const auto &attempt : attempts_)
    attempt->cancel();
  // This may be called from one of the request's own callbacks.
  asio::post(*context_->io,
             [self = shared_from_this()] { self->onFinished_(self.get()); });
}

} // namespace auburnspring
