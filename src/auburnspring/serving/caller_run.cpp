#include "auburnspring/serving/caller_run.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/upstream_health.h"

#include <asio/post.hpp>

#include <algorithm>

namespace auburnspring {

namespace {

/// A caller that names no time waits no longer than its route's timeout, and a
/// route without one this long.
constexpr Duration LongestWait = std::chrono::seconds(60);

} // namespace

CallerRun::CallerRun(ServingContext *context,
                     std::shared_ptr<http::Exchange> exchange,
                     Finished finished)
    : context_(context), exchange_(std::move(exchange)),
      finished_(std::move(finished)), table_(context->table),
      deadlineTimer_(*context->io), paceTimer_(*context->io) {}

void CallerRun::start() {
  request_ = context_->dialect->readCaller(exchange_->head);
  deadline_ = exchange_->receivedAt + LongestWait;
  if (!admit())
    return;
  exchange_->onGone = [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->onCallerGone();
  };
  deadlineTimer_.expires_at(deadline_);
  deadlineTimer_.async_wait([weak = weak_from_this()](asio::error_code error) {
    const auto self = weak.lock();
    if (!error && self)
      self->onDeadline();
  });
  lastEvent_ = request_.lastEvent;
  startStages();
}

bool CallerRun::admit() {
  if (!table_) {
    refuse(503, "no_configuration", DefaultReturn);
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
        request_.key ? table_->ownerOf(*request_.key) : nullptr;
    if (owner == nullptr) {
      refuse(401, "unknown_key");
      return false;
    }
    organisation_ = owner->name;
    priority_ = owner->priority.value_or(priority_);
  }
  const Duration wait =
      std::min(route_->timeout, request_.timeLeft.value_or(route_->timeout));
  deadline_ = exchange_->receivedAt + wait;
  // A caller that comes back has less time left than a new one; its goal runs
  // from its first attempt.
  Duration &longest = context_->longestWait[route_->name];
  longest = std::max(longest, request_.timeLeft.value_or(wait));
  const Duration spent = longest - request_.timeLeft.value_or(longest);
  goalAt_ = exchange_->receivedAt + route_->goal - spent;
  chooseUpstreamPool();
  pool_ = table_->pool(poolName_);
  return true;
}

void CallerRun::chooseUpstreamPool() {
  double total = 0;
  for (const PoolShare &share : route_->pools)
    total += share.weight;
  std::uniform_real_distribution<double> any(0, total);
  double drawn = any(context_->random);
  for (const PoolShare &share : route_->pools) {
    poolName_ = share.pool;
    drawn -= share.weight;
    if (drawn < 0)
      return;
  }
}

Duration CallerRun::timeLeft() const { return deadline_ - steadyNow(); }

void CallerRun::onCallerGone() {
  callerGone_ = true;
  // A request that may not be repeated runs on, so that it is not cut off in
  // the middle of its effect.
  const bool runsOn =
      !route_->isStream && !route_->mayRunAgain() && hasLiveAttempt();
  if (runsOn)
    return;
  finish("caller_gone", 0, "caller_gone");
}

void CallerRun::onDeadline() { endNow(504, "deadline"); }

void CallerRun::endWithHost() { endNow(502, "host_stops"); }

void CallerRun::endNow(int statusIfRun, std::string_view reason) {
  if (done_)
    return;
  if (callerGone_)
    return finish("caller_gone", 0, reason);
  if (streamBegun_)
    return abortStream(reason);
  if (ran_ > 0 || hasLiveAttempt())
    return refuse(statusIfRun, reason);
  refuse(503, reason, DefaultReturn);
}

bool CallerRun::hasLiveAttempt() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const auto &attempt) { return !attempt->hasEnded(); });
}

// Answers.

void CallerRun::relay(Attempt *attempt) {
  const int status = attempt->head().status;
  exchange_->respond(context_->dialect->callerHead(attempt->head()),
                     attempt->body());
  finish(status < 500 ? "complete" : "upstream_failed", status, "");
}

void CallerRun::refuse(int status, std::string_view reason,
                       std::optional<Duration> retryAfter) {
  context_->metrics.countRefusal(std::string(reason));
  exchange_->respond(
      context_->dialect->ownAnswer(status, request_.id, retryAfter), "");
  const char *outcome = status == 503   ? "not_run"
                        : status >= 500 ? "unknown"
                                        : "rejected";
  finish(outcome, status, reason);
}

void CallerRun::abortStream(std::string_view reason) {
  exchange_->abort();
  finish("incomplete", 0, reason);
}

void CallerRun::finish(const std::string &outcome, int status,
                       std::string_view reason) {
  if (done_)
    return;
  done_ = true;
  exchange_->onGone = nullptr;
  deadlineTimer_.cancel();
  paceTimer_.cancel();
  if (context_->pieces != nullptr && !plan_.stages().empty()) {
    context_->pieces->withdraw(request_.id);
    releaseResults(plan_.takeHeld());
  }
  const TimePoint now = steadyNow();
  const Duration took = now - exchange_->receivedAt;
  const std::string route = route_ == nullptr ? "" : route_->name;
  context_->metrics.countRequest(route, outcome, took);
  logEvent(
      outcome == "complete" ? LogLevel::Info : LogLevel::Warning,
      "request_done",
      {{"id", request_.id},
       {"route", route},
       {"organisation", organisation_},
       {"outcome", outcome},
       {"status", status},
       {"reason", std::string(reason)},
       {"upstream", tried_.empty() ? std::string() : tried_.back()},
       {"attempts", static_cast<unsigned long>(tried_.size())},
       {"ms", toMillis(took)},
       {"stages_ms", stagesDoneAt_ == TimePoint()
                         ? 0.0
                         : toMillis(stagesDoneAt_ - exchange_->receivedAt)},
       {"pieces_done", plan_.donePieces()},
       {"left_ms", toMillis(deadline_ - now)},
       {"configuration", table_ ? static_cast<long>(table_->version) : 0},
       {"upstreams_at",
        static_cast<unsigned long>(context_->registry.changes())}});
  for (const auto &attempt : attempts_)
    attempt->cancel();
  // The run may be inside one of its own callbacks.
  asio::post(*context_->io,
             [self = shared_from_this()] { self->finished_(self.get()); });
}

} // namespace auburnspring
