#ifndef AUBURNSPRING_DECISION_PEER_MESSAGE_H
#define AUBURNSPRING_DECISION_PEER_MESSAGE_H

#include "auburnspring/config/configuration.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/decision/batch_upstream_state.h"
#include "auburnspring/decision/content_delta.h"
#include "auburnspring/decision/helper_selection.h"
#include "auburnspring/decision/part_crash.h"
#include "auburnspring/decision/part_quarantine.h"
#include "auburnspring/decision/permit_end.h"
#include "auburnspring/decision/stage_job.h"
#include "auburnspring/decision/store_item.h"
#include "auburnspring/decision/store_version.h"
#include "auburnspring/decision/stream_origin.h"
#include "auburnspring/decision/upstream_statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspring {

enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// State of one member of the mesh as reported by a host, which may be itself.
struct MemberInfo {
  std::string host;
  /// Address for connections from peers.
  Endpoint endpoint;
  /// Address for connections from callers and operators.
  Endpoint callerEndpoint;
  std::string dataCentre;
  /// Increases with each restart and each refuted suspicion of the member.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
};

/// Notice that an upstream is leaving, gossiped between hosts.
struct LeavingNotice {
  std::string upstream;
  std::string incarnation;
};

/// Piggybacked on every Ping and Ack.
struct Gossip {
  std::uint64_t generation = 0;
  std::vector<MemberInfo> members;
  std::vector<LeavingNotice> leaving;
};

/// Requests an Ack; `target` is empty for the receiver itself, else the member
/// that the receiver probes on the sender's behalf.
struct Ping {
  std::uint64_t sequence = 0;
  std::string target;
  Gossip gossip;
};

struct Ack {
  std::uint64_t sequence = 0;
  /// The member that responded.
  std::string subject;
  Gossip gossip;
};

/// Requests the configuration of a generation known from gossip.
struct BundleRequest {
  std::uint64_t generation = 0;
};

struct BundleReply {
  ConfigurationBundle bundle;
};

/// Requests that the receiver write one operation to the ledger.
struct LedgerForward {
  /// Assigned by the sender; replies carry it.
  std::uint64_t number = 0;
  /// Index of LedgerVerb.
  std::uint8_t verb = 0;
  std::string key;
  /// From encodeRecord().
  std::string record;
  /// Claims only: time left until the verdict is due.
  Duration timeLeft{0};
  bool refresh = false;
  bool leavesTombstone = false;
};

/// Acknowledges a forwarded operation, or returns its result.
struct LedgerForwardReply {
  std::uint64_t number = 0;
  /// Acknowledgement only; the result follows in another message.
  bool queued = false;
  /// Index of ClaimVerdict.
  std::uint8_t verdict = 0;
  /// The record that already holds the key, from encodeRecord(); else empty.
  std::string existing;
};

/// Load that the sender's requests put on one upstream.
struct UpstreamLoad {
  std::string upstream;
  std::int64_t inFlight = 0;
  /// Prompt tokens that are not processed yet.
  std::int64_t prefillTokens = 0;
  /// Tokens that the requests need in KV cache memory until they end.
  std::int64_t reservedTokens = 0;
};

/// What an upstream has stated in its own responses to the sender.
struct UpstreamNotice {
  std::string upstream;
  /// Start time of the incarnation (wall clock, ms).
  std::int64_t startedAtMillis = 0;
  /// It is leaving and takes no new work.
  bool isLeaving = false;
  /// Time for which it refuses requests of the sender, or the sender has
  /// ejected it; 0 if neither.
  Duration refusesFor{0};
};

/// State of a serving host, sent to its peers several times per second.
struct HostHeartbeat {
  /// State of the store up to which the sender's replica is complete.
  StoreVersion storeVersion;
  /// Time since the store or a peer last confirmed that this is the store's
  /// current state.
  Duration storeVersionAge{0};
  /// False while the sender is not connected to the store.
  bool storeReachable = false;
  /// The sender is about to stop and accepts no new jobs.
  bool isLeaving = false;
  /// Version of the operator's configuration in force; 0 if there is none.
  std::int64_t configurationVersion = 0;
  std::vector<UpstreamLoad> loads;
  std::vector<UpstreamNotice> notices;
  /// Origins of streams that the sender has recorded since its last heartbeat;
  /// empty in a fleet whose heartbeats do not reach all hosts.
  std::vector<StreamOrigin> origins;
  /// Prompt parts that are or were quarantined.
  std::vector<PartQuarantine> quarantines;
  /// Facts about upstreams, among them some that have ceased to hold a short
  /// time ago.
  std::vector<UpstreamStatement> statements;
  HostReach reach;
  /// Port on which the sender takes requests of peers; 0 if it takes none.
  std::uint16_t handOverPort = 0;
};

/// Submits jobs to the batching host of their pools. Times are sent as time
/// left, since clocks are never compared across hosts.
struct JobSubmit {
  struct Entry {
    StageJob job;
    Duration targetIn{0};
    Duration deadlineIn{0};
  };
  std::vector<Entry> jobs;
  /// Set when the sender transfers a pool to a new batching host: the pool and
  /// the state of its upstreams.
  std::string pool;
  std::vector<BatchUpstreamState> upstreams;
};

/// Cancels the jobs of a request that has ended.
struct JobCancel {
  std::string pool;
  std::string requestId;
};

/// Releases results that are no longer needed.
struct ResultRelease {
  std::string pool;
  std::vector<std::string> results;
};

struct JobOutcomes {
  std::vector<JobOutcome> outcomes;
};

/// Probes whether a batching host is alive, or replies to such a probe.
struct BatcherProbe {
  bool isReply = false;
};

/// State of the replica of a host that watches the store, sent to the other
/// hosts of its data centre several times per second and at each change.
struct StoreVersionUpdate {
  StoreVersion version;
  /// As in HostHeartbeat.
  Duration age{0};
};

/// Requests the changes that the sender's replica of the store lacks.
struct ReplicaRequest {
  StoreVersion version;
  /// Large items that the sender holds, to which the reply may refer.
  std::vector<HeldContent> held;
};

struct ReplicaReply {
  /// True for all items at `version`, false for the changes up to it.
  bool isSnapshot = false;
  /// As in StoreUpdate.
  bool removalsAreConfirmed = false;
  StoreVersion version;
  std::vector<StoreChange> changes;
  /// Differences to what the receiver holds, in place of the values of some
  /// changes.
  std::vector<ContentDelta> deltas;
  /// Announces a large reply, which follows, and holds nothing else. Its
  /// version is that of the request, so that hosts of earlier releases ignore
  /// it.
  bool isAnnouncement = false;
};

/// Requests the operator's configuration in force at the receiver. A store that
/// was restored from a copy may hold an older one.
struct OperatorConfigurationRequest {
  /// The configuration in force at the sender.
  std::optional<HeldContent> held;
};

struct OperatorConfigurationReply {
  /// The configuration as the operator wrote it; empty if `delta` is set.
  std::string value;
  std::optional<ContentDelta> delta;
};

/// Origins of streams that the sender has recorded, outside of heartbeats.
struct StreamOriginsUpdate {
  std::vector<StreamOrigin> origins;
};

/// Asks where a stream began.
struct StreamOriginQuery {
  /// Assigned by the sender; the reply carries it.
  std::uint64_t number = 0;
  /// Id of the request that brought the stream's first event.
  std::string id;
};

struct StreamOriginReply {
  std::uint64_t number = 0;
  /// Not set if the sender does not know the stream.
  std::optional<StreamOrigin> origin;
  /// The host that recorded the origin, which may be the sender; empty if the
  /// sender does not know it or is of an earlier release.
  std::string recorder;
};

/// Crashes that the sender has observed, for the holders of their parts.
struct PartCrashReport {
  std::vector<PartCrash> crashes;
};

/// States of prompt parts that have changed.
struct PartQuarantineUpdate {
  std::vector<PartQuarantine> states;
};

/// Asks whether the sender may let one request with a quarantined part through.
struct PartTrialRequest {
  /// Assigned by the sender; the reply carries it.
  std::uint64_t number = 0;
  std::string part;
};

struct PartTrialReply {
  std::uint64_t number = 0;
  bool granted = false;
};

/// Statements that have changed.
struct UpstreamStatementUpdate {
  std::vector<UpstreamStatement> statements;
};

/// Asks for the permit to send one request to an upstream whose requests are
/// limited.
struct PermitRequest {
  /// Assigned by the sender; the reply carries it.
  std::uint64_t number = 0;
  /// A limit as the sender knows it.
  UpstreamStatement statement;
  /// Its limits for other reasons.
  std::vector<UpstreamStatement> more;
  /// Longest time for which the request may be in progress.
  Duration holdFor{0};
};

struct PermitReply {
  std::uint64_t number = 0;
  bool granted = false;
  /// When to ask again if it is not granted.
  Duration retryIn{0};
  /// Identifies the permit until it is released.
  std::uint64_t lease = 0;
};

/// The request of a permit has ended.
struct PermitRelease {
  std::string upstream;
  /// Start time of the incarnation (wall clock, ms).
  std::int64_t startedAtMillis = 0;
  std::uint64_t lease = 0;
  PermitEnd end = PermitEnd::Done;
};

using PeerMessage = std::variant<
    Ping, Ack, BundleRequest, BundleReply, LedgerForward, LedgerForwardReply,
    HostHeartbeat, JobSubmit, JobCancel, ResultRelease, JobOutcomes,
    BatcherProbe, ReplicaRequest, ReplicaReply, StoreVersionUpdate,
    OperatorConfigurationRequest, OperatorConfigurationReply,
    StreamOriginsUpdate, StreamOriginQuery, StreamOriginReply, PartCrashReport,
    PartQuarantineUpdate, PartTrialRequest, PartTrialReply,
    UpstreamStatementUpdate, PermitRequest, PermitReply, PermitRelease>;

} // namespace auburnspring

#endif
