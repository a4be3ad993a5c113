#ifndef AUBURNSPRING_DECISION_SLOWDOWN_STATEMENTS_H
#define AUBURNSPRING_DECISION_SLOWDOWN_STATEMENTS_H

#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/decision/upstream_statement.h"

#include <absl/types/span.h>

#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// Shares with the peers how slow upstreams are. Each host passes on what is
/// news to it, so that heartbeats to a few peers reach all hosts.
class SlowdownStatements {
public:
  /// Statements of one heartbeat: changes, and some of what has not changed.
  static constexpr std::size_t MaxChanged = 12;
  static constexpr std::size_t MaxRepeated = 4;

  explicit SlowdownStatements(UpstreamRegistry *registry)
      : registry_(registry) {}

  void learn(absl::Span<const UpstreamStatement> statements, TimePoint now);
  /// What has changed since the last heartbeat, and some of what has not, for
  /// hosts that have just started.
  std::vector<UpstreamStatement> takeForHeartbeat(TimePoint now,
                                                  std::mt19937_64 *random);

private:
  UpstreamRegistry *registry_;
  /// Key of the upstream whose change was sent last.
  std::string changedUpTo_;
};

} // namespace auburnspring

#endif
