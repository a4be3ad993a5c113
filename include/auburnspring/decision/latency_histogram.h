#ifndef AUBURNSPRING_DECISION_LATENCY_HISTOGRAM_H
#define AUBURNSPRING_DECISION_LATENCY_HISTOGRAM_H

#include "auburnspring/base/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace auburnspring {

/// Histogram for quantiles of recent durations. Buckets are a quarter octave
/// wide, so that a quantile is within 19 % of the true one; counts are halved
/// from time to time to follow changes. Any thread may add and read.
class LatencyHistogram {
public:
  /// `prior` is the assumed median until there are enough samples.
  explicit LatencyHistogram(Duration prior);

  void add(Duration sample);

  /// The `q` quantile (0 to 1) of recent samples, as a bucket's upper edge.
  Duration quantile(double q) const;

  std::uint32_t count() const;

  /// Ratio of a sample to the unloaded baseline duration, which it updates. The
  /// baseline follows shorter samples quickly and longer ones slowly.
  double slowdownRatio(Duration sample);

private:
  static constexpr std::size_t BucketCount = 128;
  static constexpr std::uint32_t DecayThreshold = 512;
  static constexpr std::uint32_t MinSamples = 16;

  void halveCounts();

  Duration prior_;
  std::array<std::atomic<std::uint32_t>, BucketCount> buckets_{};
  std::atomic<std::uint32_t> total_{0};
  std::atomic<std::int64_t> baselineMicros_{0};
};

} // namespace auburnspring

#endif
