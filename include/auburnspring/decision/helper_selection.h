#ifndef AUBURNSPRING_DECISION_HELPER_SELECTION_H
#define AUBURNSPRING_DECISION_HELPER_SELECTION_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/pool_reach.h"

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// What a host has last told of itself, for peers that reach no upstream.
struct HostReach {
  /// It reaches no upstream itself.
  bool isCut = false;
  /// Time since it last established a connection to one, when it said so; not
  /// set if it has not yet.
  std::optional<Duration> connectionAge;
  /// Requests in progress there, those of its peers included.
  std::int64_t activeRequests = 0;
  double processorShare = 1;
  std::string dataCentre;
  /// The pools of whose upstreams it knows whether it reaches them.
  std::vector<PoolReach> pools;
};

/// A peer that may serve requests of this host.
struct HelperCandidate {
  std::string_view host;
  HostReach reach;
  /// Time since it said so.
  Duration age{0};
  /// Requests that it serves for this host now.
  std::int64_t handedOver = 0;
};

/// Older evidence of a peer's reach does not count.
constexpr Duration MaxReachAge = std::chrono::seconds(3);

/// True if the peer reached an upstream a short time ago.
bool hasReach(const HelperCandidate &candidate);

/// True if the peer reached an upstream of the pool a short time ago.
bool hasReach(const HelperCandidate &candidate, std::string_view pool);
/// What the host has told of the pool; null if nothing.
const PoolReach *findPool(const HostReach &reach, std::string_view pool);

/// Chooses the peer that serves a request: of two at random among those with
/// reach, the one with less load for its processor. Peers of another data
/// centre count as somewhat more loaded. Empty if none has reach.
std::string_view chooseHelper(absl::Span<const HelperCandidate> candidates,
                              std::string_view ownDataCentre,
                              std::mt19937_64 *random);

/// True if a host takes another request of a peer: so many that its own callers
/// keep at least half of it under load.
bool mayHelp(std::int64_t ownRequests, std::int64_t handedOverRequests);

} // namespace auburnspring

#endif
