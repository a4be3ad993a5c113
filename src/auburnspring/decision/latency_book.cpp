#include "auburnspring/decision/latency_book.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr double BucketsPerOctave = 4;

std::size_t bucketOf(Duration sample, std::size_t buckets) {
  const auto micros = std::max<std::int64_t>(sample.count(), 1);
  const double position =
      std::log2(static_cast<double>(micros)) * BucketsPerOctave;
  return std::min(static_cast<std::size_t>(position), buckets - 1);
}

Duration upperEdge(std::size_t bucket) {
  const double micros =
      std::exp2(static_cast<double>(bucket + 1) / BucketsPerOctave);
  return Duration(static_cast<std::int64_t>(micros));
}

} // namespace

LatencyBook::LatencyBook(Duration prior) : prior_(prior) {}

void LatencyBook::add(Duration sample) {
  buckets_[bucketOf(sample, Buckets)].fetch_add(1, std::memory_order_relaxed);
  if (total_.fetch_add(1, std::memory_order_relaxed) + 1 >= HalveAt)
    halve();
}

// Two threads may halve at once; the book then forgets a little faster.
void LatencyBook::halve() {
  std::uint32_t total = 0;
  for (auto &bucket : buckets_) {
    const std::uint32_t half = bucket.load(std::memory_order_relaxed) / 2;
    bucket.store(half, std::memory_order_relaxed);
    total += half;
  }
  total_.store(total, std::memory_order_relaxed);
}

Duration LatencyBook::quantile(double q) const {
  std::uint32_t total = 0;
  std::array<std::uint32_t, Buckets> counts;
  for (std::size_t i = 0; i < Buckets; ++i) {
    counts[i] = buckets_[i].load(std::memory_order_relaxed);
    total += counts[i];
  }
  // The prior is taken as a median with a linear spread around it.
  if (total < TrustFrom)
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(prior_.count()) * 2 * q));
  const double wanted = q * total;
  double seen = 0;
  for (std::size_t i = 0; i < Buckets; ++i) {
    seen += counts[i];
    if (seen >= wanted)
      return upperEdge(i);
  }
  return upperEdge(Buckets - 1);
}

double LatencyBook::stretch(Duration sample) {
  constexpr double TowardsShorter = 0.2;
  constexpr double TowardsLonger = 0.005;
  const auto micros = static_cast<double>(sample.count());
  const auto known = static_cast<double>(unloadedMicros_.load());
  if (known <= 0) {
    unloadedMicros_ = sample.count();
    return 1;
  }
  const double share = micros < known ? TowardsShorter : TowardsLonger;
  unloadedMicros_ =
      static_cast<std::int64_t>(known * (1 - share) + micros * share);
  return micros / known;
}

std::uint32_t LatencyBook::count() const {
  return total_.load(std::memory_order_relaxed);
}

} // namespace auburnspring
