#ifndef AUBURNSPRING_REVIEW_STAND_INS_3_RECORD_H
#define AUBURNSPRING_REVIEW_STAND_INS_3_RECORD_H

#include "auburnspring/base/time.h"

#include <fstream>
#include <string>

namespace auburnspring::review {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// The record of a case: one line for each event, with the milliseconds since
/// the begin.
class Record {
public:
  explicit Record(const std::string &path);

  void add(const std::string &line);
  /// Milliseconds from the begin of the record.
  double millisAt(TimePoint time) const;

private:
  std::ofstream file_;
  TimePoint begin_;
};

/// True unless the environment has TROUBLE=0.
bool hasTrouble();

} // namespace auburnspring::review

#endif
