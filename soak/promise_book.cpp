#include "soak/promise_book.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring::soak {

namespace {

/// Answers cut off by calm hosts that the pages let pass.
constexpr std::size_t CutsAllowed = 3;
/// Requests that outlast their deadline: this many, and this share of those
/// that reach it, break the promise.
constexpr std::size_t HeldAllowed = 8;
constexpr double HeldShareAllowed = 0.25;
/// Least share that must be served once all disruption is over.
constexpr double RecoveredShare = 0.25;

bool isNotRunStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isUnknownRouteStatus(int status) {
  return status == 401 || status == 403 || status == 404;
}

/// Planned stops of a host, which only some promises allow for.
std::string stopOf(const std::string &host) { return host + "/stop"; }

bool mayRunOnce(CallKind kind) {
  return kind == CallKind::Once || kind == CallKind::OnceStream;
}

} // namespace

void PromiseBook::breach(const std::string &promise, const std::string &what) {
  breaches_.push_back(promise + ": " + what);
}

bool PromiseBook::inTouch(const std::string &host, TimePoint from,
                          TimePoint to) const {
  const TimePoint since = from - bounds_.settle;
  return calm_.isCalm(host, since, to) &&
         calm_.isCalm(stopOf(host), since, to) &&
         calm_.isCalm("store", since, to) && calm_.isCalm("world", since, to);
}

bool PromiseBook::inTouch(const std::string &host, TimePoint at) const {
  return inTouch(host, at, at);
}

void PromiseBook::onSent(const SentCall &call) { calls_[call.id].sent = call; }

void PromiseBook::onArrival(const std::string &id, const std::string &pool,
                            const std::string &worker, TimePoint at) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return breach("UNASKED", id + " arrived, which no caller sent");
  Call &call = found->second;
  arrivals_[pool].push_back({at, call.arrivals > 0});
  ++call.arrivals;
  const auto leaves = leaving_.find(worker);
  if (leaves != leaving_.end() && at > leaves->second + bounds_.drain &&
      inTouch(call.sent.host, leaves->second, at))
    breach("DRAIN", fmt::format("{} reached {} {} ms after it had left", id,
                                worker, toMillis(at - leaves->second)));
}

void PromiseBook::onRun(const std::string &id, const std::string &pool,
                        TimePoint at) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  Call &call = found->second;
  if (++call.runs == 1)
    call.firstRunAt = at;
  if (call.runs > 1 && mayRunOnce(call.sent.kind))
    breach("TWICE", fmt::format("{} ran {} times in {}", id, call.runs, pool));
  if (call.isAnswered)
    checkRefusal(call);
  checkConfiguration(call, at, true);
}

void PromiseBook::onAnswer(const std::string &id, const CallAnswer &answer,
                           TimePoint at) {
  Call &call = calls_.at(id);
  call.answer = answer;
  call.isAnswered = true;
  call.answeredAt = at;
  if (answer.isAbandoned)
    return;
  if (answer.status == 200 && answer.isWhole)
    ++served_;
  checkRefusal(call);
  checkBody(call);
  checkConfiguration(call, at, false);
  if (answer.status == 0 || !answer.isWhole)
    checkCut(call);
  const SentCall &sent = call.sent;
  if (at < sent.deadline || !inTouch(sent.host, sent.sentAt, at))
    return;
  ++held_;
  if (at > sent.deadline + bounds_.answerSlack)
    ++late_;
}

void PromiseBook::checkRefusal(const Call &call) {
  if (call.runs > 0 && isNotRunStatus(call.answer.status) &&
      !call.answer.isSigned && mayRunOnce(call.sent.kind))
    breach("REFUSED", fmt::format("{} was told {} and ran", call.sent.id,
                                  call.answer.status));
}

void PromiseBook::checkBody(const Call &call) {
  const CallAnswer &answer = call.answer;
  if (answer.status == 200 && answer.isWhole &&
      !(answer.isOwnBody && answer.isSigned))
    breach("MIXED", call.sent.id + " got a success that is not its own");
}

void PromiseBook::checkConfiguration(const Call &call, TimePoint at,
                                     bool isServed) {
  const SentCall &sent = call.sent;
  if (sent.version == 0)
    return;
  if (isServed) {
    auto &seen = seen_[{sent.host, sent.life}];
    if (sent.version < seen.first &&
        sent.sentAt > seen.second + bounds_.rollback &&
        inTouch(sent.host, seen.second, at))
      breach("CONFIG",
             fmt::format("{} of version {} ran after {} had been in force",
                         sent.id, sent.version, seen.first));
    if (sent.version > seen.first)
      seen = {sent.version, at};
  }
  // The version that replaced it, and the time at which this one came.
  const auto next = configurations_.upper_bound(sent.version);
  const auto own = configurations_.find(sent.version);
  if (own == configurations_.end() || !inTouch(sent.host, sent.sentAt, at))
    return;
  if (isServed && next != configurations_.end() &&
      sent.sentAt > next->second + bounds_.configuration)
    breach("CONFIG",
           fmt::format("{} ran on a route that was dropped {} ms "
                       "before",
                       sent.id, toMillis(sent.sentAt - next->second)));
  if (!isServed && isUnknownRouteStatus(call.answer.status) &&
      next == configurations_.end() &&
      sent.sentAt > own->second + bounds_.configuration)
    breach("CONFIG",
           fmt::format("{} was told {} on a route that came {} ms before",
                       sent.id, call.answer.status,
                       toMillis(sent.sentAt - own->second)));
}

void PromiseBook::checkCut(const Call &call) {
  const SentCall &sent = call.sent;
  const TimePoint at = call.answeredAt;
  const TimePoint from = sent.sentAt - bounds_.settle;
  const bool isCalm =
      calm_.isCalm(sent.host, from, at) && calm_.isCalm("store", from, at) &&
      calm_.isCalm("world", from, at) && calm_.isCalm("workers", from, at);
  const bool wasTaken = call.runs > 0 || at > sent.sentAt + bounds_.lossSlack;
  if (!isCalm || !wasTaken || at >= sent.deadline)
    return;
  const std::string text =
      fmt::format("{} at {} had no whole answer after {} ms, {} runs", sent.id,
                  sent.host, toMillis(at - sent.sentAt), call.runs);
  if (!calm_.isCalm(stopOf(sent.host), sent.sentAt, at))
    return breach("LOST", text + ", at a planned stop");
  if (++cutWhenCalm_ > CutsAllowed)
    breach("LOST", text);
}

void PromiseBook::onConfiguration(std::int64_t version, TimePoint at) {
  configurations_[version] = at;
}

void PromiseBook::onWorkerLeaves(const std::string &worker, TimePoint at) {
  leaving_.emplace(worker, at);
}

void PromiseBook::onStopAsked(const std::string &host, TimePoint at) {
  calm_.disturb(stopOf(host), at);
}

void PromiseBook::onStopped(const std::string &host, TimePoint at) {
  calm_.settle(stopOf(host), at);
}

void PromiseBook::checkBudget() {
  for (const auto &entry : arrivals_) {
    std::size_t first = 0;
    std::int64_t firsts = 0;
    std::int64_t repeats = 0;
    for (const Arrival &arrival : entry.second) {
      ++(arrival.isRepeat ? repeats : firsts);
      for (; entry.second[first].at + bounds_.retryWindow < arrival.at; ++first)
        --(entry.second[first].isRepeat ? repeats : firsts);
      const double allowed = bounds_.retryRatio * static_cast<double>(firsts) +
                             static_cast<double>(bounds_.retrySlack);
      if (static_cast<double>(repeats) <= allowed)
        continue;
      breach("BUDGET", fmt::format("{} got {} repeats beside {} requests",
                                   entry.first, repeats, firsts));
      break;
    }
  }
}

void PromiseBook::close(TimePoint calmFrom) {
  checkBudget();
  if (late_ >= HeldAllowed && static_cast<double>(late_) >
                                  HeldShareAllowed * static_cast<double>(held_))
    breach("CONFIG", fmt::format("{} of {} requests had no answer half a "
                                 "second after their deadline",
                                 late_, held_));
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto &entry : calls_) {
    const Call &call = entry.second;
    if (call.sent.sentAt < calmFrom || call.answer.isAbandoned ||
        call.sent.version != 0)
      continue;
    ++sent;
    if (call.answer.status == 200 && call.answer.isWhole)
      ++served;
  }
  calmShare_ =
      sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
  if (calmShare_ < RecoveredShare)
    breach("RECOVER", fmt::format("{} of {} served after the last disruption",
                                  served, sent));
}

} // namespace auburnspring::soak
