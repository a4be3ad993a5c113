#include "auburnspring/decision/upstream_registry.h"

namespace auburnspring {

UpstreamRegistry::Change UpstreamRegistry::put(const std::string &key,
                                               UpstreamEntry entry) {
  ++version_;
  expired_.erase(key);
  UpstreamStatePtr &held = byKey_[key];
  const bool sameIncarnation =
      held && held->entry.startedAtMillis == entry.startedAtMillis &&
      held->entry.endpoint.ip == entry.endpoint.ip &&
      held->entry.endpoint.port == entry.endpoint.port;
  if (!sameIncarnation) {
    if (held)
      held->isLeaving = true;
    held = std::make_shared<UpstreamState>();
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
  found->second->isLeaving = true;
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

std::vector<std::string> UpstreamRegistry::dropExpired(TimePoint now) {
  std::vector<std::string> removed;
  if (storeUnavailable_ || now < storeAvailableSince_ + ExpiryGrace)
    return removed;
  for (const auto &entry : expired_) {
    const auto found = byKey_.find(entry.first);
    if (found == byKey_.end())
      continue;
    found->second->isLeaving = true;
    byKey_.erase(found);
    removed.push_back(entry.first);
  }
  expired_.clear();
  if (!removed.empty())
    ++version_;
  return removed;
}

const std::vector<UpstreamStatePtr> &
UpstreamRegistry::pool(const std::string &name) const {
  if (poolsVersion_ != version_) {
    pools_.clear();
    for (const auto &entry : byKey_)
      if (!entry.second->isLeaving)
        pools_[entry.second->entry.pool].push_back(entry.second);
    poolsVersion_ = version_;
  }
  return pools_[name];
}

UpstreamStatePtr UpstreamRegistry::byEndpoint(const Endpoint &endpoint) const {
  for (const auto &entry : byKey_)
    if (entry.second->entry.endpoint.ip == endpoint.ip &&
        entry.second->entry.endpoint.port == endpoint.port)
      return entry.second;
  return nullptr;
}

UpstreamStatePtr UpstreamRegistry::byId(const std::string &id) const {
  for (const auto &entry : byKey_)
    if (entry.second->entry.id == id)
      return entry.second;
  return nullptr;
}

} // namespace auburnspring
