#ifndef AUBURNSPRING_DECISION_POOL_PACE_H
#define AUBURNSPRING_DECISION_POOL_PACE_H

#include "auburnspring/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnspring {

/// The usual pace of streams at the engines of a pool, by the number of
/// requests that run beside them.
class PoolPace {
public:
  /// Records the pace of a stream; returns it as a multiple of what is usual at
  /// this load.
  double observe(Duration pace, std::int64_t running);

private:
  struct Usual {
    double millis = 0;
    double observations = 0;
  };

  /// Where 1, 2 to 3, 4 to 7, ... requests run.
  std::array<Usual, 8> usual_{};
};

} // namespace auburnspring

#endif
