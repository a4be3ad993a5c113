#ifndef AUBURNSPRING_DECISION_WRITE_BUDGET_H
#define AUBURNSPRING_DECISION_WRITE_BUDGET_H

#include "auburnspring/base/time.h"

namespace auburnspring {

/// Token bucket that limits writes. While it is empty, batches grow instead.
class WriteBudget {
public:
  WriteBudget(double perSecond, double burst)
      : perSecond_(perSecond), burst_(burst), tokens_(burst) {}

  void setRate(double perSecond) { perSecond_ = perSecond; }

  /// Takes the token for one write; false if none is left at `now`.
  bool tryAcquire(TimePoint now);

  /// When the next token will be available.
  TimePoint nextAvailableAt(TimePoint now) const;

private:
  double perSecond_;
  double burst_;
  double tokens_;
  TimePoint refilledAt_{};
};

} // namespace auburnspring

#endif
