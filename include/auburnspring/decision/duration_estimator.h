#ifndef AUBURNSPRING_DECISION_DURATION_ESTIMATOR_H
#define AUBURNSPRING_DECISION_DURATION_ESTIMATOR_H

#include "auburnspring/base/time.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// Estimates the current duration of work in each pool as a moving average of
/// this host's observations. The estimate rises quickly and falls slowly.
class DurationEstimator {
public:
  /// Weights of observations that are shorter or longer than the estimate.
  static constexpr double FallWeight = 0.08;
  static constexpr double RiseWeight = 0.25;
  /// The estimate is halved after each such interval without an observation.
  static constexpr Duration HalfLife = std::chrono::seconds(4);

  void observe(const std::string &pool, Duration duration, TimePoint now) {
    Entry &entry = pools_[pool];
    entry.average = decayed(entry, now);
    const double weight = duration > entry.average ? RiseWeight : FallWeight;
    const double change =
        static_cast<double>((duration - entry.average).count()) * weight;
    entry.average += Duration(static_cast<std::int64_t>(change));
    entry.updatedAt = now;
  }

  /// Expected duration; zero if there is no recent observation.
  Duration estimate(const std::string &pool, TimePoint now) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? Duration(0) : decayed(found->second, now);
  }

private:
  struct Entry {
    Duration average{0};
    TimePoint updatedAt;
  };

  static Duration decayed(const Entry &entry, TimePoint now) {
    const auto halvings =
        std::clamp<std::int64_t>((now - entry.updatedAt) / HalfLife, 0, 30);
    return entry.average / (std::int64_t{1} << halvings);
  }

  std::unordered_map<std::string, Entry> pools_;
};

} // namespace auburnspring

#endif
