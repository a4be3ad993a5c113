#ifndef AUBURNSPRING_DECISION_REACH_MONITOR_H
#define AUBURNSPRING_DECISION_REACH_MONITOR_H

#include "auburnspring/base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace auburnspring {

/// Decides whether this host reaches any upstream, from the connections that
/// its requests and its probes establish or fail to.
///
/// Failures at several upstreams without a connection since the first of them
/// raise a suspicion, which a round of probes confirms or ends. What happens on
/// connections that are open already is no evidence: they may live on while new
/// ones fail.
class ReachMonitor {
public:
  enum class State { Reaching, Suspected, Cut };

  /// Upstreams with failures that raise a suspicion.
  static constexpr std::size_t SuspicionFailures = 2;
  /// Older failures are forgotten.
  static constexpr Duration FailureRetention = std::chrono::seconds(2);
  /// Upstreams that are probed to confirm a suspicion, and in each later round.
  static constexpr std::size_t ConfirmProbes = 6;
  static constexpr std::size_t HealProbes = 2;
  /// Time from the begin of a round of probes to the next.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(250);
  /// Rounds in a row, all of whose probes connect, that end a cut.
  static constexpr int HealRounds = 2;

  /// A connection that was begun at `begunAt` has been established.
  void onConnected(TimePoint begunAt);
  /// A connection to the upstream was refused or has timed out.
  void onUnreachable(const std::string &upstream, TimePoint now);

  /// Number of upstreams to probe now; 0 if no round is due. Each must be
  /// followed by onProbeEnd().
  std::size_t beginProbes(std::size_t listedUpstreams, TimePoint now);
  void onProbeEnd(bool isConnected, TimePoint now);

  State state() const { return state_; }
  bool isCut() const { return state_ == State::Cut; }
  /// Time since the latest connection; not set if there was none.
  std::optional<Duration> connectionAge(TimePoint now) const;
  /// Since when it is cut, as far as is known: the first failure.
  TimePoint cutSince() const { return cutSince_; }

private:
  void endRound(TimePoint now);

  State state_ = State::Reaching;
  /// Latest failure of each upstream since the latest connection.
  std::map<std::string, TimePoint> failures_;
  std::optional<TimePoint> connectedAt_;
  TimePoint cutSince_;
  TimePoint nextRoundAt_;
  /// The round in progress.
  std::size_t pendingProbes_ = 0;
  std::size_t connectedProbes_ = 0;
  std::size_t roundProbes_ = 0;
  int healedRounds_ = 0;
};

} // namespace auburnspring

#endif
