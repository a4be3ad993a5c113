#ifndef AUBURNSPRING_DECISION_REQUEST_LIMIT_H
#define AUBURNSPRING_DECISION_REQUEST_LIMIT_H

#include "auburnspring/decision/denial_spread.h"
#include "auburnspring/decision/shared_limit.h"

#include <cstdint>
#include <optional>

namespace auburnspring {

/// The requests a second that an upstream has named for all hosts together.
class RequestLimit : public SharedLimit {
public:
  /// Permits that are saved up while none is asked for, in requests and in
  /// seconds of the limit; the larger one applies.
  static constexpr double MaxSavedRequests = 1;
  static constexpr double MaxSavedSeconds = 0.5;

  bool onStatement(std::optional<double> perSecond, TimePoint statedAt,
                   TimePoint now) override;
  std::optional<double> value() const override { return perSecond_; }
  std::optional<TimePoint> statedAt() const override { return statedAt_; }
  bool isLimited() const { return perSecond_.has_value(); }
  bool isLimited(TimePoint /*now*/) const override { return isLimited(); }

  Duration timeToPermit(TimePoint now) const override;
  bool takePermit(std::uint64_t /*lease*/, Duration /*holdFor*/,
                  TimePoint now) override {
    return takePermit(now);
  }
  double permitsPerSecond() const override { return perSecond_.value_or(1); }
  /// Gives a permit; false if there is none yet.
  bool takePermit(TimePoint now);
  /// When a host that was denied a permit is to ask again. `uniform` is drawn
  /// from 0 to 1: hosts that all came back at once would get one permit.
  Duration retryAfterDenial(TimePoint now, double uniform);

private:
  double savedAt(TimePoint now) const;
  double maxSaved() const;

  std::optional<double> perSecond_;
  std::optional<TimePoint> statedAt_;
  double saved_ = 0;
  TimePoint savedSince_;
  DenialSpread spread_;
};

} // namespace auburnspring

#endif
