#include "soak/disruption_log.h"

#include <algorithm>

namespace auburnspring::soak {

void DisruptionLog::recordStart(const std::string &subject, TimePoint at) {
  spans_[subject].push_back({at, TimePoint::max()});
}

void DisruptionLog::recordEnd(const std::string &subject, TimePoint at) {
  std::vector<Span> &spans = spans_[subject];
  const auto open =
      std::find_if(spans.rbegin(), spans.rend(), [](const Span &span) {
        return span.to == TimePoint::max();
      });
  if (open != spans.rend())
    open->to = at;
}

bool DisruptionLog::isUndisrupted(const std::string &subject, TimePoint from,
                                  TimePoint to) const {
  const auto found = spans_.find(subject);
  return found == spans_.end() ||
         std::none_of(found->second.begin(), found->second.end(),
                      [&](const Span &span) {
                        return span.from <= to && from <= span.to;
                      });
}

} // namespace auburnspring::soak
