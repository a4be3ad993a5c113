#include "auburnspring/serving/part_guard_exchange.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace auburnspring {

namespace {

/// What changes at the same time, such as the attempts that one crash breaks
/// off, is sent together.
constexpr Duration FlushDelay = std::chrono::milliseconds(10);
/// Items of the store outlive their hosts.
constexpr std::int64_t NoLease = 0;

const char *changeName(PartQuarantines::Change change) {
  switch (change) {
  case PartQuarantines::Change::None:
    return "none";
  case PartQuarantines::Change::Quarantined:
    return "quarantined";
  case PartQuarantines::Change::Confirmed:
    return "confirmed";
  case PartQuarantines::Change::Released:
    return "released";
  case PartQuarantines::Change::Trial:
    return "trial";
  case PartQuarantines::Change::Forgotten:
    return "forgotten";
  }
  return "unknown";
}

} // namespace

PartQuarantines::Check
PartGuardExchange::check(absl::Span<const std::string> parts) {
  return guard_.check(parts, steadyNow());
}

void PartGuardExchange::onSound(absl::Span<const std::string> parts) {
  guard_.onSound(parts, steadyNow());
  carryOut();
}

void PartGuardExchange::onBroken(absl::Span<const std::string> parts,
                                 const UpstreamEntry &upstream,
                                 Duration ranFor) {
  guard_.onBroken(parts, upstream.id, upstream.startedAtMillis, ranFor,
                  steadyNow());
  carryOut();
}

void PartGuardExchange::scheduleFlush() {
  if (std::exchange(isFlushScheduled_, true))
    return;
  timer_.startAfter(FlushDelay, [this] {
    isFlushScheduled_ = false;
    guard_.flush(steadyNow());
    carryOut();
  });
}

void PartGuardExchange::requestTrial(const std::string &part,
                                     PartGuard::TrialHandler handler) {
  guard_.requestTrial(part, steadyNow(), std::move(handler));
  carryOut();
}

void PartGuardExchange::onReport(const std::string &from,
                                 const PartCrashReport &report) {
  guard_.onReport(from, report, steadyNow());
  carryOut();
}

void PartGuardExchange::onUpdate(const std::string &from,
                                 const PartQuarantineUpdate &update) {
  guard_.onUpdate(from, update, steadyNow());
  carryOut();
}

void PartGuardExchange::onTrialRequest(const std::string &from,
                                       const PartTrialRequest &request) {
  guard_.onTrialRequest(from, request, steadyNow());
  carryOut();
}

void PartGuardExchange::onTrialReply(const PartTrialReply &reply) {
  guard_.onTrialReply(reply);
  carryOut();
}

void PartGuardExchange::onHeartbeat(const std::string &from,
                                    const std::vector<PartQuarantine> &states) {
  guard_.onHeartbeat(from, states, steadyNow());
  carryOut();
}

void PartGuardExchange::onStoreItem(std::string_view key,
                                    std::string_view value) {
  const std::vector<std::string> fields =
      absl::StrSplit(absl::string_view(value.data(), value.size()), ' ');
  PartQuarantine state;
  state.part = std::string(key.substr(keyPrefix_.size()));
  if (fields.size() != 4 || !absl::SimpleAtoi(fields[0], &state.generation) ||
      !absl::SimpleAtoi(fields[1], &state.trials)) {
    logEvent(LogLevel::Warning, "quarantine_entry_ignored",
             {{"key", std::string(key)}});
    return;
  }
  state.isConfirmed = fields[2] == "1";
  state.evidence = fields[3];
  // The store does not say when the last trial was.
  state.nextTrialIn = PartQuarantines::trialDelay(state.part, state.trials);
  guard_.onUpdate(PartGuard::StoreSource, {{state}}, steadyNow());
  carryOut();
}

std::vector<PartQuarantine> PartGuardExchange::statesForHeartbeat() {
  return guard_.statesForHeartbeat(steadyNow());
}

void PartGuardExchange::tick() {
  guard_.setHosts(peers_->candidates(steadyNow()));
  guard_.tick(steadyNow());
  carryOut();
}

void PartGuardExchange::writeLog(const PartGuard::Decision &decision) const {
  const PartQuarantine &state = decision.state;
  logEvent(LogLevel::Warning, "part_quarantine",
           {{"part", state.part},
            {"change", changeName(decision.change)},
            {"source", decision.source.empty() ? "own" : decision.source},
            {"generation", static_cast<unsigned long>(state.generation)},
            {"confirmed", state.isConfirmed},
            {"trials", static_cast<unsigned long>(state.trials)},
            {"first_crash", state.evidence},
            {"first_crash_ms", toMillis(state.firstCrashAge)},
            {"next_trial_ms", toMillis(state.nextTrialIn)}});
}

void PartGuardExchange::store(const PartGuard::Decision &decision) {
  const PartQuarantine &state = decision.state;
  const std::string key = keyPrefix_ + state.part;
  const auto onWritten = [key](const absl::StatusOr<std::int64_t> &result) {
    // The hosts know it all the same, as long as one of them runs.
    if (!result.ok())
      logEvent(
          LogLevel::Warning, "quarantine_not_stored",
          {{"key", key}, {"error", std::string(result.status().message())}});
  };
  if (state.isQuarantined())
    store_->put(key,
                absl::StrCat(state.generation, " ", state.trials, " ",
                             state.isConfirmed ? 1 : 0, " ", state.evidence),
                NoLease, onWritten);
  else
    store_->remove(key, onWritten);
}

void PartGuardExchange::carryOut() {
  if (guard_.mustFlush())
    scheduleFlush();
  for (const PartGuard::Decision &decision : guard_.takeDecisions()) {
    metrics_->countQuarantine(changeName(decision.change));
    writeLog(decision);
    if (decision.mustStore)
      store(decision);
  }
  for (PartGuard::Message &message : guard_.takeMessages()) {
    if (message.host.empty())
      peers_->broadcast(message.message, peers_->peerCount());
    else
      peers_->send(message.host, std::move(message.message));
  }
}

} // namespace auburnspring
