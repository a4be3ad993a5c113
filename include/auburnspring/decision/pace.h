#ifndef AUBURNSPRING_DECISION_PACE_H
#define AUBURNSPRING_DECISION_PACE_H

#include "auburnspring/base/time.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// How long each pool has lately taken, by what this host has seen. A pool that
/// slows down is believed at once, one that recovers little by little.
class Pace {
public:
  /// Weight of an observation that is shorter or longer than the estimate.
  static constexpr double FallWeight = 0.08;
  static constexpr double RiseWeight = 0.25;
  /// An estimate that nothing confirms is halved in this time.
  static constexpr Duration HalfLife = std::chrono::seconds(4);

  void observe(const std::string &pool, Duration took, TimePoint now) {
    Entry &entry = pools_[pool];
    entry.span = current(entry, now);
    const double weight = took > entry.span ? RiseWeight : FallWeight;
    const double change =
        static_cast<double>((took - entry.span).count()) * weight;
    entry.span += Duration(static_cast<std::int64_t>(change));
    entry.at = now;
  }

  /// Expected duration; zero if there is no recent observation.
  Duration expect(const std::string &pool, TimePoint now) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? Duration(0) : current(found->second, now);
  }

private:
  struct Entry {
    Duration span{0};
    TimePoint at;
  };

  static Duration current(const Entry &entry, TimePoint now) {
    const auto halves =
        std::clamp<std::int64_t>((now - entry.at) / HalfLife, 0, 30);
    return entry.span / (std::int64_t{1} << halves);
  }

  std::unordered_map<std::string, Entry> pools_;
};

} // namespace auburnspring

#endif
