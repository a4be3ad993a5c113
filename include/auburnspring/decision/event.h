#ifndef AUBURNSPRING_DECISION_EVENT_H
#define AUBURNSPRING_DECISION_EVENT_H

#include "auburnspring/decision/ids.h"
#include "auburnspring/decision/key_value.h"
#include "auburnspring/decision/outcome.h"
#include "auburnspring/decision/peer_message.h"
#include "auburnspring/decision/upstream_facts.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace auburnspring {

struct PoolState;

/// A caller's request, authenticated and within the size limits.
struct RequestArrived {
  RequestId request = 0;
  std::string organisation;
  double weight = 1;
  std::string route;
  /// The caller's Idempotency-Key; empty if none was sent.
  std::string key;
  /// The caller asserts that no other call with this key is open or has ended
  /// with an unknown outcome. Without it, a request that is refused before its
  /// key was looked up has the outcome Unknown.
  bool firstTry = false;
  std::string body;
  /// The caller's own deadline, if it is shorter than the route's.
  std::optional<Duration> deadline;
  bool stream = false;
};

/// The caller closed its connection.
struct CallerDisconnected {
  RequestId request = 0;
};

/// Resources an attempt used, as reported by the upstream.
struct Usage {
  Duration busy{0};
  std::int64_t promptTokens = 0;
  std::int64_t cachedTokens = 0;
  std::int64_t generatedTokens = 0;
};

/// An attempt ended with a complete result.
struct AttemptSucceeded {
  AttemptId attempt;
  std::string text;
  Usage usage;
};

enum class FailureKind {
  /// The attempt failed before any byte of the request was written.
  NotSent,
  /// The upstream reports that it did not run the request.
  Refused,
  /// As Refused, because the upstream is shutting down.
  Leaving,
  /// The upstream reports that the request is malformed.
  Rejected,
  /// The upstream failed while running the request.
  UpstreamFailed,
  /// No valid response arrived after the first byte was written: the connection
  /// was lost, timed out or carried an invalid response.
  ResponseLost,
  /// The attempt was cancelled by this host.
  Cancelled,
};

struct AttemptFailed {
  AttemptId attempt;
  FailureKind kind = FailureKind::ResponseLost;
  std::string detail;
  Usage usage;
};

/// Streamed text of a Generate attempt, at byte `offset` of its result.
struct AttemptProgress {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::string text;
};

/// Advances the time; due at EntryHost::nextWake() at the latest.
struct Tick {};

struct KvReplyReceived {
  KvCallId call;
  KvReply reply;
};

struct HostListRead {
  HostList list;
};

struct LoadReported {
  LoadReport report;
};

struct PeerMessageReceived {
  std::string from;
  PeerMessage message;
};

/// The operator requested a graceful stop; requests in flight finish.
struct StopRequested {};

/// A queued part was granted a slot in a pool. Internal event.
struct SlotGranted {
  RequestId request = 0;
  std::uint32_t stage = 0;
  std::uint32_t part = 0;
  std::string organisation;
  std::shared_ptr<PoolState> pool;
};

/// An upstream was found to be shutting down. Internal event.
struct LeavingDetected {
  LeavingNotice notice;
};

/// A peer announced a configuration generation that this host may lack.
/// Internal event.
struct GenerationAnnounced {
  std::string host;
  Endpoint endpoint;
  std::uint64_t generation = 0;
};

enum class ClaimVerdict {
  /// The request holds the key exclusively.
  Granted,
  /// The key already has a record.
  Taken,
  /// The key was used before with a different body.
  Mismatch,
  /// The ledger could not be written; the request holds no claim.
  Unavailable,
};

/// The ledger decided a claim or a look-up. Internal event.
struct ClaimDecided {
  RequestId request = 0;
  ClaimVerdict verdict = ClaimVerdict::Unavailable;
  /// Granted only: the nonce that identifies the claim.
  std::string nonce;
  /// Taken only: the recorded outcome, if the run has ended.
  std::optional<Outcome> outcome;
  std::string response;
  /// Taken only: the host that made the claim.
  std::string claimant;
};

using Event = std::variant<RequestArrived, CallerDisconnected, AttemptSucceeded,
                           AttemptFailed, AttemptProgress, Tick,
                           KvReplyReceived, HostListRead, LoadReported,
                           PeerMessageReceived, StopRequested, SlotGranted,
                           LeavingDetected, GenerationAnnounced, ClaimDecided>;

} // namespace auburnspring

#endif
