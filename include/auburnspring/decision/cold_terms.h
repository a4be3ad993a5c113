#ifndef AUBURNSPRING_DECISION_COLD_TERMS_H
#define AUBURNSPRING_DECISION_COLD_TERMS_H

namespace auburnspring {

/// What an upstream takes while it is cold, of all hosts together.
struct ColdTerms {
  /// Requests a second; 0 if it has no limit.
  double perSecond = 0;
  /// How far the requests of a second may exceed it: a factor and a number.
  double overshoot = 1;
  double slack = 0;
};

} // namespace auburnspring

#endif
