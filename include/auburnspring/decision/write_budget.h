#ifndef AUBURNSPRING_DECISION_WRITE_BUDGET_H
#define AUBURNSPRING_DECISION_WRITE_BUDGET_H

#include "auburnspring/base/time.h"

namespace auburnspring {

/// A token bucket of writes. While it is empty, batches grow instead.
class WriteBudget {
public:
  WriteBudget(double perSecond, double burst)
      : perSecond_(perSecond), burst_(burst), tokens_(burst) {}

  void setRate(double perSecond) { perSecond_ = perSecond; }

  /// Takes one write; false if none is left at `now`.
  bool take(TimePoint now);

  /// When the next write will be allowed.
  TimePoint nextAt(TimePoint now) const;

private:
  double perSecond_;
  double burst_;
  double tokens_;
  TimePoint filledAt_{};
};

} // namespace auburnspring

#endif
