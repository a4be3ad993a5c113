#ifndef AUBURNSPRING_DECISION_LEDGER_H
#define AUBURNSPRING_DECISION_LEDGER_H

#include "auburnspring/decision/ledger_shard.h"
#include "auburnspring/decision/step.h"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// A request for the exclusive right to execute one idempotency key.
struct Claim {
  RequestId request = 0;
  /// From scopedKey().
  std::string key;
  std::string bodyDigest;
  /// The verdict is Unavailable if it is not known by this time.
  TimePoint verdictDeadline;
  /// Re-read the shard before deciding, since a record in it may have changed.
  bool refresh = false;
};

/// Claims idempotency keys in the key-value service for non-retryable requests.
/// Keys hash to shards; each shard is one value, changed by compare-and-swap.
/// Operations are forwarded to the shard's preferred host by rendezvous
/// hashing, which batches them into one write; if that host does not respond,
/// the host that serves the request writes the shard itself. Safety rests on
/// the compare-and-swap and on a nonce for each claim; an inaccurate list of
/// hosts costs only write conflicts. Thread-safe.
class Ledger {
public:
  struct Options {
    std::string host;
    /// Incarnation of this host; part of every nonce.
    std::uint64_t incarnation = 1;
    std::size_t shards = 16;
    LedgerShard::Options shard;
    std::size_t maxPending = 10000;
    std::size_t maxStoredResponseBytes = 8192;
    /// Writes per second of all hosts together; each host's share is in
    /// proportion to the shards that it is preferred for.
    double writesPerSecond = 150;
    /// Wait for the preferred host's acknowledgement before this host writes
    /// the shard itself.
    Duration forwardTimeout = std::chrono::milliseconds(150);
    /// Wait for the verdict on an operation that the preferred host has
    /// acknowledged.
    Duration verdictTimeout = std::chrono::seconds(2);
    /// Nothing is forwarded to a host for this long after it failed to respond.
    Duration unresponsiveHostBackoff = std::chrono::seconds(2);
    /// Consecutive failed calls after which the key-value service counts as
    /// unavailable.
    int failureThreshold = 3;
    /// While the service counts as unavailable, claims fail immediately for
    /// this long after each failed call.
    Duration retryInterval = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
  };

  /// A host that can write shards.
  struct Host {
    std::string name;
    Endpoint endpoint;
  };

  explicit Ledger(Options options);

  /// Sets the live hosts, including this one.
  void setHosts(std::vector<Host> hosts);

  /// Submits a claim; emits one ClaimDecided event with the verdict.
  void claim(const Claim &claim, Step *step);

  /// Records the outcome of the execution that holds the claim.
  void record(const std::string &key, const std::string &nonce,
              const std::string &bodyDigest, Outcome outcome,
              const std::string &response, Step *step);

  /// Releases a granted claim under which nothing was executed.
  void release(const std::string &key, const std::string &nonce, Step *step);

  /// Cancels the pending claim of a request. A claim that may have been
  /// written, or may still be, is released. Returns false if the verdict has
  /// already been emitted; the request must then release the claim itself.
  bool cancelClaim(RequestId request, Step *step);

  void onReply(KvCallId call, const KvReply &reply, Step *step);
  void onForward(const std::string &from, const Endpoint &endpoint,
                 const LedgerForward &message, Step *step);
  void onForwardReply(const LedgerForwardReply &message, Step *step);
  void onTick(Step *step);

  /// Time of the next onTick call that is needed; TimePoint::max() if none.
  TimePoint nextWake() const;

  struct Counters : LedgerShard::Counters {
    std::uint64_t forwarded = 0;
    std::uint64_t forwardTimeouts = 0;
    std::size_t pending = 0;
  };
  Counters counters() const;

  nlohmann::json dump() const;

private:
  struct ForwardedOperation {
    LedgerOperation operation;
    std::string host;
    /// The operation is retried locally if no reply has arrived by this time;
    /// an acknowledgement extends it.
    TimePoint retryLocallyAt;
    bool refresh = false;
  };

  std::string newNonce();
  /// Null if this host handles the shard itself.
  const Host *forwardTarget(std::size_t shard, TimePoint now) const;
  void dispatch(LedgerOperation operation, bool refresh, Step *step);
  void enqueueLocally(LedgerOperation operation, bool refresh, Step *step);
  void expireForwardedClaim(const ForwardedOperation &forwarded, Step *step);
  void retryLocally(ForwardedOperation forwarded, Step *step);
  void startNextCall(std::size_t index, Step *step);
  void collectResults(std::size_t index, Step *step);
  void deliverResult(const LedgerOperationResult &result, Step *step);
  void notifyRequest(const LedgerOperation &operation, ClaimVerdict verdict,
                     const LedgerRecord *existing, Step *step);
  void recordCallResult(bool responded, TimePoint now);

  Options options_;
  mutable std::mutex mutex_;
  // Members below are guarded by mutex_.
  LedgerShard::Shared shared_;
  std::vector<LedgerShard> shards_;
  std::set<std::size_t> activeShards_;
  absl::flat_hash_map<std::uint64_t, std::size_t> calls_;
  std::vector<Host> hosts_;
  std::vector<std::size_t> preferredHost_;
  std::map<std::string, TimePoint> unresponsiveUntil_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::uint64_t, ForwardedOperation> forwardedOperations_;
  std::size_t pending_ = 0;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextForward_ = 1;
  std::uint64_t nonceCounter_ = 0;
  int consecutiveFailures_ = 0;
  TimePoint unavailableUntil_{};
  std::uint64_t forwardCount_ = 0;
  std::uint64_t forwardTimeouts_ = 0;
};

} // namespace auburnspring

#endif
