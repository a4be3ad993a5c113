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

/// A request's wish to be the only one that runs its key.
struct Claim {
  RequestId request = 0;
  /// From scopedKey().
  std::string key;
  std::string bodyDigest;
  /// The verdict is Unavailable if none is known by then.
  TimePoint answerBy;
  /// Read the shard anew first, since a record in it may have changed.
  bool refresh = false;
};

/// Claims keys in the key-value service for requests that may not be repeated.
/// Keys hash to shards; each shard is one value, changed by compare-and-swap.
/// Operations go to the host that rendezvous hashing prefers for their shard,
/// which writes many of them at once; if it stays silent, the host that has
/// the request writes the shard itself. Safety rests on the compare-and-swap
/// and on a nonce for each claim; a wrong view of the hosts costs conflicts.
/// Any thread may call it.
class Ledger {
public:
  struct Options {
    std::string host;
    /// Life of the host, part of every nonce.
    std::uint64_t incarnation = 1;
    std::size_t shards = 16;
    LedgerShard::Options shard;
    std::size_t maxPending = 10000;
    std::size_t maxKeptAnswerBytes = 8192;
    /// Writes a second of all hosts together; each takes its share.
    double writesPerSecond = 150;
    /// Wait for the preferred host's receipt before writing the shard oneself.
    Duration forwardTimeout = std::chrono::milliseconds(150);
    /// Wait for an operation that the preferred host says it has.
    Duration answerTimeout = std::chrono::seconds(2);
    /// A host that was silent is not asked again for this long.
    Duration avoidSilent = std::chrono::seconds(2);
    /// After this many failed calls in a row the service is taken as down.
    int failuresUntilDown = 3;
    /// While it is down, claims are refused at once but for one in this time.
    Duration downInterval = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
  };

  /// A host that may write shards.
  struct Host {
    std::string name;
    Endpoint endpoint;
  };

  explicit Ledger(Options options);

  /// The hosts believed alive, this one included.
  void setHosts(std::vector<Host> hosts);

  /// Asks for a claim; a ClaimDecided follows.
  void claim(const Claim &claim, Step *step);

  /// Records how the run that holds the claim ended.
  void record(const std::string &key, const std::string &nonce,
              const std::string &bodyDigest, Outcome outcome,
              const std::string &answer, Step *step);

  /// Gives a granted claim back, since nothing ran under it.
  void release(const std::string &key, const std::string &nonce, Step *step);

  /// The request no longer waits for its verdict. A claim that may have landed
  /// or may still land is released. False if the verdict is already under way
  /// to the request, which then releases the claim itself.
  bool abandon(RequestId request, Step *step);

  void onReply(KvCallId call, const KvReply &reply, Step *step);
  void onForward(const std::string &from, const Endpoint &endpoint,
                 const LedgerForward &message, Step *step);
  void onForwarded(const LedgerForwarded &message, Step *step);
  void onTick(Step *step);

  /// When onTick has something to do next; TimePoint::max() if never.
  TimePoint nextWake() const;

  struct Counters : LedgerShard::Counters {
    std::uint64_t forwarded = 0;
    std::uint64_t forwardTimeouts = 0;
    std::size_t pending = 0;
  };
  Counters counters() const;

  nlohmann::json dump() const;

private:
  struct Forwarded {
    LedgerOperation operation;
    std::string host;
    /// The host is taken as silent at this time unless it has said that it has
    /// the operation.
    TimePoint fallbackAt;
    bool refresh = false;
  };

  std::string newNonce();
  const Host *preferred(std::size_t shard, TimePoint now) const;
  void route(LedgerOperation operation, bool refresh, Step *step);
  void addHere(LedgerOperation operation, bool refresh, Step *step);
  void giveUpWaiting(const Forwarded &forwarded, Step *step);
  void fallBack(Forwarded forwarded, Step *step);
  void pump(std::size_t index, Step *step);
  void settle(std::size_t index, Step *step);
  void report(const LedgerVerdict &verdict, Step *step);
  void decide(const LedgerOperation &operation, ClaimVerdict verdict,
              const LedgerRecord *present, Step *step);
  void noteService(bool answered, TimePoint now);

  Options options_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  LedgerShard::Shared shared_;
  std::vector<LedgerShard> shards_;
  std::set<std::size_t> active_;
  absl::flat_hash_map<std::uint64_t, std::size_t> calls_;
  std::vector<Host> hosts_;
  std::vector<std::size_t> preferredHost_;
  std::map<std::string, TimePoint> silentUntil_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::uint64_t, Forwarded> forwarded_;
  std::size_t pending_ = 0;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextForward_ = 1;
  std::uint64_t nonces_ = 0;
  int failuresInARow_ = 0;
  TimePoint downUntil_{};
  std::uint64_t forwardCount_ = 0;
  std::uint64_t forwardTimeouts_ = 0;
};

} // namespace auburnspring

#endif
