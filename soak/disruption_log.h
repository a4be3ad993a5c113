#ifndef AUBURNSPRING_SOAK_DISRUPTION_LOG_H
#define AUBURNSPRING_SOAK_DISRUPTION_LOG_H

#include "auburnspring/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace auburnspring::soak {

/// Disruptions of a run by subject: a host's name, HOST/stop for its planned
/// stops, "store", "workers", or "world" for what affects every host.
class DisruptionLog {
public:
  void recordStart(const std::string &subject, TimePoint at);
  /// Ends the most recent open disruption of the subject.
  void recordEnd(const std::string &subject, TimePoint at);

  /// True if no disruption of the subject overlaps the span.
  bool isUndisrupted(const std::string &subject, TimePoint from,
                     TimePoint to) const;

private:
  struct Span {
    TimePoint from;
    TimePoint to;
  };
  std::map<std::string, std::vector<Span>> spans_;
};

} // namespace auburnspring::soak

#endif
