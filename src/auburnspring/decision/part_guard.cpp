#include "auburnspring/decision/part_guard.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

using Change = PartQuarantines::Change;

void PartGuard::setHosts(std::vector<BatchingCandidate> hosts) {
  hosts_ = std::move(hosts);
  directory_.reset();
}

std::vector<std::string> PartGuard::holders(const std::string &part) const {
  if (!directory_)
    directory_.emplace(hosts_);
  return directory_->holders(part, StreamOriginHolders::HolderCount);
}

bool PartGuard::isHolder(const std::string &part) const {
  if (isSmallFleet())
    return true;
  const std::vector<std::string> chosen = holders(part);
  return std::find(chosen.begin(), chosen.end(), self_) != chosen.end();
}

bool PartGuard::isFirstHolder(const std::string &part) const {
  const std::vector<std::string> chosen = holders(part);
  return !chosen.empty() && chosen.front() == self_;
}

void PartGuard::onSound(absl::Span<const std::string> parts, TimePoint now) {
  for (const std::string &part : parts) {
    detector_.onSound(part, now);
    if (quarantines_.isQuarantined(part))
      release(part, now);
  }
}

void PartGuard::onBroken(absl::Span<const std::string> parts,
                         const std::string &upstream,
                         std::int64_t startedAtMillis, Duration ranFor,
                         TimePoint now) {
  const std::size_t firstNew = pending_.size();
  for (const std::string &part : parts) {
    const bool isNoted =
        std::any_of(pending_.begin(), pending_.end(), [&](const auto &noted) {
          return noted.first.part == part && noted.first.upstream == upstream;
        });
    if (isNoted || !detector_.maySuspect(part, now) ||
        pending_.size() >= MaxReportedCrashes)
      continue;
    pending_.push_back({{part, upstream, startedAtMillis, Duration(0),
                         quarantines_.isDistinguishing(part, parts), ranFor},
                        now});
  }
  // The next flush() is too late: the request may be sent again before it.
  for (std::size_t i = firstNew; i < pending_.size(); ++i)
    if (isHolder(pending_[i].first.part))
      addCrash(pending_[i].first, now);
}

void PartGuard::flush(TimePoint now) {
  std::map<std::string, PartCrashReport> reports;
  for (auto &[crash, at] : std::exchange(pending_, {})) {
    crash.age = now - at;
    if (isSmallFleet()) {
      reports[""].crashes.push_back(crash);
      continue;
    }
    for (const std::string &host : holders(crash.part))
      if (host != self_)
        reports[host].crashes.push_back(crash);
  }
  for (auto &[host, report] : reports)
    messages_.push_back({host, std::move(report)});
  announce(now);
}

void PartGuard::addCrash(const PartCrash &crash, TimePoint now) {
  const auto firstCrash = detector_.onCrash(crash, now);
  if (firstCrash && quarantines_.quarantine(crash.part, *firstCrash, now))
    decide(Change::Quarantined, crash.part, now);
  else if (crash.isDistinguishing &&
           detector_.maySuspect(crash.part, now - crash.age) &&
           quarantines_.confirm(crash.part))
    decide(Change::Confirmed, crash.part, now);
}

void PartGuard::onReport(const std::string & /*from*/,
                         const PartCrashReport &report, TimePoint now) {
  for (const PartCrash &crash : report.crashes)
    addCrash(crash, now);
}

void PartGuard::release(const std::string &part, TimePoint now) {
  if (!quarantines_.release(part, now))
    return;
  detector_.forget(part);
  decide(Change::Released, part, now);
}

void PartGuard::decide(Change change, const std::string &part, TimePoint now) {
  const std::optional<PartQuarantine> state = quarantines_.find(part, now);
  if (!state)
    return;
  decisions_.push_back({change, *state, "", isFirstHolder(part)});
  changed_.insert(part);
}

void PartGuard::announce(TimePoint now) {
  PartQuarantineUpdate toAll;
  std::map<std::string, PartQuarantineUpdate> toHolders;
  for (const std::string &part : std::exchange(changed_, {})) {
    const std::optional<PartQuarantine> state = quarantines_.find(part, now);
    if (!state)
      continue;
    if (isHolder(part)) {
      toAll.states.push_back(*state);
      continue;
    }
    // The holders pass it on; many hosts may release a part at the same time.
    for (const std::string &host : holders(part))
      toHolders[host].states.push_back(*state);
  }
  if (!toAll.states.empty())
    messages_.push_back({"", std::move(toAll)});
  for (auto &[host, update] : toHolders)
    messages_.push_back({host, std::move(update)});
}

bool PartGuard::learn(const std::string &from, const PartQuarantine &state,
                      TimePoint now) {
  const Change change = quarantines_.learn(state, now);
  if (change == Change::None)
    return false;
  decisions_.push_back(
      {change, state, from, from != StoreSource && isFirstHolder(state.part)});
  if (change == Change::Released)
    detector_.forget(state.part);
  if (change != Change::Quarantined)
    return true;
  // A holder may not know of sound requests at this host.
  const TimePoint firstCrashAt = now - state.firstCrashAge;
  if (!detector_.maySuspect(state.part, firstCrashAt)) {
    release(state.part, now);
    return false;
  }
  return true;
}

void PartGuard::onUpdate(const std::string &from,
                         const PartQuarantineUpdate &update, TimePoint now) {
  for (const PartQuarantine &state : update.states)
    if (learn(from, state, now) && !isSmallFleet() && isHolder(state.part))
      changed_.insert(state.part);
}

void PartGuard::onHeartbeat(const std::string &from,
                            const std::vector<PartQuarantine> &states,
                            TimePoint now) {
  for (const PartQuarantine &state : states)
    learn(from, state, now);
}

bool PartGuard::grantTrial(const std::string &part, TimePoint now) {
  if (!quarantines_.takeTrial(part, now))
    return false;
  decide(Change::Trial, part, now);
  return true;
}

void PartGuard::requestTrial(const std::string &part, TimePoint now,
                             TrialHandler handler) {
  const std::vector<std::string> chosen = holders(part);
  if (chosen.empty() || chosen.front() == self_)
    return handler(grantTrial(part, now));
  const std::uint64_t number = nextTrial_++;
  trials_[number] = {std::move(handler), now + TrialReplyTimeout};
  messages_.push_back({chosen.front(), PartTrialRequest{number, part}});
}

void PartGuard::onTrialRequest(const std::string &from,
                               const PartTrialRequest &request, TimePoint now) {
  const bool granted = grantTrial(request.part, now);
  messages_.push_back({from, PartTrialReply{request.number, granted}});
}

void PartGuard::onTrialReply(const PartTrialReply &reply) {
  const auto found = trials_.find(reply.number);
  if (found == trials_.end())
    return;
  const TrialHandler handler = std::move(found->second.handler);
  trials_.erase(found);
  handler(reply.granted);
}

void PartGuard::tick(TimePoint now) {
  flush(now);
  std::vector<std::uint64_t> expired;
  for (const auto &[number, trial] : trials_)
    if (now >= trial.expiresAt)
      expired.push_back(number);
  for (const std::uint64_t number : expired)
    onTrialReply({number, false});
  for (const std::string &part : quarantines_.dropExpired(now)) {
    detector_.forget(part);
    PartQuarantine forgotten;
    forgotten.part = part;
    decisions_.push_back(
        {Change::Forgotten, std::move(forgotten), "", isFirstHolder(part)});
  }
}

} // namespace auburnspring
