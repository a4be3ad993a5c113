#include "soak/guarantee_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace auburnspring::soak {

namespace {

/// Requests that undisrupted hosts may lose, as documented for users.
constexpr std::size_t LostLimit = 3;
/// Overdue requests violate the guarantee from this count on, if they also
/// exceed this share of the requests that reach their deadline.
constexpr std::size_t OverdueLimit = 8;
constexpr double OverdueShareLimit = 0.25;
/// Minimum share of requests served after all disruptions have ended.
constexpr double MinRecoveredShare = 0.25;

bool isNotExecutedStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isUnknownRouteStatus(int status) {
  return status == 401 || status == 403 || status == 404;
}

/// Subject of a host's planned stops, which only some guarantees exempt.
std::string stopSubject(const std::string &host) { return host + "/stop"; }

/// Subject of a host's pauses, which excuse more than other disruptions.
std::string pauseSubject(const std::string &host) { return host + "/pause"; }

bool isAtMostOnce(CallKind kind) {
  return kind == CallKind::AtMostOnce || kind == CallKind::AtMostOnceStream;
}

} // namespace

void GuaranteeChecker::reportViolation(const std::string &guarantee,
                                       const std::string &what) {
  violations_.push_back(guarantee + ": " + what);
}

bool GuaranteeChecker::isConnected(const std::string &host, TimePoint from,
                                   TimePoint to) const {
  const TimePoint start = from - bounds_.settlingTime;
  return disruptions_.isUndisrupted(host, start, to) &&
         disruptions_.isUndisrupted(stopSubject(host), start, to) &&
         disruptions_.isUndisrupted("store", start, to) &&
         disruptions_.isUndisrupted("world", start, to);
}

bool GuaranteeChecker::isConnected(const std::string &host,
                                   TimePoint at) const {
  return isConnected(host, at, at);
}

void GuaranteeChecker::onSent(const SentCall &call) {
  calls_[call.id].sent = call;
}

void GuaranteeChecker::onArrival(const std::string &id, const std::string &pool,
                                 const std::string &upstream, TimePoint at) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return reportViolation(
        "UNASKED", id + " arrived at an upstream, but no caller sent it");
  Call &call = found->second;
  arrivals_[pool].push_back({at, call.arrivals > 0});
  ++call.arrivals;
  const auto draining = drainingSince_.find(upstream);
  if (draining != drainingSince_.end() &&
      at > draining->second + bounds_.drainSlack &&
      isConnected(call.sent.host, draining->second, at))
    reportViolation("DRAIN",
                    fmt::format("{} reached {} {} ms after it started to drain",
                                id, upstream, toMillis(at - draining->second)));
  checkStatements(call, upstream, at);
  const bool isUndisrupted = isConnected(call.sent.host, at);
  crashingPart_.onArrival(call.sent, isUndisrupted, at);
  limits_.onArrival(upstream, call.sent.host, isUndisrupted, at);
}

void GuaranteeChecker::onLimitNamed(const std::string &id,
                                    const std::string &upstream, TimePoint at) {
  const auto found = calls_.find(id);
  if (found != calls_.end())
    limits_.onNamed(upstream, found->second.sent.host, at);
}

bool GuaranteeChecker::Sender::operator<(const Sender &other) const {
  return std::tie(host, incarnation, upstream) <
         std::tie(other.host, other.incarnation, other.upstream);
}

GuaranteeChecker::Sender
GuaranteeChecker::senderOf(const Call &call,
                           const std::string &upstream) const {
  return {call.sent.host, call.sent.incarnation, upstream};
}

void GuaranteeChecker::checkStatements(const Call &call,
                                       const std::string &upstream,
                                       TimePoint at) {
  const Sender sender = senderOf(call, upstream);
  const auto stated = leavingStatedAt_.find(sender);
  if (stated != leavingStatedAt_.end() &&
      call.sent.sentAt > stated->second + bounds_.drainSlack &&
      disruptions_.isUndisrupted(pauseSubject(sender.host), stated->second, at))
    reportViolation("DRAIN",
                    fmt::format("{} reached {} {} ms after it stated to {} "
                                "that it leaves",
                                call.sent.id, upstream,
                                toMillis(at - stated->second), sender.host));
  const auto refusals = refusals_.find(sender);
  if (refusals == refusals_.end())
    return;
  for (Refusal &refusal : refusals->second)
    if (at > refusal.at + bounds_.refusalSlack && at < refusal.until &&
        ++refusal.arrivals > bounds_.refusalLimit &&
        disruptions_.isUndisrupted(sender.host, refusal.at, at))
      reportViolation("BUDGET",
                      fmt::format("{} reached {} {} ms after it refused {}",
                                  call.sent.id, upstream,
                                  toMillis(at - refusal.at), sender.host));
}

void GuaranteeChecker::onLeavingStated(const std::string &id,
                                       const std::string &upstream,
                                       TimePoint at) {
  const auto found = calls_.find(id);
  if (found != calls_.end())
    leavingStatedAt_.emplace(senderOf(found->second, upstream), at);
}

void GuaranteeChecker::onHostRefused(const std::string &id,
                                     const std::string &upstream,
                                     Duration retryAfter, TimePoint at) {
  const auto found = calls_.find(id);
  if (found != calls_.end())
    refusals_[senderOf(found->second, upstream)].push_back(
        {at, at + retryAfter, 0});
}

void GuaranteeChecker::onPaused(const std::string &host, TimePoint at) {
  disruptions_.recordStart(pauseSubject(host), at);
}

void GuaranteeChecker::onResumed(const std::string &host, TimePoint at) {
  disruptions_.recordEnd(pauseSubject(host), at);
}

void GuaranteeChecker::onRun(const std::string &id, const std::string &pool,
                             TimePoint at, std::string_view version) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  Call &call = found->second;
  if (++call.runs == 1)
    call.firstRunAt = at;
  if (!version.empty())
    call.versions.emplace(version);
  if (!version.empty())
    streams_.onRun(call.sent, version);
  if (call.runs > 1 && isAtMostOnce(call.sent.kind))
    reportViolation("TWICE", fmt::format("{} ran {} times in pool {}", id,
                                         call.runs, pool));
  if (call.isFinished)
    checkRefusal(call);
  checkConfiguration(call, at, true);
}

void GuaranteeChecker::onEvent(const std::string &id, int number,
                               std::string_view version) {
  const Call &call = calls_.at(id);
  if (call.versions.find(version) == call.versions.end())
    reportViolation("MIXED",
                    fmt::format("{} got event {} of version {}, which did not "
                                "run it",
                                id, number, version));
  streams_.onEvent(call.sent, number, version);
}

void GuaranteeChecker::onLeftInPause(const std::string &id,
                                     const std::string &upstream) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  Call &call = found->second;
  call.pausedUpstream = upstream;
  if (call.isFinished && !call.isServed() && !call.outcome.isAbandoned)
    checkLost(&call);
}

void GuaranteeChecker::onOutcome(const std::string &id,
                                 const CallOutcome &outcome, TimePoint at) {
  Call &call = calls_.at(id);
  call.outcome = outcome;
  call.isFinished = true;
  call.finishedAt = at;
  streams_.onOutcome(call.sent, outcome,
                     isConnected(call.sent.host, call.sent.sentAt, at), at);
  if (outcome.isAbandoned)
    return;
  if (call.isServed())
    ++served_;
  checkRefusal(call);
  checkBody(call);
  checkConfiguration(call, at, false);
  if (outcome.status == 0 || !outcome.isComplete ||
      (!call.isServed() && !call.pausedUpstream.empty()))
    checkLost(&call);
  const SentCall &sent = call.sent;
  if (at < sent.deadline || !isConnected(sent.host, sent.sentAt, at))
    return;
  ++reachedDeadline_;
  if (at > sent.deadline + bounds_.responseSlack)
    ++overdue_;
}

void GuaranteeChecker::checkRefusal(const Call &call) {
  if (call.runs > 0 && isNotExecutedStatus(call.outcome.status) &&
      !call.outcome.isSigned && isAtMostOnce(call.sent.kind))
    reportViolation(
        "REFUSED",
        fmt::format("{} ran although its response {} means not executed",
                    call.sent.id, call.outcome.status));
}

void GuaranteeChecker::checkBody(const Call &call) {
  const CallOutcome &outcome = call.outcome;
  if (outcome.status == 200 && outcome.isComplete &&
      !(outcome.bodyMatches && outcome.isSigned))
    reportViolation("MIXED",
                    call.sent.id +
                        " got a success with a wrong body or no signature");
}

void GuaranteeChecker::checkConfiguration(const Call &call, TimePoint at,
                                          bool isServed) {
  const SentCall &sent = call.sent;
  if (sent.version == 0)
    return;
  if (isServed) {
    auto &newest = newestServed_[{sent.host, sent.incarnation}];
    if (sent.version < newest.first &&
        sent.sentAt > newest.second + bounds_.rollbackSlack &&
        isConnected(sent.host, newest.second, at))
      reportViolation(
          "CONFIG",
          fmt::format("{} of version {} ran after version {} was in force",
                      sent.id, sent.version, newest.first));
    if (sent.version > newest.first)
      newest = {sent.version, at};
  }
  // When the next version was published, and when this one was.
  const auto successor = publishedAt_.upper_bound(sent.version);
  const auto published = publishedAt_.find(sent.version);
  if (published == publishedAt_.end() ||
      !isConnected(sent.host, sent.sentAt, at))
    return;
  if (isServed && successor != publishedAt_.end() &&
      sent.sentAt > successor->second + bounds_.configurationSlack)
    reportViolation("CONFIG",
                    fmt::format("{} ran on a route that was removed {} ms "
                                "before",
                                sent.id,
                                toMillis(sent.sentAt - successor->second)));
  if (!isServed && isUnknownRouteStatus(call.outcome.status) &&
      successor == publishedAt_.end() &&
      sent.sentAt > published->second + bounds_.configurationSlack)
    reportViolation(
        "CONFIG",
        fmt::format("{} got status {} on a route published {} ms before",
                    sent.id, call.outcome.status,
                    toMillis(sent.sentAt - published->second)));
}

void GuaranteeChecker::checkLost(Call *lost) {
  const Call &call = *lost;
  const SentCall &sent = call.sent;
  const TimePoint at = call.finishedAt;
  const TimePoint from = sent.sentAt - bounds_.settlingTime;
  // Disruptions of other upstreams don't excuse that the only one that ran the
  // request was left while it was silent but sound.
  const bool wasOnlySilent =
      call.runs == 1 && !call.pausedUpstream.empty() &&
      disruptions_.isUndisrupted(call.pausedUpstream, sent.sentAt, at);
  const bool isUndisrupted =
      disruptions_.isUndisrupted(sent.host, from, at) &&
      disruptions_.isUndisrupted("store", from, at) &&
      disruptions_.isUndisrupted("world", from, at) &&
      (wasOnlySilent || disruptions_.isUndisrupted("workers", from, at));
  const bool wasAccepted =
      call.runs > 0 || at > sent.sentAt + bounds_.acceptSlack;
  if (!isUndisrupted || !wasAccepted || at >= sent.deadline ||
      (call.isLost && !wasOnlySilent))
    return;
  lost->isLost = true;
  const std::string text =
      fmt::format("{} at {} had no complete response after {} ms, {} runs{}",
                  sent.id, sent.host, toMillis(at - sent.sentAt), call.runs,
                  wasOnlySilent ? ", its upstream silent" : "");
  lost_.push_back("lost " + text);
  if (!disruptions_.isUndisrupted(stopSubject(sent.host), sent.sentAt, at))
    return reportViolation("LOST", text + ", during a planned stop");
  if (wasOnlySilent)
    return reportViolation("LOST", text);
  if (++lostUndisrupted_ > LostLimit)
    reportViolation("LOST", text);
}

void GuaranteeChecker::onConfiguration(std::int64_t version, TimePoint at) {
  publishedAt_[version] = at;
}

void GuaranteeChecker::onUpstreamDraining(const std::string &upstream,
                                          TimePoint at) {
  drainingSince_.emplace(upstream, at);
}

void GuaranteeChecker::onStopRequested(const std::string &host, TimePoint at) {
  disruptions_.recordStart(stopSubject(host), at);
}

void GuaranteeChecker::onStopped(const std::string &host, TimePoint at) {
  disruptions_.recordEnd(stopSubject(host), at);
}

void GuaranteeChecker::checkRetryBudget() {
  for (const auto &entry : arrivals_) {
    std::size_t windowStart = 0;
    std::int64_t firstAttempts = 0;
    std::int64_t retries = 0;
    for (const Arrival &arrival : entry.second) {
      ++(arrival.isRetry ? retries : firstAttempts);
      for (; entry.second[windowStart].at + bounds_.retryWindow < arrival.at;
           ++windowStart)
        --(entry.second[windowStart].isRetry ? retries : firstAttempts);
      const double allowed =
          bounds_.retryRatio * static_cast<double>(firstAttempts) +
          static_cast<double>(bounds_.retrySlack);
      if (static_cast<double>(retries) <= allowed)
        continue;
      reportViolation(
          "BUDGET", fmt::format("pool {} got {} retries for {} first attempts",
                                entry.first, retries, firstAttempts));
      break;
    }
  }
}

void GuaranteeChecker::checkAtEnd(TimePoint recoveredAt) {
  checkRetryBudget();
  for (std::string &violation : streams_.violations())
    violations_.push_back(std::move(violation));
  if (overdue_ >= OverdueLimit &&
      static_cast<double>(overdue_) >
          OverdueShareLimit * static_cast<double>(reachedDeadline_))
    reportViolation("CONFIG",
                    fmt::format("{} of {} requests had no response half a "
                                "second after their deadline",
                                overdue_, reachedDeadline_));
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto &entry : calls_) {
    const Call &call = entry.second;
    if (call.sent.sentAt < recoveredAt || call.outcome.isAbandoned ||
        call.sent.version != 0)
      continue;
    if (!call.sent.prompt.empty() && !call.sent.hasCrashingPart)
      crashingPart_.onSoundRequest(call.runs > 0);
    if (call.sent.hasCrashingPart)
      continue;
    ++sent;
    if (call.outcome.status == 200 && call.outcome.isComplete)
      ++served;
  }
  for (std::string &violation : crashingPart_.violations())
    violations_.push_back(std::move(violation));
  for (const std::string &violation : limits_.violations())
    violations_.push_back(violation);
  recoveredShare_ =
      sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
  if (recoveredShare_ < MinRecoveredShare)
    reportViolation(
        "RECOVER",
        fmt::format("{} of {} served after the last disruption", served, sent));
}

} // namespace auburnspring::soak
