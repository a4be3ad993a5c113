#include "auburnspring/decision/pool_pace.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Weight of an observation once there are many.
constexpr double MinWeight = 0.05;
/// An observation moves what is usual by at most this (as a logarithm), so that
/// it follows the median: a few slow engines do not count as usual.
constexpr double MaxStep = 0.3;

std::size_t loadClass(std::int64_t running, std::size_t classes) {
  std::size_t found = 0;
  while (found + 1 < classes && running >= (std::int64_t{2} << found))
    ++found;
  return found;
}

} // namespace

double PoolPace::observe(Duration pace, std::int64_t running) {
  const double millis = std::max(toMillis(pace), 0.01);
  Usual &usual = usual_[loadClass(running, usual_.size())];
  if (usual.millis == 0) {
    // Another class with observations is the best prior.
    const auto known =
        std::find_if(usual_.begin(), usual_.end(),
                     [](const Usual &other) { return other.millis > 0; });
    usual.millis = known == usual_.end() ? millis : known->millis;
  }
  const double ratio = millis / usual.millis;
  const double weight = std::max(MinWeight, 1 / ++usual.observations);
  usual.millis *=
      std::exp(weight * std::clamp(std::log(ratio), -MaxStep, MaxStep));
  return ratio;
}

} // namespace auburnspring
