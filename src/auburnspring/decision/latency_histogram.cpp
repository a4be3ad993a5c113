#include "auburnspring/decision/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr double BucketsPerOctave = 4;

std::size_t bucketOf(Duration sample, std::size_t bucketCount) {
  const auto micros = std::max<std::int64_t>(sample.count(), 1);
  const double position =
      std::log2(static_cast<double>(micros)) * BucketsPerOctave;
  return std::min(static_cast<std::size_t>(position), bucketCount - 1);
}

Duration upperEdge(std::size_t bucket) {
  const double micros =
      std::exp2(static_cast<double>(bucket + 1) / BucketsPerOctave);
  return Duration(static_cast<std::int64_t>(micros));
}

} // namespace

LatencyHistogram::LatencyHistogram(Duration prior) : prior_(prior) {}

void LatencyHistogram::add(Duration sample) {
  buckets_[bucketOf(sample, BucketCount)].fetch_add(1,
                                                    std::memory_order_relaxed);
  if (total_.fetch_add(1, std::memory_order_relaxed) + 1 >= DecayThreshold)
    halveCounts();
}

// Two threads may halve at once; old samples then lose weight a little faster.
void LatencyHistogram::halveCounts() {
  std::uint32_t total = 0;
  for (auto &bucket : buckets_) {
    const std::uint32_t half = bucket.load(std::memory_order_relaxed) / 2;
    bucket.store(half, std::memory_order_relaxed);
    total += half;
  }
  total_.store(total, std::memory_order_relaxed);
}

Duration LatencyHistogram::quantile(double q) const {
  std::uint32_t total = 0;
  std::array<std::uint32_t, BucketCount> counts;
  for (std::size_t i = 0; i < BucketCount; ++i) {
    counts[i] = buckets_[i].load(std::memory_order_relaxed);
    total += counts[i];
  }
  // Assumes a uniform distribution with the prior as its median.
  if (total < MinSamples)
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(prior_.count()) * 2 * q));
  const double targetCount = q * total;
  double cumulative = 0;
  for (std::size_t i = 0; i < BucketCount; ++i) {
    cumulative += counts[i];
    if (cumulative >= targetCount)
      return upperEdge(i);
  }
  return upperEdge(BucketCount - 1);
}

double LatencyHistogram::slowdownRatio(Duration sample) {
  constexpr double DecreaseWeight = 0.2;
  constexpr double IncreaseWeight = 0.005;
  const auto micros = static_cast<double>(sample.count());
  const auto baseline = static_cast<double>(baselineMicros_.load());
  if (baseline <= 0) {
    baselineMicros_ = sample.count();
    return 1;
  }
  const double weight = micros < baseline ? DecreaseWeight : IncreaseWeight;
  baselineMicros_ =
      static_cast<std::int64_t>(baseline * (1 - weight) + micros * weight);
  return micros / baseline;
}

std::uint32_t LatencyHistogram::count() const {
  return total_.load(std::memory_order_relaxed);
}

} // namespace auburnspring
