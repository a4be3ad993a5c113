#include "auburnspring/decision/part_quarantines.h"

#include "auburnspring/decision/request_name.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnspring {

namespace {

bool contains(absl::Span<const std::string> parts, const std::string &part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

constexpr Duration PartQuarantines::TrialDelays[];
constexpr Duration PartQuarantines::RequestTrialDelays[];

Duration PartQuarantines::trialDelay(const std::string &part,
                                     std::uint32_t trials) {
  const std::uint32_t index = std::min(trials, MaxTrials - 1);
  return isRequestName(part) ? RequestTrialDelays[index] : TrialDelays[index];
}

PartQuarantine PartQuarantines::stateOf(const std::string &part,
                                        const Entry &entry, TimePoint now) {
  return {part,
          entry.generation,
          entry.trials,
          entry.isConfirmed,
          now - entry.firstCrash.at,
          entry.firstCrash.incarnation,
          entry.nextTrialAt - now,
          now - entry.lastMetAt};
}

bool PartQuarantines::areRivals(const Named &a, const Named &b) {
  return &a != &b && a.second.isQuarantined() && b.second.isQuarantined() &&
         a.second.firstCrash.incarnation == b.second.firstCrash.incarnation &&
         !(isRequestName(a.first) && isRequestName(b.first));
}

bool PartQuarantines::holdsBack(const Named &entry,
                                absl::Span<const std::string> parts) const {
  return entry.second.isConfirmed ||
         std::none_of(entries_.begin(), entries_.end(), [&](const auto &other) {
           // A confirmed rival accounts for the crashes of both.
           return areRivals(entry, other) &&
                  (other.second.isConfirmed || !contains(parts, other.first));
         });
}

PartQuarantines::Check
PartQuarantines::check(absl::Span<const std::string> parts, TimePoint now) {
  Check result;
  const Named *first = nullptr;
  bool hasTrial = true;
  for (const std::string &part : parts) {
    const auto found = entries_.find(part);
    if (found == entries_.end() || !found->second.isQuarantined())
      continue;
    found->second.lastMetAt = now;
    if (!holdsBack(*found, parts))
      continue;
    // A trial of parts that are suspected for different crashes would not tell
    // which of them is to blame.
    hasTrial = hasTrial && (first == nullptr || areRivals(*first, *found));
    if (first == nullptr || part < result.part)
      result.part = part;
    first = first == nullptr ? &*found : first;
  }
  if (first == nullptr)
    return result;
  result.verdict = PartVerdict::Quarantined;
  const Entry &entry = entries_.at(result.part);
  if (now < entry.lastTrialAt + TrialTime) {
    result.nextTrialIn = entry.lastTrialAt + TrialTime - now;
  } else if (hasTrial && entry.trials < MaxTrials) {
    result.nextTrialIn = std::max(Duration(0), entry.nextTrialAt - now);
    if (now >= entry.nextTrialAt)
      result.verdict = PartVerdict::TrialDue;
  }
  return result;
}

bool PartQuarantines::isDistinguishing(
    const std::string &part, absl::Span<const std::string> parts) const {
  const auto found = entries_.find(part);
  return found != entries_.end() &&
         std::any_of(entries_.begin(), entries_.end(), [&](const auto &other) {
           return areRivals(*found, other) && !contains(parts, other.first);
         });
}

bool PartQuarantines::confirm(const std::string &part) {
  const auto found = entries_.find(part);
  if (found == entries_.end() || !found->second.isQuarantined())
    return false;
  return !std::exchange(found->second.isConfirmed, true);
}

bool PartQuarantines::isQuarantined(const std::string &part) const {
  const auto found = entries_.find(part);
  return found != entries_.end() && found->second.isQuarantined();
}

void PartQuarantines::makeRoom() {
  while (entries_.size() >= MaxQuarantines)
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
          return std::make_pair(a.second.isQuarantined(), a.second.lastMetAt) <
                 std::make_pair(b.second.isQuarantined(), b.second.lastMetAt);
        }));
}

bool PartQuarantines::quarantine(const std::string &part,
                                 const CrashingPartDetector::Crash &firstCrash,
                                 TimePoint now) {
  if (isQuarantined(part))
    return false;
  if (entries_.count(part) == 0)
    makeRoom();
  Entry &entry = entries_[part];
  const std::uint64_t generation = entry.generation + 1;
  entry = Entry();
  entry.generation = generation;
  entry.firstCrash = firstCrash;
  entry.nextTrialAt = now + trialDelay(part, 0);
  entry.lastMetAt = now;
  return true;
}

bool PartQuarantines::release(const std::string &part, TimePoint now) {
  const auto found = entries_.find(part);
  if (found == entries_.end() || !found->second.isQuarantined())
    return false;
  ++found->second.generation;
  found->second.lastMetAt = now;
  return true;
}

bool PartQuarantines::takeTrial(const std::string &part, TimePoint now) {
  const auto found = entries_.find(part);
  if (found == entries_.end() || !found->second.isQuarantined() ||
      found->second.trials >= MaxTrials || now < found->second.nextTrialAt)
    return false;
  Entry &entry = found->second;
  ++entry.trials;
  entry.lastTrialAt = now;
  entry.nextTrialAt = now + trialDelay(part, entry.trials);
  return true;
}

PartQuarantines::Change PartQuarantines::learn(const PartQuarantine &state,
                                               TimePoint now) {
  const auto found = entries_.find(state.part);
  if (found == entries_.end()) {
    // A state that was dropped for want of room must not push out others.
    if (state.idleFor > retention(state.isQuarantined()) ||
        entries_.size() >= MaxQuarantines)
      return Change::None;
  }
  Entry &entry = entries_[state.part];
  const bool wasQuarantined = entry.isQuarantined();
  const bool isNewGeneration = state.generation > entry.generation;
  if (state.generation < entry.generation)
    return Change::None;
  entry.lastMetAt = isNewGeneration
                        ? now - state.idleFor
                        : std::max(entry.lastMetAt, now - state.idleFor);
  const bool isNewTrial = !isNewGeneration && state.trials > entry.trials;
  const bool isNewlyConfirmed =
      !isNewGeneration && state.isConfirmed && !entry.isConfirmed;
  if (!isNewGeneration && !isNewTrial && !isNewlyConfirmed)
    return Change::None;
  entry.isConfirmed =
      state.isConfirmed || (!isNewGeneration && entry.isConfirmed);
  if (isNewGeneration || isNewTrial) {
    entry.generation = state.generation;
    entry.trials = state.trials;
    entry.firstCrash = {state.evidence, now - state.firstCrashAge};
    entry.nextTrialAt = now + state.nextTrialIn;
    entry.lastTrialAt = isNewTrial ? now : TimePoint();
  }
  if (!isNewGeneration)
    return isNewTrial ? Change::Trial : Change::Confirmed;
  if (entry.isQuarantined())
    return Change::Quarantined;
  return wasQuarantined ? Change::Released : Change::None;
}

std::optional<PartQuarantine> PartQuarantines::find(const std::string &part,
                                                    TimePoint now) const {
  const auto found = entries_.find(part);
  if (found == entries_.end())
    return std::nullopt;
  return stateOf(part, found->second, now);
}

std::vector<PartQuarantine> PartQuarantines::nextStates(TimePoint now) {
  std::vector<PartQuarantine> states;
  auto it = entries_.lower_bound(nextInTurn_);
  const std::size_t count = std::min(entries_.size(), MaxHeartbeatStates);
  for (; states.size() < count; ++it) {
    if (it == entries_.end())
      it = entries_.begin();
    states.push_back(stateOf(it->first, it->second, now));
  }
  nextInTurn_ = it == entries_.end() ? "" : it->first;
  return states;
}

std::vector<std::string> PartQuarantines::dropExpired(TimePoint now) {
  std::vector<std::string> forgotten;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry &entry = it->second;
    const bool isOld = now > entry.lastMetAt + retention(entry.isQuarantined());
    if (isOld && entry.isQuarantined())
      forgotten.push_back(it->first);
    it = isOld ? entries_.erase(it) : std::next(it);
  }
  return forgotten;
}

std::size_t PartQuarantines::quarantinedCount() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto &entry) {
        return entry.second.isQuarantined();
      }));
}

} // namespace auburnspring
