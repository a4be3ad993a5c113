#ifndef AUBURNSPRING_DECISION_COLD_LIMIT_H
#define AUBURNSPRING_DECISION_COLD_LIMIT_H

#include "auburnspring/decision/cold_terms.h"
#include "auburnspring/decision/shared_limit.h"

namespace auburnspring {

/// Bounds the requests of all hosts to an upstream while it is cold: at most
/// the overshoot times its rate, and the slack, in any second. It gives the
/// rate, and keeps what is above it for permits that are saved up, for their
/// way, and for two hosts that both give permits for a while.
class ColdLimit : public SharedLimit {
public:
  /// For how long a host that begins to give permits gives few: the one before
  /// it may not know yet.
  static constexpr Duration TakeoverTime = std::chrono::seconds(3);
  /// Longest time from a permit to the arrival of its request.
  static constexpr Duration TransitTime = std::chrono::milliseconds(150);

  explicit ColdLimit(const ColdTerms &terms) : terms_(terms) {}

  /// The value is the time for which it stays cold, in ms.
  bool onStatement(std::optional<double> value, TimePoint statedAt,
                   TimePoint now) override;
  std::optional<double> value() const override { return remainingMillis_; }
  std::optional<TimePoint> statedAt() const override { return statedAt_; }
  bool isLimited(TimePoint now) const override {
    return terms_.perSecond > 0 && now < coldUntil_;
  }
  Duration timeToPermit(TimePoint now) const override;
  bool takePermit(std::uint64_t lease, Duration holdFor,
                  TimePoint now) override;
  double permitsPerSecond() const override { return rate_; }
  void setGivingFor(Duration span, TimePoint now) override;

private:
  double spare() const;
  double maxSaved() const;
  double fullRate() const;
  double savedAt(TimePoint now) const;

  ColdTerms terms_;
  std::optional<double> remainingMillis_;
  std::optional<TimePoint> statedAt_;
  TimePoint coldUntil_;
  double rate_ = 0;
  double saved_ = 0;
  TimePoint savedSince_;
};

} // namespace auburnspring

#endif
