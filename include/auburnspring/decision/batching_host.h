#ifndef AUBURNSPRING_DECISION_BATCHING_HOST_H
#define AUBURNSPRING_DECISION_BATCHING_HOST_H

#include <absl/types/span.h>

#include <string>
#include <string_view>

namespace auburnspring {

/// A host that may form the batches of a pool.
struct BatchingCandidate {
  std::string_view host;
  /// Processors that the host may use; may be a fraction.
  double processorShare = 1;
};

/// Chooses the host that forms the batches of a pool, by rendezvous hashing
/// weighted by processor. Only hosts with at least half the processor of the
/// largest one are eligible: in a fleet of many small hosts most keys would
/// otherwise fall to one of them, and a small host can't carry a whole pool.
/// All hosts that know the same candidates choose the same one. Empty if there
/// are no candidates.
std::string_view
chooseBatchingHost(std::string_view pool,
                   absl::Span<const BatchingCandidate> candidates);

} // namespace auburnspring

#endif
