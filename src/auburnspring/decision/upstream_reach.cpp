#include "auburnspring/decision/upstream_reach.h"

#include "auburnspring/decision/helper_selection.h"

#include <algorithm>
#include <map>

namespace auburnspring {

namespace {

/// Time from one probe of an upstream to the next, which doubles up to the
/// maximum, and probes that begin at a time.
constexpr Duration MinProbeInterval = std::chrono::milliseconds(200);
constexpr Duration MaxProbeInterval = std::chrono::milliseconds(800);
constexpr std::size_t MaxProbes = 4;

bool counts(const UpstreamState &upstream, TimePoint now) {
  return !upstream.isLeaving && !upstream.isClosed(now);
}

void add(const UpstreamState &upstream, TimePoint now, PoolReach *reach) {
  if (!counts(upstream, now))
    return;
  ++reach->listed;
  reach->lost += upstream.isOutOfReach() ? 1 : 0;
  if (!upstream.connectedAt)
    return;
  const Duration age = now - *upstream.connectedAt;
  reach->connectionAge = std::min(reach->connectionAge.value_or(age), age);
}

} // namespace

void recordConnected(UpstreamState *upstream, TimePoint begunAt) {
  upstream->connectedAt =
      std::max(upstream->connectedAt.value_or(begunAt), begunAt);
  if (begunAt >= upstream->failedAt)
    upstream->failedConnections = 0;
}

void recordConnectFailure(UpstreamState *upstream, TimePoint begunAt,
                          TimePoint now) {
  // A later connection has been established meanwhile.
  if (upstream->connectedAt && begunAt <= *upstream->connectedAt)
    return;
  // Requests that fail together are one piece of evidence.
  if (upstream->failedConnections > 0 && begunAt < upstream->failedAt)
    return;
  if (++upstream->failedConnections == 1)
    upstream->probedAt = TimePoint();
  upstream->failedAt = now;
}

std::vector<UpstreamStatePtr> takeReachProbes(const UpstreamRegistry &registry,
                                              TimePoint now) {
  std::vector<UpstreamStatePtr> due;
  for (const auto &entry : registry.all()) {
    const UpstreamStatePtr &upstream = entry.second;
    if (upstream->failedConnections == 0 || !counts(*upstream, now))
      continue;
    const auto doublings =
        std::min<std::int64_t>(upstream->failedConnections - 1, 4);
    const Duration interval =
        std::min(MaxProbeInterval, MinProbeInterval * (1 << doublings));
    if (now >= upstream->probedAt + interval)
      due.push_back(upstream);
  }
  // The longest without a probe first.
  const std::size_t count = std::min(MaxProbes, due.size());
  std::partial_sort(
      due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
      [](const auto &a, const auto &b) { return a->probedAt < b->probedAt; });
  due.resize(count);
  for (const UpstreamStatePtr &upstream : due)
    upstream->probedAt = now;
  return due;
}

PoolReach poolReach(const UpstreamRegistry &registry, const std::string &pool,
                    TimePoint now,
                    std::optional<std::string_view> softwareVersion) {
  PoolReach reach;
  reach.pool = pool;
  for (const UpstreamStatePtr &upstream : registry.pool(pool))
    if (hasVersion(*upstream, softwareVersion))
      add(*upstream, now, &reach);
  return reach;
}

std::vector<PoolReach> poolReaches(const UpstreamRegistry &registry,
                                   TimePoint now) {
  std::map<std::string, PoolReach> byPool;
  for (const auto &entry : registry.all())
    add(*entry.second, now, &byPool[entry.second->entry.pool]);
  std::vector<PoolReach> reaches;
  for (auto &[pool, reach] : byPool) {
    const bool isRecent =
        reach.connectionAge && *reach.connectionAge <= MaxReachAge;
    if (reaches.size() == MaxPoolReaches || (!isRecent && reach.lost == 0))
      continue;
    reach.pool = pool;
    reaches.push_back(std::move(reach));
  }
  return reaches;
}

} // namespace auburnspring
