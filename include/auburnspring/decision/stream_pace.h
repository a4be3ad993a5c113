#ifndef AUBURNSPRING_DECISION_STREAM_PACE_H
#define AUBURNSPRING_DECISION_STREAM_PACE_H

#include "auburnspring/base/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace auburnspring {

/// Measures the pace at which an engine writes one stream: the lower quartile
/// of the pauses between its events. Prefills of other requests, and a machine
/// that is slow for a moment, lengthen some pauses only.
class StreamPace {
public:
  static constexpr std::size_t MinPauses = 8;
  static constexpr std::size_t MaxPauses = 32;

  void onEvent(TimePoint now);
  /// Not set before there are enough events.
  std::optional<Duration> pace() const;
  /// Enough events for the best measurement.
  bool isFull() const { return count_ == MaxPauses; }

private:
  std::array<Duration, MaxPauses> pauses_{};
  std::size_t count_ = 0;
  std::optional<TimePoint> lastAt_;
};

} // namespace auburnspring

#endif
