#include "auburnspring/decision/stream_origins.h"

#include <algorithm>
#include <utility>

namespace auburnspring {

void StreamOrigins::erase(const std::string &id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  byExpiry_.erase({found->second.expiresAt, id});
  entries_.erase(found);
}

void StreamOrigins::insert(StreamOrigin origin, Source source,
                           std::string recorder, TimePoint now) {
  const std::string id = origin.id;
  erase(id);
  const TimePoint expiresAt = now + std::min(MaxRetention, origin.expiresIn);
  byExpiry_.insert({expiresAt, id});
  const bool isUnstored = mustStore(origin);
  entries_[id] = {std::move(origin), source, std::move(recorder), now,
                  expiresAt,         false};
  if (isUnstored)
    unstored_.push_back(id);
  if (unstored_.size() > MaxOrigins)
    unstored_.pop_front();
  while (entries_.size() > MaxOrigins)
    erase(std::string(byExpiry_.begin()->second));
}

bool StreamOrigins::record(StreamOrigin origin, TimePoint now) {
  if (origin.id.empty() || origin.id.size() > MaxIdBytes ||
      origin.expiresIn <= Duration(0))
    return false;
  const std::optional<Found> known = find(origin.id, now);
  const bool isSame = known && known->origin.pool == origin.pool &&
                      known->origin.softwareVersion == origin.softwareVersion;
  // A bound origin is final; one that is the same adds that it is bound, so
  // that peers need not ask.
  if (known && known->origin.isBound)
    return false;
  if (isSame && !origin.isBound)
    return false;
  origin.revision = known ? known->origin.revision + (isSame ? 0 : 1) : 1;
  addPending(origin.id);
  insert(std::move(origin), Source::Own, "", now);
  return known.has_value() && !isSame;
}

void StreamOrigins::disown(const std::string &id) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.source == Source::Own &&
      !found->second.origin.isBound)
    erase(id);
}

void StreamOrigins::addPending(const std::string &id) {
  pending_.push_back(id);
  if (pending_.size() > MaxPending)
    pending_.pop_front();
}

void StreamOrigins::learn(StreamOrigin origin, TimePoint now,
                          std::string recorder) {
  if (origin.id.empty() || origin.id.size() > MaxIdBytes ||
      origin.expiresIn <= Duration(0))
    return;
  const std::optional<Found> known = find(origin.id, now);
  if (known && !origin.replaces(known->origin))
    return;
  insert(std::move(origin), Source::Peer, std::move(recorder), now);
}

std::optional<StreamOrigins::Found> StreamOrigins::find(const std::string &id,
                                                        TimePoint now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.expiresAt <= now)
    return std::nullopt;
  Found result{found->second.origin, found->second.source,
               found->second.recorder};
  result.origin.expiresIn = found->second.expiresAt - now;
  return result;
}

std::vector<StreamOrigin> StreamOrigins::takePending(TimePoint now) {
  std::vector<StreamOrigin> taken;
  for (const std::string &id : pending_)
    if (const std::optional<Found> found = find(id, now))
      taken.push_back(found->origin);
  pending_.clear();
  return taken;
}

std::vector<StreamOrigin> StreamOrigins::ownSince(TimePoint since,
                                                  TimePoint now) const {
  std::vector<StreamOrigin> origins;
  for (const auto &[id, entry] : entries_)
    if (entry.source == Source::Own && entry.recordedAt >= since)
      if (const std::optional<Found> found = find(id, now))
        origins.push_back(found->origin);
  return origins;
}

void StreamOrigins::setStoredPools(std::set<std::string> pools, TimePoint now) {
  if (pools == storedPools_)
    return;
  std::swap(storedPools_, pools);
  for (const auto &entry : entries_) {
    const StreamOrigin &origin = entry.second.origin;
    // Those of the pools that were set before have been handed out.
    if (mustStore(origin) && pools.count(origin.pool) == 0 &&
        entry.second.expiresAt > now && !entry.second.isStored)
      unstored_.push_back(entry.first);
  }
}

std::vector<StreamOrigin> StreamOrigins::takeUnstored(TimePoint now) {
  std::vector<StreamOrigin> taken;
  for (const std::string &id : unstored_) {
    const std::optional<Found> found = find(id, now);
    if (found && mustStore(found->origin) && !entries_[id].isStored)
      taken.push_back(found->origin);
  }
  unstored_.clear();
  return taken;
}

void StreamOrigins::onStored(const std::vector<StreamOrigin> &origins) {
  for (const StreamOrigin &origin : origins) {
    const auto found = entries_.find(origin.id);
    if (found != entries_.end())
      found->second.isStored = true;
  }
}

void StreamOrigins::requeueUnstored(TimePoint now) {
  unstored_.clear();
  for (const auto &entry : entries_)
    if (mustStore(entry.second.origin) && !entry.second.isStored &&
        entry.second.expiresAt > now)
      unstored_.push_back(entry.first);
}

void StreamOrigins::onStoreContentLost(TimePoint now) {
  for (auto &entry : entries_)
    entry.second.isStored = false;
  requeueUnstored(now);
}

void StreamOrigins::dropExpired(TimePoint now) {
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= now)
    erase(std::string(byExpiry_.begin()->second));
}

} // namespace auburnspring
