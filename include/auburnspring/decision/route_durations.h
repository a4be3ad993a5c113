#ifndef AUBURNSPRING_DECISION_ROUTE_DURATIONS_H
#define AUBURNSPRING_DECISION_ROUTE_DURATIONS_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/latency_histogram.h"

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// How long this host's requests take from their arrival to their end, by
/// route.
class RouteDurations {
public:
  /// Share of a route's requests that keep the bound.
  static constexpr double BoundedShare = 0.99;
  /// With fewer requests the bound is the longest duration.
  static constexpr std::uint32_t MinRequests = 16;

  void observe(const std::string &route, Duration duration) {
    Entry &entry = routes_[route];
    entry.histogram.add(duration);
    entry.longest = std::max(entry.longest, duration);
  }

  /// The duration that nearly all recent requests of the route keep; not set if
  /// there were none.
  std::optional<Duration> bound(const std::string &route) const {
    const auto found = routes_.find(route);
    if (found == routes_.end())
      return std::nullopt;
    const Entry &entry = found->second;
    return entry.histogram.count() < MinRequests
               ? entry.longest
               : entry.histogram.quantile(BoundedShare);
  }

private:
  struct Entry {
    LatencyHistogram histogram{Duration(0)};
    Duration longest{0};
  };

  std::unordered_map<std::string, Entry> routes_;
};

} // namespace auburnspring

#endif
