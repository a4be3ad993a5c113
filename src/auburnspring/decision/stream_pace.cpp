#include "auburnspring/decision/stream_pace.h"

#include <algorithm>

namespace auburnspring {

void StreamPace::onEvent(TimePoint now) {
  if (lastAt_ && count_ < MaxPauses)
    pauses_[count_++] = now - *lastAt_;
  lastAt_ = now;
}

std::optional<Duration> StreamPace::pace() const {
  if (count_ < MinPauses)
    return std::nullopt;
  std::array<Duration, MaxPauses> sorted = pauses_;
  const auto quartile =
      sorted.begin() + static_cast<std::ptrdiff_t>(count_ / 4);
  std::nth_element(sorted.begin(), quartile,
                   sorted.begin() + static_cast<std::ptrdiff_t>(count_));
  return *quartile;
}

} // namespace auburnspring
