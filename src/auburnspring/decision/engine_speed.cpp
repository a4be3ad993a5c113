#include "auburnspring/decision/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

/// Factor by which the weight of an observation falls with each later one.
constexpr double Retention = 0.95;
/// Weight of the initial rate, in squared tokens: that of four observations
/// whose prompts differ by a thousand tokens from the mean.
constexpr double InitialRateWeight = 4e6;
/// An observation counts at most as this many times the expected time plus the
/// slack: a request that had to queue says little about the prefill.
constexpr double OutlierFactor = 3;
constexpr double OutlierSlackMillis = 300;
/// Weight of an observation above the expected time, where one below it counts
/// 1. What lengthens a prefill besides its own tokens (other prompts, full
/// slots) is not the engine's speed, and is worst where long prompts meet.
constexpr double SlowerWeight = 0.05;
constexpr double ErrorWeight = 0.05;

} // namespace

void EngineSpeedEstimator::observe(std::int64_t tokens, Duration elapsed) {
  const auto x = static_cast<double>(tokens);
  const double expected = toMillis(firstEventDuration(tokens));
  double y = std::max(toMillis(elapsed), 0.0);
  const double weight = weight_ > 0 && y > expected ? SlowerWeight : 1;
  if (weight_ > 0) {
    const double error = std::abs(y - expected) / std::max(y, 1.0);
    relativeError_ += (error - relativeError_) * ErrorWeight;
    y = std::min(y, expected * OutlierFactor + OutlierSlackMillis);
  }
  weight_ = weight_ * Retention + weight;
  const double tokensDeviation = x - meanTokens_;
  meanTokens_ += tokensDeviation * weight / weight_;
  const double millisDeviation = y - meanMillis_;
  meanMillis_ += millisDeviation * weight / weight_;
  tokensSquared_ =
      tokensSquared_ * Retention + weight * tokensDeviation * (x - meanTokens_);
  tokensTimesMillis_ = tokensTimesMillis_ * Retention +
                       weight * tokensDeviation * (y - meanMillis_);
}

double EngineSpeedEstimator::millisPerToken() const {
  const double rate =
      (tokensTimesMillis_ + InitialRateWeight * InitialMillisPerToken) /
      (tokensSquared_ + InitialRateWeight);
  return std::clamp(rate, MinMillisPerToken, MaxMillisPerToken);
}

Duration EngineSpeedEstimator::prefillDuration(std::int64_t tokens) const {
  return Duration(static_cast<std::int64_t>(static_cast<double>(tokens) *
                                            millisPerToken() * 1000));
}

Duration EngineSpeedEstimator::firstEventDuration(std::int64_t tokens) const {
  const double fromMean = static_cast<double>(tokens) - meanTokens_;
  const double millis =
      std::max(meanMillis_ + fromMean * millisPerToken(), 0.0);
  return Duration(static_cast<std::int64_t>(millis * 1000));
}

} // namespace auburnspring
