#ifndef AUBURNSPRING_SOAK_CALM_RECORD_H
#define AUBURNSPRING_SOAK_CALM_RECORD_H

#include "auburnspring/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace auburnspring::soak {

/// When each thing of a run was disturbed: hosts by name, "store", and "world"
/// for what concerns every host.
class CalmRecord {
public:
  void disturb(const std::string &subject, TimePoint at);
  /// The disruption that began last is over.
  void settle(const std::string &subject, TimePoint at);

  /// True if the subject was undisturbed all through the span.
  bool isCalm(const std::string &subject, TimePoint from, TimePoint to) const;

private:
  struct Span {
    TimePoint from;
    TimePoint to;
  };
  std::map<std::string, std::vector<Span>> spans_;
};

} // namespace auburnspring::soak

#endif
