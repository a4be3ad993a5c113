#ifndef AUBURNSPRING_SERVING_UPSTREAM_STATEMENTS_H
#define AUBURNSPRING_SERVING_UPSTREAM_STATEMENTS_H

#include "auburnspring/decision/peer_message.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/serving/dialect.h"

#include <string>

namespace auburnspring {

/// Applies what an upstream states about itself in the head of a response: that
/// it is leaving, or that it wants no requests of this host for a while. A
/// response of another instance shows that this one has been replaced.
void applyUpstreamStatements(const ResponseInfo &response,
                             UpstreamState *upstream,
                             UpstreamRegistry *registry, TimePoint now);

/// Applies what an upstream has stated to the peer `from`.
void applyUpstreamNotice(const UpstreamNotice &notice, const std::string &from,
                         UpstreamRegistry *registry, TimePoint now);

} // namespace auburnspring

#endif
