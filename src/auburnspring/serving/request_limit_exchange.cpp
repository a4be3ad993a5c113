#include "auburnspring/serving/request_limit_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

namespace {

/// How long a reply is awaited, several round trips.
constexpr Duration ReplyTimeout = std::chrono::milliseconds(150);
/// When to ask again after a reply that did not come.
constexpr Duration RetryAfterTimeout = std::chrono::milliseconds(300);
/// Ended limits are announced for this time, so that every host learns it.
constexpr Duration EndRetention = std::chrono::seconds(10);
constexpr std::size_t MaxHeartbeatLimits = 64;
/// A host that has not heard of most others for this long is out of touch.
constexpr Duration OutOfTouchTime = std::chrono::milliseconds(1500);
/// How often it is checked which host gives the permits.
constexpr Duration GiverCheckInterval = std::chrono::milliseconds(100);
/// Beyond this number the oldest releases are not sent again.
constexpr std::size_t MaxSentReleases = 256;
/// Longest time for which a permit is held.
constexpr Duration MaxHoldTime = std::chrono::seconds(60);

std::int64_t wallNowMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

UpstreamStatement statementOf(const UpstreamState &upstream, StatementKind kind,
                              TimePoint now) {
  UpstreamStatement statement{upstream.entry.id, upstream.entry.startedAtMillis,
                              kind, std::nullopt, Duration(0)};
  const SharedLimit *limit = upstream.limits.find(kind);
  if (limit == nullptr)
    return statement;
  statement.value = limit->value();
  statement.age = now - limit->statedAt().value_or(now);
  return statement;
}

/// What a response states for each reason, and whether its silence ends it.
struct StatedInResponse {
  StatementKind kind;
  std::optional<double> ResponseInfo::*value;
};
constexpr StatedInResponse StatedInResponses[] = {
    {StatementKind::RequestLimit, &ResponseInfo::requestLimit},
    {StatementKind::RejectionLimit, &ResponseInfo::rejectionLimit}};

void logLimit(const UpstreamState &upstream, const UpstreamStatement &statement,
              const std::string &source) {
  logEvent(LogLevel::Info, "upstream_limit",
           {{"upstream", upstream.entry.id},
            {"pool", upstream.entry.pool},
            {"reason", std::string(UpstreamLimits::reasonName(statement.kind))},
            {UpstreamLimits::unitName(statement.kind).data(),
             statement.value.value_or(0.0)},
            {"source", source}});
}

} // namespace

LimitTerms RequestLimitExchange::termsOf(const UpstreamState &upstream) const {
  LimitTerms terms;
  terms.slots = static_cast<double>(upstream.entry.slots);
  terms.cold = coldPolicy_(upstream.entry.pool).terms;
  const auto pool = rejections_.find(upstream.entry.pool);
  if (pool != rejections_.end())
    terms.roomPerSlot = pool->second.roomPerSlot();
  return terms;
}

bool RequestLimitExchange::apply(const UpstreamStatePtr &upstream,
                                 const UpstreamStatement &statement,
                                 const std::string &source) {
  const TimePoint now = steadyNow();
  const TimePoint statedAt = now - statement.age;
  if (statement.kind == StatementKind::RejectionLimit)
    rejections_[upstream->entry.pool].onStatement(statement.value, statedAt);
  if (!upstream->limits.onStatement(statement.kind, statement.value, statedAt,
                                    termsOf(*upstream), now))
    return false;
  if (!upstream->limits.isLimited(now))
    upstream->limitedUntil = TimePoint();
  logLimit(*upstream, statement, source);
  return true;
}

void RequestLimitExchange::onResponse(const ResponseInfo &response,
                                      const UpstreamStatePtr &upstream,
                                      TimePoint sentAt) {
  if (response.isMisdirected)
    return;
  const TimePoint now = steadyNow();
  for (const StatedInResponse &stated : StatedInResponses) {
    const std::optional<double> value = response.*stated.value;
    const SharedLimit *limit = upstream->limits.find(stated.kind);
    // A response to an earlier request may have overtaken the one that named
    // the limit, and an upstream's error says nothing of its need.
    const bool endsLimit = !value && limit != nullptr &&
                           limit->isLimited(now) && response.isSuccess &&
                           sentAt > limit->statedAt().value_or(TimePoint());
    if (!value && !endsLimit)
      continue;
    const UpstreamStatement statement{upstream->entry.id,
                                      upstream->entry.startedAtMillis,
                                      stated.kind, value, Duration(0)};
    if (apply(upstream, statement, "response"))
      announce(*upstream, stated.kind);
  }
  // It ends by itself; silence says nothing of it.
  if (!response.coldRemaining)
    return;
  const UpstreamStatement cold{
      upstream->entry.id, upstream->entry.startedAtMillis, StatementKind::Cold,
      toMillis(*response.coldRemaining), Duration(0)};
  if (apply(upstream, cold, "response"))
    announce(*upstream, StatementKind::Cold);
}

void RequestLimitExchange::announce(const UpstreamState &upstream,
                                    StatementKind kind) {
  const TimePoint now = steadyNow();
  const UpstreamStatementUpdate update{{statementOf(upstream, kind, now)}};
  const std::string giver = peers_->batchingHost(upstream.entry.pool, now);
  // The host that gives the permits tells all others.
  if (giver == peers_->self())
    peers_->broadcast(update, peers_->peerCount());
  else
    peers_->send(giver, update);
}

bool RequestLimitExchange::learn(const UpstreamStatement &stated,
                                 const std::string &source) {
  const UpstreamStatePtr upstream = registry_->byId(stated.upstream);
  if (!UpstreamLimits::isLimit(stated.kind) || !upstream ||
      upstream->entry.startedAtMillis != stated.startedAtMillis)
    return false;
  return apply(upstream, stated, source);
}

void RequestLimitExchange::onUpdate(const std::string &from,
                                    const UpstreamStatementUpdate &update) {
  for (const UpstreamStatement &statement : update.statements) {
    if (!learn(statement, from))
      continue;
    const UpstreamStatePtr upstream = registry_->byId(statement.upstream);
    if (peers_->batchingHost(upstream->entry.pool, steadyNow()) ==
        peers_->self())
      announce(*upstream, statement.kind);
  }
}

void RequestLimitExchange::onHeartbeat(
    const std::string &from, const std::vector<UpstreamStatement> &statements) {
  for (const UpstreamStatement &statement : statements)
    learn(statement, from);
}

std::vector<UpstreamStatement> RequestLimitExchange::statementsForHeartbeat() {
  const TimePoint now = steadyNow();
  for (auto &entry : registry_->all()) {
    assumeCold(entry.second.get(), now);
    if (coldPolicy_(entry.second->entry.pool).terms.perSecond > 0)
      givingFor(entry.second->entry.pool, now);
  }
  std::vector<UpstreamStatement> limits;
  for (const auto &entry : registry_->all())
    for (const StatementKind kind : UpstreamLimits::kinds()) {
      if (limits.size() >= MaxHeartbeatLimits)
        return limits;
      const SharedLimit *limit = entry.second->limits.find(kind);
      if (limit != nullptr && limit->statedAt() &&
          (limit->isLimited(now) || (kind != StatementKind::Cold &&
                                     now < *limit->statedAt() + EndRetention)))
        limits.push_back(statementOf(*entry.second, kind, now));
    }
  return limits;
}

std::size_t RequestLimitExchange::limitedCount(StatementKind kind) const {
  const TimePoint now = steadyNow();
  const auto &all = registry_->all();
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto &entry) {
        return entry.second->limits.isLimited(kind, now);
      }));
}

bool RequestLimitExchange::needsPermit(UpstreamState *upstream) {
  const TimePoint now = steadyNow();
  assumeLimits(upstream, now);
  if (upstream->limits.isLimited(StatementKind::Cold, now))
    upstream->limits.setGivingFor(givingFor(upstream->entry.pool, now), now);
  return upstream->limits.isLimited(now);
}

Duration RequestLimitExchange::givingFor(const std::string &pool,
                                         TimePoint now) {
  Giving &giving = giving_[pool];
  if (now >= giving.checkedAt + GiverCheckInterval) {
    giving.checkedAt = now;
    const bool gives = peers_->batchingHost(pool, now) == peers_->self() &&
                       peers_->hearsMost(OutOfTouchTime, now);
    if (!gives)
      giving.since.reset();
    else if (!giving.since)
      giving.since = now;
  }
  return giving.since ? std::max(Duration(1), now - *giving.since)
                      : Duration(0);
}

void RequestLimitExchange::assumeCold(UpstreamState *upstream, TimePoint now) {
  const ColdPolicy policy = coldPolicy_(upstream->entry.pool);
  if (policy.terms.perSecond <= 0 ||
      upstream->limits.find(StatementKind::Cold) != nullptr)
    return;
  // Its clock may differ from this host's, and its entry may be late.
  const Duration age = std::chrono::milliseconds(
      wallNowMillis() - upstream->entry.startedAtMillis);
  const Duration byStart =
      age < Duration(0) ? policy.coldTime : policy.coldTime - age;
  const Duration remaining =
      std::max({Duration(0), upstream->entry.warmupRemaining, byStart});
  // Any statement is later than what is assumed.
  const Duration sinceEpoch = now - TimePoint();
  upstream->limits.onStatement(StatementKind::Cold,
                               toMillis(sinceEpoch + remaining), TimePoint(),
                               termsOf(*upstream), now);
}

void RequestLimitExchange::assumeLimits(UpstreamState *upstream,
                                        TimePoint now) {
  assumeCold(upstream, now);
  // A new incarnation says nothing until its first response.
  const auto pool = rejections_.find(upstream->entry.pool);
  if (pool != rejections_.end() &&
      upstream->limits.find(StatementKind::RejectionLimit) == nullptr)
    if (const auto perSecond = pool->second.perSecond(now))
      upstream->limits.onStatement(StatementKind::RejectionLimit, perSecond,
                                   TimePoint(), termsOf(*upstream), now);
}

PermitReply RequestLimitExchange::decide(UpstreamState *upstream,
                                         Duration holdFor) {
  const TimePoint now = steadyNow();
  needsPermit(upstream);
  PermitReply reply;
  reply.lease = random_();
  reply.granted = upstream->limits.takePermit(
      reply.lease, std::min(holdFor, MaxHoldTime), now);
  if (reply.granted)
    return reply;
  std::uniform_real_distribution<double> uniform(0, 1);
  reply.retryIn = upstream->limits.retryAfterDenial(now, uniform(random_));
  return reply;
}

PermitLeasePtr RequestLimitExchange::makeLease(const UpstreamStatePtr &upstream,
                                               const std::string &giver,
                                               std::uint64_t lease) {
  const PermitRelease ended{upstream->entry.id, upstream->entry.startedAtMillis,
                            lease, PermitEnd::Done};
  // Only such permits end with their request.
  if (!upstream->limits.isLimited(StatementKind::RejectionLimit, steadyNow()))
    return nullptr;
  return std::make_shared<PermitLease>(
      handlers_.bind([this, giver, ended](PermitEnd end) {
        PermitRelease release = ended;
        release.end = end;
        if (giver == peers_->self())
          return onPermitRelease(release);
        sentReleases_.push_back({giver, release, steadyNow()});
        if (sentReleases_.size() > MaxSentReleases)
          sentReleases_.pop_front();
        peers_->send(giver, release);
      }));
}

void RequestLimitExchange::repeat(const std::string &host, TimePoint since) {
  // A second one of the same permit changes nothing.
  for (const SentRelease &sent : sentReleases_)
    if (sent.giver == host && sent.at >= since)
      peers_->send(host, sent.release);
}

PermitLeasePtr RequestLimitExchange::takeOwn(const UpstreamStatePtr &upstream,
                                             Duration holdFor) {
  const TimePoint now = steadyNow();
  needsPermit(upstream.get());
  const std::uint64_t lease = random_();
  const bool granted = upstream->limits.takePermit(lease, holdFor, now);
  upstream->limitedUntil = now + upstream->limits.timeToPermit(now);
  if (!granted)
    return nullptr;
  const PermitLeasePtr made = makeLease(upstream, peers_->self(), lease);
  return made ? made : std::make_shared<PermitLease>([](PermitEnd) {});
}

void RequestLimitExchange::acquire(const UpstreamStatePtr &upstream,
                                   Duration holdFor, Handler handler) {
  const TimePoint now = steadyNow();
  const std::uint64_t number = nextNumber_++;
  Pending &pending = pending_.try_emplace(number, io_).first->second;
  pending.upstream = upstream;
  pending.handler = std::move(handler);
  pending.giver = peers_->batchingHost(upstream->entry.pool, now);
  pending.askedAt = now;
  if (pending.giver == peers_->self())
    return finish(number, decide(upstream.get(), holdFor));
  PermitRequest request;
  request.number = number;
  request.holdFor = holdFor;
  for (const StatementKind kind : UpstreamLimits::kinds())
    if (upstream->limits.isLimited(kind, now))
      request.more.push_back(statementOf(*upstream, kind, now));
  request.statement = request.more.back();
  request.more.pop_back();
  peers_->send(pending.giver, request);
  pending.timer.startAfter(ReplyTimeout, [this, number] { onTimeout(number); });
}

void RequestLimitExchange::onTimeout(std::uint64_t number) {
  const Pending &pending = pending_.at(number);
  // The permits must not wait until the store drops a host that has died.
  if (peers_->lastMessageAt(pending.giver).value_or(TimePoint()) <
      pending.askedAt)
    peers_->suspect(pending.giver, steadyNow());
  finish(number, {number, false, RetryAfterTimeout});
}

void RequestLimitExchange::finish(std::uint64_t number,
                                  const PermitReply &reply) {
  const auto found = pending_.find(number);
  if (found == pending_.end())
    return;
  const auto node = pending_.extract(found);
  const Pending &pending = node.mapped();
  metrics_->countPermit(pending.upstream->entry.pool, reply.granted);
  if (!reply.granted) {
    pending.upstream->limitedUntil = steadyNow() + reply.retryIn;
    return pending.handler(false, nullptr);
  }
  pending.handler(true,
                  makeLease(pending.upstream, pending.giver, reply.lease));
}

void RequestLimitExchange::onPermitRequest(const std::string &from,
                                           const PermitRequest &request) {
  learn(request.statement, from);
  for (const UpstreamStatement &statement : request.more)
    learn(statement, from);
  const UpstreamStatePtr upstream = registry_->byId(request.statement.upstream);
  PermitReply reply{request.number, false, RetryAfterTimeout};
  if (upstream &&
      upstream->entry.startedAtMillis == request.statement.startedAtMillis) {
    reply = decide(upstream.get(), request.holdFor);
    reply.number = request.number;
  }
  peers_->send(from, reply);
}

void RequestLimitExchange::onPermitReply(const PermitReply &reply) {
  finish(reply.number, reply);
}

void RequestLimitExchange::onPermitRelease(const PermitRelease &release) {
  const UpstreamStatePtr upstream = registry_->byId(release.upstream);
  if (!upstream || upstream->entry.startedAtMillis != release.startedAtMillis)
    return;
  upstream->limits.release(release.lease, release.end, steadyNow());
  const SharedLimit *limit =
      upstream->limits.find(StatementKind::RejectionLimit);
  if (limit != nullptr)
    rejections_[upstream->entry.pool].onRoom(limit->roomPerSlot());
  if (release.end == PermitEnd::Rejected && limit != nullptr)
    logEvent(LogLevel::Info, "upstream_room",
             {{"upstream", upstream->entry.id},
              {"pool", upstream->entry.pool},
              {"per_slot", limit->roomPerSlot()}});
}

} // namespace auburnspring
