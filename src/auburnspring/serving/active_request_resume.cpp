#include "auburnspring/serving/active_request.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>
#include <string>

namespace auburnspring {

namespace {

/// How far the replica of the store may lag behind when a version is inferred
/// from it.
constexpr Duration ReplicaLag = std::chrono::seconds(3);

const char *sourceName(StreamOrigins::Source source) {
  return source == StreamOrigins::Source::Own ? "own" : "peer";
}

} // namespace

bool ActiveRequest::isResumption() const {
  return route_ != nullptr && route_->isStream && request_.isResumption();
}

void ActiveRequest::findOrigin() {
  const std::string &id = request_.resumedId;
  if (id.empty())
    return inferOrigin(&ActiveRequest::refuseUnnamedOrigin);
  const auto found = context_->streamOrigins->find(id);
  if (found && found->isSettled())
    return resumeAt(found->origin, sourceName(found->source));
  context_->streamOrigins->query(
      id, handlers_.bind([this](const std::optional<StreamOrigin> &origin) {
        if (origin)
          return resumeAt(*origin, "query");
        inferOrigin(&ActiveRequest::readOrigin);
      }));
}

std::optional<std::string> ActiveRequest::onlyVersion() const {
  const Duration longestStream =
      std::max(route_->timeout, context_->longestTimeout[route_->name]);
  // Of several pools it is not known which one the stream began in.
  return route_->pools.size() == 1
             ? context_->versionHistory.onlyVersion(
                   poolName_, longestStream + ReplicaLag, steadyNow())
             : std::nullopt;
}

void ActiveRequest::inferOrigin(void (ActiveRequest::*otherwise)()) {
  if (!onlyVersion())
    return (this->*otherwise)();
  // The stream may have begun at an upstream that joined after the replica was
  // last confirmed. Its entry is older than this request.
  context_->follower->confirm(
      handlers_.bind([this, otherwise](bool isConfirmed) {
        const auto version = isConfirmed ? onlyVersion() : std::nullopt;
        if (!version)
          return (this->*otherwise)();
        resumeAt({request_.resumedId, poolName_, *version, 0, Duration(0)},
                 "inferred");
      }));
}

void ActiveRequest::refuseUnnamedOrigin() { refuseUnknownOrigin(std::nullopt); }

void ActiveRequest::readOrigin() {
  using Outcome = StreamOriginStore::Outcome;
  context_->originStore->find(
      request_.resumedId,
      handlers_.bind(
          [this](Outcome outcome, const std::optional<StreamOrigin> &origin) {
            if (origin)
              return resumeAt(*origin, "store");
            const bool mayCome =
                outcome == Outcome::Unread ||
                context_->streamOrigins->maySettle(request_.resumedId);
            refuseUnknownOrigin(
                mayCome ? std::make_optional(jittered(DefaultRetryAfter))
                        : std::nullopt);
          }));
}

void ActiveRequest::refuseUnknownOrigin(std::optional<Duration> retryAfter) {
  logEvent(LogLevel::Warning, "stream_origin_unknown",
           {{"id", request_.id},
            {"resumes", request_.resumedId},
            {"route", route_->name},
            {"pool", poolName_},
            {"may_come", retryAfter.has_value()},
            {"waited_ms", toMillis(steadyNow() - exchange_->receivedAt)}});
  // Any other version may be the wrong one. Coming back helps only if the
  // record may still come.
  refuse(503, "origin_unknown", retryAfter);
}

void ActiveRequest::resumeAt(const StreamOrigin &origin,
                             std::string_view source) {
  const bool isPoolOfRoute = std::any_of(
      route_->pools.begin(), route_->pools.end(),
      [&](const PoolShare &share) { return share.pool == origin.pool; });
  poolName_ = origin.pool;
  pool_ = table_->pool(poolName_);
  softwareVersion_ = origin.softwareVersion;
  logEvent(LogLevel::Info, "stream_origin_resolved",
           {{"id", request_.id},
            {"resumes", request_.resumedId},
            {"route", route_->name},
            {"pool", poolName_},
            {"version", origin.softwareVersion},
            {"source", std::string(source)},
            {"waited_ms", toMillis(steadyNow() - exchange_->receivedAt)}});
  // A configuration has moved the route to another pool since.
  if (!isPoolOfRoute)
    return refuse(503, "pool_left_route");
  if (selectUpstream({}).engine == nullptr)
    return refuseWithoutUpstream();
  startStages();
}

void ActiveRequest::recordOrigin(const UpstreamState &upstream) {
  if (!route_->isStream || !route_->isResumable)
    return;
  const std::string &id =
      request_.resumedId.empty() ? request_.id : request_.resumedId;
  const Duration patience =
      std::max(route_->timeout, request_.timeLeft.value_or(Duration(0)));
  // The version of a resumed stream has been found out before.
  const bool isBound = streamStarted_ || softwareVersion_.has_value();
  context_->streamOrigins->record(
      {id, poolName_, upstream.entry.softwareVersion, 0, patience, isBound});
}

EngineChoice
ActiveRequest::selectUpstream(const std::vector<std::string> &inputs) {
  EngineChoice choice = selectUpstream(inputs, triedUpstreams_);
  // Few upstreams may run the version of a stream that has begun: one that was
  // tried is better than none, the latest only unless it is known to be down.
  if (choice.engine != nullptr || !streamStarted_ || hasLiveAttempt())
    return choice;
  const std::string &latest = triedUpstreams_.back();
  EngineChoice tried = selectUpstream(inputs, {latest});
  if (tried.engine != nullptr)
    return tried;
  const UpstreamStatePtr upstream = context_->registry.byId(latest);
  if (upstream == nullptr || !upstream->acceptsWork(steadyNow()))
    return {};
  return selectUpstream(inputs, {});
}

std::optional<std::string> ActiveRequest::requiredVersion() const {
  if (softwareVersion_ || !route_->isStream)
    return softwareVersion_;
  // Peers know the version of the attempt in progress. They might learn too
  // late that another one has brought the first event.
  const Attempt *live = liveAttempt();
  if (live == nullptr)
    return std::nullopt;
  return live->upstream().entry.softwareVersion;
}

std::string_view ActiveRequest::missingUpstreamReason() const {
  if (context_->registry.isEvacuated(poolName_, steadyNow(), softwareVersion_))
    return "evacuated";
  return softwareVersion_ &&
                 !context_->registry.lists(poolName_, *softwareVersion_)
             ? "no_upstream_of_version"
             : "no_upstream";
}

void ActiveRequest::refuseWithoutUpstream() {
  // Coming back helps only if there is an upstream to come back to.
  const std::string_view reason = missingUpstreamReason();
  if (reason != "no_upstream")
    return refuse(503, reason);
  const Duration refusal =
      context_->registry.refusalTime(poolName_, steadyNow(), softwareVersion_);
  return refusal > Duration(0)
             ? refuse(503, "upstreams_refuse", jittered(refusal))
             : refuse(503, reason, DefaultRetryAfter);
}

bool ActiveRequest::restartStages() {
  if (!plan_.restartFinalStages())
    return false;
  // The target of a stream's first event has passed. Its stages are worth as
  // much as those of a new stream, and are not to be batched after them.
  if (streamStarted_)
    targetTime_ = std::max(targetTime_, steadyNow() + route_->targetLatency);
  return true;
}

} // namespace auburnspring
