#ifndef AUBURNSPRING_DECISION_LEDGER_H
#define AUBURNSPRING_DECISION_LEDGER_H

#include "auburnspring/decision/ledger_page.h"
#include "auburnspring/decision/step.h"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// A request's wish to be the only one that runs its key.
struct Claim {
  RequestId request = 0;
  /// From scopedKey().
  std::string key;
  std::string nonce;
  std::string bodyDigest;
  /// The verdict is Unavailable if none is known by then.
  TimePoint answerBy;
  /// Read the shard anew first, since a record in it may have changed.
  bool refresh = false;
};

/// Claims keys in the key-value service for requests that may not be repeated.
/// Keys hash to shards; each shard is one value, changed by compare-and-swap
/// with all claims, outcomes and releases that gathered while the call before
/// was under way. Safety rests on the compare-and-swap alone. Any thread may
/// call it.
class Ledger {
public:
  struct Options {
    std::string host;
    std::string keyPrefix = "auburnspring/";
    std::size_t shards = 64;
    WallTime retention{3600};
    std::size_t maxPageBytes = 900000;
    std::size_t maxPending = 10000;
    std::size_t maxKeptAnswerBytes = 8192;
    /// Least time between two writes of a shard; lets a batch gather.
    Duration writeSpacing = std::chrono::milliseconds(4);
    Duration firstBackoff = std::chrono::milliseconds(20);
    Duration maxBackoff = std::chrono::milliseconds(500);
    /// After this many failed calls in a row the service is taken as down.
    int failuresUntilDown = 3;
    /// While it is down, claims are refused at once but for one in this time.
    Duration downInterval = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
  };

  explicit Ledger(Options options);

  /// Asks for a claim; a ClaimDecided follows.
  void claim(Claim claim, Step *step);

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
  void onTick(Step *step);

  /// When onTick has something to do next; TimePoint::max() if never.
  TimePoint nextWake() const;

  struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknownWrites = 0;
    std::uint64_t operationsWritten = 0;
    std::size_t pending = 0;
  };
  Counters counters() const;

  nlohmann::json dump() const;

private:
  enum class OperationKind { Claim, Record, Release };

  struct Operation {
    OperationKind kind = OperationKind::Claim;
    std::string key;
    LedgerRecord record;
    RequestId request = 0;
    TimePoint answerBy;
    /// Part of the write that is under way.
    bool inWrite = false;
    /// Revision that a lost write of this operation expected; such a write can
    /// still land while the shard is at that revision.
    std::optional<std::int64_t> lostAt;
    bool done = false;
  };

  struct Shard {
    bool known = false;
    LedgerPage page;
    std::int64_t revision = 0;
    std::vector<Operation> operations;
    std::optional<std::uint64_t> call;
    bool callIsWrite = false;
    LedgerPage writing;
    std::size_t writingBytes = 0;
    /// Encoded size of `page`.
    std::size_t pageBytes = 0;
    TimePoint notBefore{};
    Duration backoff{0};
  };

  std::size_t shardOf(const std::string &key) const;
  std::string shardKey(std::size_t index) const;
  void pump(std::size_t index, Step *step);
  void startRead(std::size_t index, Step *step);
  bool applyAll(Shard *shard, LedgerPage *page, Step *step);
  bool apply(Shard *shard, LedgerPage *page, Operation *operation, Step *step);
  bool applyClaim(Shard *shard, LedgerPage *page, Operation *operation,
                  Step *step);
  bool applyRecord(LedgerPage *page, Operation *operation, Step *step);
  bool applyRelease(Shard *shard, LedgerPage *page, Operation *operation);
  void finishWrite(Shard *shard, std::int64_t revision, Step *step);
  void loseWrite(Shard *shard);
  void adopt(Shard *shard, const KvReply &reply, Step *step);
  void backOff(Shard *shard, TimePoint now);
  void expireClaims(Shard *shard, Step *step);
  void decide(const Operation &operation, ClaimVerdict verdict,
              const LedgerRecord *record, Step *step);
  void add(Operation operation, bool refresh, Step *step);
  static void withdraw(Operation *operation);
  void sweep(std::size_t index);
  void settleReply(std::size_t index, const KvReply &reply, Step *step);
  void noteService(bool answered, TimePoint now);

  Options options_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  std::vector<Shard> shards_;
  /// Shards that have operations.
  std::set<std::size_t> active_;
  /// Shard of each call that is under way.
  absl::flat_hash_map<std::uint64_t, std::size_t> calls_;
  std::size_t pending_ = 0;
  std::uint64_t nextCall_ = 1;
  std::mt19937_64 random_;
  int failuresInARow_ = 0;
  TimePoint downUntil_{};
  Counters counters_;
};

} // namespace auburnspring

#endif
