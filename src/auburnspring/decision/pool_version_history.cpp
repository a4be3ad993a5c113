#include "auburnspring/decision/pool_version_history.h"

#include <algorithm>
#include <iterator>

namespace auburnspring {

void PoolVersionHistory::onSeen(const std::string &pool,
                                const std::string &softwareVersion,
                                TimePoint now) {
  lastSeen_[pool][softwareVersion] = now;
}

void PoolVersionHistory::onConfirmed(bool isConfirmed, TimePoint now) {
  if (!isConfirmed)
    confirmedSince_.reset();
  else if (!confirmedSince_)
    confirmedSince_ = now;
}

void PoolVersionHistory::dropOld(TimePoint now) {
  for (auto pool = lastSeen_.begin(); pool != lastSeen_.end();) {
    std::map<std::string, TimePoint> &versions = pool->second;
    for (auto it = versions.begin(); it != versions.end();)
      it = it->second + Retention < now ? versions.erase(it) : std::next(it);
    pool = versions.empty() ? lastSeen_.erase(pool) : std::next(pool);
  }
}

std::optional<std::string>
PoolVersionHistory::onlyVersion(const std::string &pool, Duration period,
                                TimePoint now) const {
  const auto versions = lastSeen_.find(pool);
  if (!confirmedSince_ || now - *confirmedSince_ < period ||
      period > Retention || versions == lastSeen_.end())
    return std::nullopt;
  std::optional<std::string> only;
  for (const auto &entry : versions->second) {
    if (entry.second + period < now)
      continue;
    if (only)
      return std::nullopt;
    only = entry.first;
  }
  return only;
}

std::set<std::string> PoolVersionHistory::poolsOfSeveral(Duration period,
                                                         TimePoint now) const {
  std::set<std::string> pools;
  for (const auto &pool : lastSeen_) {
    const auto shown = std::count_if(
        pool.second.begin(), pool.second.end(),
        [&](const auto &version) { return version.second + period >= now; });
    if (shown > 1)
      pools.insert(pool.first);
  }
  return pools;
}

} // namespace auburnspring
