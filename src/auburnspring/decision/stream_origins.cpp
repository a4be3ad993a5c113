#include "auburnspring/decision/stream_origins.h"

#include <algorithm>

namespace auburnspring {

void StreamOrigins::erase(const std::string &id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  byExpiry_.erase({found->second.expiresAt, id});
  entries_.erase(found);
}

void StreamOrigins::insert(StreamOrigin origin, Source source, TimePoint now) {
  const std::string id = origin.id;
  erase(id);
  const TimePoint expiresAt = now + std::min(MaxRetention, origin.expiresIn);
  byExpiry_.insert({expiresAt, id});
  entries_[id] = {std::move(origin), source, expiresAt};
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
  if (isSame)
    return false;
  origin.revision = known ? known->origin.revision + 1 : 1;
  pending_.push_back(origin.id);
  if (pending_.size() > MaxPending)
    pending_.pop_front();
  insert(std::move(origin), Source::Own, now);
  return known.has_value();
}

void StreamOrigins::learn(StreamOrigin origin, TimePoint now) {
  if (origin.id.empty() || origin.id.size() > MaxIdBytes ||
      origin.expiresIn <= Duration(0))
    return;
  const std::optional<Found> known = find(origin.id, now);
  if (known && known->origin.revision >= origin.revision)
    return;
  insert(std::move(origin), Source::Peer, now);
}

std::optional<StreamOrigins::Found> StreamOrigins::find(const std::string &id,
                                                        TimePoint now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.expiresAt <= now)
    return std::nullopt;
  Found result{found->second.origin, found->second.source};
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

void StreamOrigins::dropExpired(TimePoint now) {
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= now)
    erase(std::string(byExpiry_.begin()->second));
}

} // namespace auburnspring
