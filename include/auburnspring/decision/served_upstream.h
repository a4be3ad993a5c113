#ifndef AUBURNSPRING_DECISION_SERVED_UPSTREAM_H
#define AUBURNSPRING_DECISION_SERVED_UPSTREAM_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/upstream_entry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// Load that a peer has on an upstream, as it last said.
struct PeerLoad {
  std::int64_t inFlight = 0;
  std::int64_t prefillTokens = 0;
  std::int64_t heldTokens = 0;
  TimePoint at;
};

/// One life of an upstream with what this host knows of its load and health.
struct ServedUpstream {
  UpstreamEntry entry;
  /// Its entry is gone from the store or says that it leaves.
  bool isLeaving = false;

  /// This host's own attempts in progress.
  std::int64_t inFlight = 0;
  /// Prompt tokens of attempts that have not shown their first event.
  std::int64_t prefillTokens = 0;
  /// Tokens that the attempts in progress need in memory to their end.
  std::int64_t heldTokens = 0;
  std::unordered_map<std::string, PeerLoad> peers;

  /// Share of recent attempts that failed, and their smoothed latency.
  double failureRate = 0;
  Duration latency{0};
  TimePoint lastOutcomeAt;
  /// Failures in a row without a sign of life between them.
  std::int64_t failuresInRow = 0;
  /// No new work before this time.
  TimePoint ejectedUntil;

  bool takesWork(TimePoint now) const {
    return !isLeaving && now >= ejectedUntil;
  }
};

using ServedUpstreamPtr = std::shared_ptr<ServedUpstream>;

} // namespace auburnspring

#endif
