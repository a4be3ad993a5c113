#ifndef AUBURNSPRING_DECISION_PEER_MESSAGE_H
#define AUBURNSPRING_DECISION_PEER_MESSAGE_H

#include "auburnspring/config/configuration.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/decision/gathered_upstream.h"
#include "auburnspring/decision/piece_job.h"
#include "auburnspring/decision/store_item.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnspring {

enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// What one host says of a member of the mesh, itself included.
struct MemberRumour {
  std::string host;
  /// Where peers connect.
  Endpoint endpoint;
  /// Where callers and operators connect.
  Endpoint callers;
  std::string dataCentre;
  /// Grows with each life and with each refuted suspicion of the member.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
};

/// A sign that an upstream is leaving, spread from host to host.
struct LeavingRumour {
  std::string upstream;
  std::string incarnation;
};

/// What every probe and its answer carry besides.
struct Gossip {
  std::uint64_t generation = 0;
  std::vector<MemberRumour> members;
  std::vector<LeavingRumour> leaving;
};

/// Asks for an Ack; `target` is empty for the receiver itself, else the member
/// that the receiver is asked to probe on the sender's behalf.
struct Ping {
  std::uint64_t sequence = 0;
  std::string target;
  Gossip gossip;
};

struct Ack {
  std::uint64_t sequence = 0;
  /// The member that was found alive.
  std::string subject;
  Gossip gossip;
};

/// Asks for a configuration that the sender has heard of.
struct BundleRequest {
  std::uint64_t generation = 0;
};

struct BundleReply {
  ConfigurationBundle bundle;
};

/// Asks the receiver to write one operation into the ledger.
struct LedgerForward {
  /// Chosen by the sender; the answer carries it.
  std::uint64_t number = 0;
  /// Index of LedgerVerb.
  std::uint8_t verb = 0;
  std::string key;
  /// From encodeRecord().
  std::string record;
  /// Time left until a claim is of no more use.
  Duration timeLeft{0};
  bool refresh = false;
  bool leavesMark = false;
};

/// How a forwarded operation ended, or that it has been received.
struct LedgerForwarded {
  std::uint64_t number = 0;
  /// The receiver has the operation; how it ended follows.
  bool queued = false;
  /// Index of ClaimVerdict.
  std::uint8_t verdict = 0;
  /// From encodeRecord() if the key is taken, else empty.
  std::string present;
};

/// Load that the sender has on one upstream.
struct UpstreamLoad {
  std::string upstream;
  std::int64_t inFlight = 0;
  std::int64_t prefillTokens = 0;
  std::int64_t heldTokens = 0;
};

/// What a serving host tells its peers of itself, several times a second.
struct HostBeat {
  /// Revision up to which the sender's copy of the store is whole.
  std::int64_t storeRevision = 0;
  /// False while the sender can't reach the store.
  bool storeReachable = false;
  /// The sender is about to stop and takes no new jobs.
  bool isLeaving = false;
  std::vector<UpstreamLoad> loads;
};

/// Hands jobs to the host that gathers pieces for their pools. Times travel as
/// time left, since clocks are never compared across hosts.
struct PieceSubmit {
  struct Entry {
    PieceJob job;
    Duration goalIn{0};
    Duration deadlineIn{0};
  };
  std::vector<Entry> jobs;
  /// From a host that hands a whole pool over: what it knows of its upstreams.
  std::string pool;
  std::vector<GatheredUpstream> upstreams;
};

/// The request is over; its jobs are of no more use.
struct PieceWithdraw {
  std::string pool;
  std::string requestId;
};

/// Results that nobody needs any more.
struct PieceRelease {
  std::string pool;
  std::vector<std::string> results;
};

struct PieceOutcomes {
  std::vector<PieceOutcome> outcomes;
};

/// Asks a gathering host whether it is alive, or answers that it is.
struct GathererPing {
  bool isAnswer = false;
};

/// A host that watches the store tells the others of its data centre how far
/// its copy goes; several times a second, and at each change.
struct StoreNews {
  std::int64_t revision = 0;
};

/// Asks for what the sender's copy of the store lacks.
struct ReplicaRequest {
  std::int64_t revision = 0;
};

struct ReplicaReply {
  /// All items at `revision`, else the changes up to it.
  bool isWhole = false;
  /// The sender has had the store for long enough to know that what is gone has
  /// not merely lapsed.
  bool isSteady = false;
  std::int64_t revision = 0;
  std::vector<StoreChange> changes;
};

using PeerMessage =
    std::variant<Ping, Ack, BundleRequest, BundleReply, LedgerForward,
                 LedgerForwarded, HostBeat, PieceSubmit, PieceWithdraw,
                 PieceRelease, PieceOutcomes, GathererPing, ReplicaRequest,
                 ReplicaReply, StoreNews>;

} // namespace auburnspring

#endif
