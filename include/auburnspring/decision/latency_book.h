#ifndef AUBURNSPRING_DECISION_LATENCY_BOOK_H
#define AUBURNSPRING_DECISION_LATENCY_BOOK_H

#include "auburnspring/base/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace auburnspring {

/// Quantiles of recent durations. Counts in buckets a quarter octave wide, so
/// a quantile is within 19 % of the true one; old counts are halved so that
/// the book follows changes. Any thread may add and read.
class LatencyBook {
public:
  /// `prior` is the median that is assumed until enough has been observed.
  explicit LatencyBook(Duration prior);

  void add(Duration sample);

  /// The duration below which a share `q` of recent samples lie.
  Duration quantile(double q) const;

  std::uint32_t count() const;

  /// How many times its unloaded duration a sample took. The unloaded duration
  /// follows the shortest samples at once and longer ones slowly.
  double stretch(Duration sample);

private:
  static constexpr std::size_t Buckets = 128;
  static constexpr std::uint32_t HalveAt = 512;
  static constexpr std::uint32_t TrustFrom = 16;

  void halve();

  Duration prior_;
  std::array<std::atomic<std::uint32_t>, Buckets> buckets_{};
  std::atomic<std::uint32_t> total_{0};
  std::atomic<std::int64_t> unloadedMicros_{0};
};

} // namespace auburnspring

#endif
