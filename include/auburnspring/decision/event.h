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

/// A caller's request, already authenticated and within the size limits.
struct RequestArrived {
  RequestId request = 0;
  std::string organisation;
  double weight = 1;
  std::string route;
  /// The caller's Idempotency-Key; empty if it gave none.
  std::string key;
  /// The caller vouches that no other call with this key is open or has ended
  /// in doubt. Without it a refusal that could not look the key up is Unknown.
  bool firstTry = false;
  std::string body;
  /// The caller's own deadline, if it is shorter than the route's.
  std::optional<Duration> deadline;
  bool stream = false;
};

/// The caller closed its connection.
struct CallerGone {
  RequestId request = 0;
};

/// What an attempt cost, as the upstream reports it.
struct Usage {
  Duration busy{0};
  std::int64_t promptTokens = 0;
  std::int64_t cachedTokens = 0;
  std::int64_t generatedTokens = 0;
};

/// A whole answer to an attempt.
struct AttemptSucceeded {
  AttemptId attempt;
  std::string text;
  Usage usage;
};

enum class FailureKind {
  /// No byte of the request was written.
  NotSent,
  /// The upstream says that it did not run the request.
  Refused,
  /// As Refused, because the upstream is leaving.
  Leaving,
  /// The upstream says that the request is malformed.
  Rejected,
  /// The upstream failed while running the request.
  Faulty,
  /// The connection broke or fell silent after the first byte was written.
  Broken,
  /// The attempt was cancelled by this host.
  Cancelled,
};

struct AttemptFailed {
  AttemptId attempt;
  FailureKind kind = FailureKind::Broken;
  std::string detail;
  Usage usage;
};

/// Streamed text of a Generate attempt, `offset` bytes after its first.
struct AttemptProgress {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::string text;
};

/// Time has passed; sent at nextWake() at the latest.
struct Tick {};

struct KvReplied {
  KvCallId call;
  KvReply reply;
};

struct HostListRead {
  HostList list;
};

struct LoadReported {
  LoadReport report;
};

struct PeerSaid {
  std::string from;
  PeerMessage message;
};

/// The operator asks the daemon to stop; what is in flight finishes.
struct StopRequested {};

/// A free slot in a pool was given to a waiting part. Raised inside the host.
struct SlotGranted {
  RequestId request = 0;
  std::uint32_t stage = 0;
  std::uint32_t part = 0;
  std::string organisation;
  std::shared_ptr<PoolState> pool;
};

/// A credible sign that an upstream is leaving. Raised inside the host.
struct LeavingSeen {
  LeavingRumour rumour;
};

/// A peer runs a configuration that this host may not have. Raised inside the
/// host.
struct GenerationHeard {
  std::string host;
  Endpoint endpoint;
  std::uint64_t generation = 0;
};

enum class ClaimVerdict {
  /// The key is this request's alone.
  Granted,
  /// The key has a record already.
  Taken,
  /// The same key was used with another body.
  Mismatch,
  /// The ledger could not be written; the request has no claim.
  Unavailable,
};

/// The ledger answered a claim or a look-up. Raised inside the host.
struct ClaimDecided {
  RequestId request = 0;
  ClaimVerdict verdict = ClaimVerdict::Unavailable;
  /// Granted only: the nonce that the claim stands under.
  std::string nonce;
  /// Taken only: the recorded outcome, if the run has ended.
  std::optional<Outcome> outcome;
  std::string answer;
  /// Taken only: the host that made the claim.
  std::string claimant;
};

using Event =
    std::variant<RequestArrived, CallerGone, AttemptSucceeded, AttemptFailed,
                 AttemptProgress, Tick, KvReplied, HostListRead, LoadReported,
                 PeerSaid, StopRequested, SlotGranted, LeavingSeen,
                 GenerationHeard, ClaimDecided>;

} // namespace auburnspring

#endif
