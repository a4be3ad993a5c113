#ifndef AUBURNSPRING_DECISION_ENGINE_SPEED_H
#define AUBURNSPRING_DECISION_ENGINE_SPEED_H

#include "auburnspring/base/time.h"

#include <cstdint>

namespace auburnspring {

/// Learns how fast the engines of a pool prefill prompts, by a linear
/// regression of the time to the first event over the prompt tokens that had to
/// be prefilled before it. Recent observations weigh more, so that it follows
/// engines that become slower or faster, and quick ones more than slow ones, so
/// that it learns the speed of an engine that nothing else holds up.
class EngineSpeedEstimator {
public:
  /// Before the first observations: 100 prompt tokens per millisecond.
  static constexpr double InitialMillisPerToken = 0.01;
  static constexpr double MinMillisPerToken = 0.0005;
  static constexpr double MaxMillisPerToken = 0.5;

  /// Records that a first event took `elapsed` where `tokens` were to be
  /// prefilled before it.
  void observe(std::int64_t tokens, Duration elapsed);

  double millisPerToken() const;
  /// Time that an engine takes to prefill this many tokens.
  Duration prefillDuration(std::int64_t tokens) const;
  /// Expected time to the first event.
  Duration firstEventDuration(std::int64_t tokens) const;
  /// Moving average of the relative error of firstEventDuration().
  double relativeError() const { return relativeError_; }

private:
  double weight_ = 0;
  double meanTokens_ = 0;
  double meanMillis_ = 0;
  /// Weighted sums of squares and products of the deviations from the means.
  double tokensSquared_ = 0;
  double tokensTimesMillis_ = 0;
  double relativeError_ = 0;
};

} // namespace auburnspring

#endif
