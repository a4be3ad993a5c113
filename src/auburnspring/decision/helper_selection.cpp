#include "auburnspring/decision/helper_selection.h"

#include <algorithm>
#include <vector>

namespace auburnspring {

namespace {

/// Requests as which the way to another data centre counts.
constexpr double RemotePenalty = 4;
/// Requests of peers that a host takes whatever its own load.
constexpr std::int64_t MinHandedOver = 32;

double load(const HelperCandidate &candidate, std::string_view ownDataCentre) {
  const auto requests = static_cast<double>(candidate.reach.activeRequests +
                                            candidate.handedOver);
  return requests / std::max(candidate.reach.processorShare, 0.01) +
         (candidate.reach.dataCentre == ownDataCentre ? 0 : RemotePenalty);
}

} // namespace

bool hasReach(const HelperCandidate &candidate) {
  const HostReach &reach = candidate.reach;
  return !reach.isCut && reach.connectionAge &&
         *reach.connectionAge + candidate.age <= MaxReachAge;
}

const PoolReach *findPool(const HostReach &reach, std::string_view pool) {
  const auto found = std::find_if(
      reach.pools.begin(), reach.pools.end(),
      [pool](const PoolReach &entry) { return entry.pool == pool; });
  return found == reach.pools.end() ? nullptr : &*found;
}

bool hasReach(const HelperCandidate &candidate, std::string_view pool) {
  const PoolReach *known = findPool(candidate.reach, pool);
  return !candidate.reach.isCut && known != nullptr && !known->isLost() &&
         known->connectionAge &&
         *known->connectionAge + candidate.age <= MaxReachAge;
}

std::string_view chooseHelper(absl::Span<const HelperCandidate> candidates,
                              std::string_view ownDataCentre,
                              std::mt19937_64 *random) {
  std::vector<const HelperCandidate *> usable;
  for (const HelperCandidate &candidate : candidates)
    if (hasReach(candidate))
      usable.push_back(&candidate);
  if (usable.empty())
    return "";
  std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
  const HelperCandidate *first = usable[any(*random)];
  const HelperCandidate *second = usable[any(*random)];
  return load(*second, ownDataCentre) < load(*first, ownDataCentre)
             ? second->host
             : first->host;
}

bool mayHelp(std::int64_t ownRequests, std::int64_t handedOverRequests) {
  return handedOverRequests < std::max(MinHandedOver, ownRequests);
}

} // namespace auburnspring
