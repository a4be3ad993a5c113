#include "auburnspring/decision/upstream_registry.h"

#include "auburnspring/decision/rendezvous.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace auburnspring {

bool UpstreamRegistry::isSameIncarnation(const UpstreamEntry &a,
                                         const UpstreamEntry &b) {
  return a.startedAtMillis == b.startedAtMillis &&
         a.endpoint.ip == b.endpoint.ip && a.endpoint.port == b.endpoint.port &&
         a.softwareVersion == b.softwareVersion;
}

void UpstreamRegistry::recordDeparture(const std::string &key,
                                       UpstreamStatePtr state, TimePoint now) {
  state->isLeaving = true;
  departed_.push_back({key, std::move(state), now});
  while (departed_.size() > MaxDeparted ||
         departed_.front().at + DepartedRetention < now)
    departed_.pop_front();
}

std::deque<UpstreamRegistry::Departed>::const_iterator
UpstreamRegistry::findDeparted(const std::string &key,
                               const UpstreamEntry &entry) const {
  return std::find_if(departed_.begin(), departed_.end(),
                      [&](const Departed &departed) {
                        return departed.key == key &&
                               isSameIncarnation(departed.state->entry, entry);
                      });
}

UpstreamStatePtr UpstreamRegistry::takeDeparted(const std::string &key,
                                                const UpstreamEntry &entry) {
  UpstreamStatePtr state;
  for (auto found = findDeparted(key, entry); found != departed_.end();
       found = findDeparted(key, entry)) {
    state = found->state;
    departed_.erase(found);
  }
  return state;
}

UpstreamRegistry::Change UpstreamRegistry::put(const std::string &key,
                                               UpstreamEntry entry,
                                               TimePoint now,
                                               EntrySource source) {
  const bool isCopy = source == EntrySource::RestoredCopy;
  if (isCopy && findDeparted(key, entry) != departed_.end())
    return Change::None;
  ++version_;
  expired_.erase(key);
  UpstreamStatePtr &held = byKey_[key];
  const bool sameIncarnation = held && isSameIncarnation(held->entry, entry);
  if (!sameIncarnation) {
    if (held)
      recordDeparture(key, held, now);
    // What an incarnation has stated holds although its entry was missing.
    held = takeDeparted(key, entry);
    if (!held)
      held = std::make_shared<UpstreamState>();
    held->entry = std::move(entry);
    applyEvacuations(held.get());
    held->isLeaving = held->entry.isLeaving || held->hasAnnouncedLeaving;
    return held->isLeaving ? Change::Left : Change::Joined;
  }
  const bool wasLeaving = held->isLeaving;
  held->entry = std::move(entry);
  applyEvacuations(held.get());
  held->isLeaving = held->entry.isLeaving || held->hasAnnouncedLeaving ||
                    (isCopy && wasLeaving);
  return held->isLeaving && !wasLeaving ? Change::Left : Change::Updated;
}

bool UpstreamRegistry::markLeaving(UpstreamState *upstream) {
  upstream->hasAnnouncedLeaving = true;
  if (std::exchange(upstream->isLeaving, true))
    return false;
  ++version_;
  return true;
}

UpstreamRegistry::Change UpstreamRegistry::remove(const std::string &key,
                                                  TimePoint now,
                                                  bool isConfirmed) {
  const auto found = byKey_.find(key);
  if (found == byKey_.end())
    return Change::None;
  ++version_;
  const bool mayHaveExpired = !isConfirmed && !isStoreStable(now);
  if (mayHaveExpired && !found->second->isLeaving) {
    expired_.emplace(key, now);
    return Change::Expired;
  }
  recordDeparture(key, found->second, now);
  byKey_.erase(found);
  expired_.erase(key);
  return Change::Left;
}

void UpstreamRegistry::onStoreAvailable(TimePoint now) {
  if (!storeUnavailable_)
    return;
  storeUnavailable_ = false;
  storeAvailableSince_ = now;
}

void UpstreamRegistry::applyEvacuations(UpstreamState *upstream) const {
  // All hosts draw alike, so that an upstream closes on all of them at about
  // the same time, and what it has cached is needed no longer.
  constexpr double Range = 18446744073709551616.0;
  const UpstreamEntry &entry = upstream->entry;
  upstream->closesAt = evacuations_.closesAt(
      entry.dataCentre,
      static_cast<double>(rendezvousWeight(entry.dataCentre, entry.id)) /
          Range);
}

void UpstreamRegistry::applyEvacuations(const std::string &dataCentre) {
  for (const auto &entry : byKey_)
    if (entry.second->entry.dataCentre == dataCentre)
      applyEvacuations(entry.second.get());
}

Evacuations::Change
UpstreamRegistry::beginEvacuation(const std::string &dataCentre,
                                  Evacuations::Source source,
                                  TimePoint notBefore, TimePoint now) {
  const Evacuations::Change change =
      evacuations_.begin(dataCentre, source, notBefore, now);
  applyEvacuations(dataCentre);
  return change;
}

Evacuations::Change
UpstreamRegistry::endEvacuation(const std::string &dataCentre,
                                Evacuations::Source source, TimePoint now) {
  const Evacuations::Change change = evacuations_.end(dataCentre, source, now);
  applyEvacuations(dataCentre);
  return change;
}

std::vector<std::string> UpstreamRegistry::endHeldEvacuations(TimePoint now) {
  std::vector<std::string> ended = evacuations_.endHeld(now);
  for (const std::string &dataCentre : ended)
    applyEvacuations(dataCentre);
  return ended;
}

bool UpstreamRegistry::isEvacuated(
    const std::string &name, TimePoint now,
    std::optional<std::string_view> softwareVersion) const {
  if (evacuations_.size() == 0)
    return false;
  bool isAnyListed = false;
  for (const UpstreamStatePtr &upstream : pool(name)) {
    if (upstream->isLeaving || !hasVersion(*upstream, softwareVersion))
      continue;
    if (!upstream->isClosed(now))
      return false;
    isAnyListed = true;
  }
  return isAnyListed;
}

Duration UpstreamRegistry::refusalTime(
    const std::string &name, TimePoint now,
    std::optional<std::string_view> softwareVersion) const {
  std::optional<TimePoint> earliest;
  for (const UpstreamStatePtr &upstream : pool(name))
    if (!upstream->isLeaving && !upstream->isClosed(now) &&
        hasVersion(*upstream, softwareVersion))
      earliest = std::min(earliest.value_or(upstream->unavailableUntil()),
                          upstream->unavailableUntil());
  return earliest ? std::max(Duration(0), *earliest - now) : Duration(0);
}

bool UpstreamRegistry::lists(const std::string &name,
                             std::string_view softwareVersion) const {
  const std::vector<UpstreamStatePtr> &members = pool(name);
  return std::any_of(
      members.begin(), members.end(), [&](const UpstreamStatePtr &upstream) {
        return !upstream->isLeaving && hasVersion(*upstream, softwareVersion);
      });
}

std::vector<std::string> UpstreamRegistry::dropExpired(TimePoint now) {
  std::vector<std::string> removed;
  if (storeUnavailable_ || now < storeAvailableSince_ + ExpiryGrace)
    return removed;
  for (const auto &entry : expired_) {
    const auto found = byKey_.find(entry.first);
    if (found == byKey_.end())
      continue;
    recordDeparture(entry.first, found->second, now);
    byKey_.erase(found);
    removed.push_back(entry.first);
  }
  expired_.clear();
  if (!removed.empty())
    ++version_;
  return removed;
}

const UpstreamRegistry::Index &UpstreamRegistry::index() const {
  if (index_.version == version_)
    return index_;
  index_ = Index();
  index_.version = version_;
  for (const auto &entry : byKey_) {
    const UpstreamStatePtr &upstream = entry.second;
    index_.byEndpoint.emplace(toString(upstream->entry.endpoint), upstream);
    index_.byId.emplace(upstream->entry.id, upstream);
    if (!upstream->isLeaving)
      index_.pools[upstream->entry.pool].push_back(upstream);
  }
  return index_;
}

const std::vector<UpstreamStatePtr> &
UpstreamRegistry::pool(const std::string &name) const {
  static const std::vector<UpstreamStatePtr> empty;
  const Index &current = index();
  const auto found = current.pools.find(name);
  return found == current.pools.end() ? empty : found->second;
}

UpstreamStatePtr UpstreamRegistry::byEndpoint(const Endpoint &endpoint) const {
  const Index &current = index();
  const auto found = current.byEndpoint.find(toString(endpoint));
  return found == current.byEndpoint.end() ? nullptr : found->second;
}

UpstreamStatePtr UpstreamRegistry::byId(const std::string &id) const {
  const Index &current = index();
  const auto found = current.byId.find(id);
  return found == current.byId.end() ? nullptr : found->second;
}

} // namespace auburnspring
