#include "auburnspring/decision/upstream_registry.h"

namespace auburnspring {

UpstreamRegistry::Change UpstreamRegistry::put(const std::string &key,
                                               UpstreamEntry entry) {
  ++changes_;
  lapsed_.erase(key);
  ServedUpstreamPtr &held = byKey_[key];
  const bool sameLife = held && held->entry.bornMillis == entry.bornMillis &&
                        held->entry.endpoint.ip == entry.endpoint.ip &&
                        held->entry.endpoint.port == entry.endpoint.port;
  if (!sameLife) {
    if (held)
      held->isLeaving = true;
    held = std::make_shared<ServedUpstream>();
    held->entry = std::move(entry);
    held->isLeaving = held->entry.isLeaving;
    return held->isLeaving ? Change::Left : Change::Joined;
  }
  const bool wasLeaving = held->isLeaving;
  held->entry = std::move(entry);
  held->isLeaving = held->entry.isLeaving;
  return held->isLeaving && !wasLeaving ? Change::Left : Change::Updated;
}

UpstreamRegistry::Change UpstreamRegistry::remove(const std::string &key,
                                                  TimePoint now,
                                                  bool isCertain) {
  const auto found = byKey_.find(key);
  if (found == byKey_.end())
    return Change::None;
  ++changes_;
  const bool mayHaveLapsed = !isCertain && !isStoreSteady(now);
  if (mayHaveLapsed && !found->second->isLeaving) {
    lapsed_.emplace(key, now);
    return Change::Lapsed;
  }
  found->second->isLeaving = true;
  byKey_.erase(found);
  lapsed_.erase(key);
  return Change::Left;
}

void UpstreamRegistry::storeBack(TimePoint now) {
  if (!storeAway_)
    return;
  storeAway_ = false;
  storeBackAt_ = now;
}

std::vector<std::string> UpstreamRegistry::expire(TimePoint now) {
  std::vector<std::string> gone;
  if (storeAway_ || now < storeBackAt_ + LapseGrace)
    return gone;
  for (const auto &entry : lapsed_) {
    const auto found = byKey_.find(entry.first);
    if (found == byKey_.end())
      continue;
    found->second->isLeaving = true;
    byKey_.erase(found);
    gone.push_back(entry.first);
  }
  lapsed_.clear();
  if (!gone.empty())
    ++changes_;
  return gone;
}

const std::vector<ServedUpstreamPtr> &
UpstreamRegistry::pool(const std::string &name) const {
  if (pooledAt_ != changes_) {
    pools_.clear();
    for (const auto &entry : byKey_)
      if (!entry.second->isLeaving)
        pools_[entry.second->entry.pool].push_back(entry.second);
    pooledAt_ = changes_;
  }
  return pools_[name];
}

ServedUpstreamPtr UpstreamRegistry::at(const Endpoint &endpoint) const {
  for (const auto &entry : byKey_)
    if (entry.second->entry.endpoint.ip == endpoint.ip &&
        entry.second->entry.endpoint.port == endpoint.port)
      return entry.second;
  return nullptr;
}

ServedUpstreamPtr UpstreamRegistry::byId(const std::string &id) const {
  for (const auto &entry : byKey_)
    if (entry.second->entry.id == id)
      return entry.second;
  return nullptr;
}

} // namespace auburnspring
