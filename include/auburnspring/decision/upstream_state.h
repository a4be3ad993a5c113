#ifndef AUBURNSPRING_DECISION_UPSTREAM_STATE_H
#define AUBURNSPRING_DECISION_UPSTREAM_STATE_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/upstream_entry.h"
#include "auburnspring/decision/upstream_limits.h"
#include "auburnspring/decision/upstream_speed.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnspring {

/// A peer host's load on an upstream, from its latest heartbeat.
struct PeerLoad {
  std::int64_t inFlight = 0;
  std::int64_t prefillTokens = 0;
  std::int64_t reservedTokens = 0;
  TimePoint at;
};

/// One incarnation of an upstream with this host's view of its load and health.
struct UpstreamState {
  UpstreamEntry entry;
  /// The entry was removed from the store or is marked as leaving, or the
  /// upstream has said so in a response.
  bool isLeaving = false;
  /// The upstream has stated in a response that it is leaving. It holds for
  /// this incarnation, whatever its entry says.
  bool hasAnnouncedLeaving = false;
  /// The upstream has refused a request of this host and wants no other before
  /// this time.
  TimePoint refusesUntil;
  /// What all hosts together may send to it.
  UpstreamLimits limits;
  /// This host gets no permit to send it a request before this time.
  TimePoint limitedUntil;
  /// As reported by a peer, to which it has refused a request or failed. A
  /// hint: the upstream may still take requests of this host.
  TimePoint refusesPeersUntil;
  /// Nothing may be sent to it from this time on, since its data centre is
  /// evacuated.
  TimePoint closesAt = TimePoint::max();

  /// This host's attempts in progress.
  std::int64_t inFlight = 0;
  /// Prompt tokens of attempts that have not returned their first event.
  std::int64_t prefillTokens = 0;
  /// Cache tokens that the attempts in progress need until they finish.
  std::int64_t reservedTokens = 0;
  std::unordered_map<std::string, PeerLoad> peers;
  UpstreamSpeed speed;

  /// Moving average of the share of attempts that failed, 0 to 1.
  double failureRate = 0;
  /// Moving average of the latency of successful attempts; 0 before the first.
  Duration latency{0};
  TimePoint lastOutcomeAt;
  /// Failures since the last success.
  std::int64_t consecutiveFailures = 0;
  /// End of the current ejection; no new work before it.
  TimePoint ejectedUntil;

  /// It takes no request of this host before this time.
  TimePoint unavailableUntil() const {
    return std::max(refusesUntil, limitedUntil);
  }
  /// When the latest connection of this host that was established had begun.
  std::optional<TimePoint> connectedAt;
  /// Failures to connect without a connection begun after them, each begun
  /// after the one before had failed; when the latest failed; when a probe has
  /// last tried.
  std::int64_t failedConnections = 0;
  TimePoint failedAt;
  TimePoint probedAt;

  /// This host can't connect to it.
  bool isOutOfReach() const { return failedConnections >= 2; }
  bool isClosed(TimePoint now) const { return now >= closesAt; }
  /// False if nothing may be sent to it, however few the alternatives are.
  bool mayBeSentWork(TimePoint now) const {
    return !isLeaving && !isClosed(now) && !isOutOfReach() &&
           now >= unavailableUntil();
  }
  bool acceptsWork(TimePoint now) const {
    return mayBeSentWork(now) && now >= ejectedUntil;
  }
};

/// True if the upstream runs the software version; if none is given, any does.
inline bool hasVersion(const UpstreamState &upstream,
                       std::optional<std::string_view> softwareVersion) {
  return !softwareVersion || upstream.entry.softwareVersion == *softwareVersion;
}

using UpstreamStatePtr = std::shared_ptr<UpstreamState>;

} // namespace auburnspring

#endif
