#ifndef AUBURNSPRING_DECISION_UPSTREAM_HEALTH_H
#define AUBURNSPRING_DECISION_UPSTREAM_HEALTH_H

#include "auburnspring/decision/served_upstream.h"

namespace auburnspring {

/// What an attempt's end says of the upstream's health.
void noteAnswered(ServedUpstream *upstream, Duration took, TimePoint now);
void noteFailed(ServedUpstream *upstream, TimePoint now);
/// It could not be reached, which says more than one failed request.
void noteUnreachable(ServedUpstream *upstream, TimePoint now);

} // namespace auburnspring

#endif
