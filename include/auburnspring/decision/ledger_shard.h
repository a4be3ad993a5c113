#ifndef AUBURNSPRING_DECISION_LEDGER_SHARD_H
#define AUBURNSPRING_DECISION_LEDGER_SHARD_H

#include "auburnspring/decision/key_value.h"
#include "auburnspring/decision/ledger_operation.h"
#include "auburnspring/decision/write_budget.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// One shard of the ledger as one host sees it. Gathers operations and turns
/// them into one compare-and-swap after another, with one call under way at a
/// time. Its owner holds a lock around every call.
class LedgerShard {
public:
  struct Options {
    std::string keyPrefix = "auburnspring/";
    WallTime retention{3600};
    /// Claims are refused while a head is larger.
    std::size_t maxPageBytes = 900000;
    /// Ended records of a head larger than this are sealed.
    std::size_t sealBytes = 65536;
    /// An outcome waits this long for a claim to share its write with.
    Duration recordDelay = std::chrono::milliseconds(40);
    Duration firstBackoff = std::chrono::milliseconds(20);
    Duration maxBackoff = std::chrono::milliseconds(500);
  };

  /// What one host's shards have in common.
  struct Shared {
    Options options;
    WriteBudget budget{150, 8};
    /// Shards that wait for a write, in the order in which they asked.
    std::deque<std::size_t> writeQueue;
    std::mt19937_64 random;
  };

  struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknownWrites = 0;
    std::uint64_t operationsWritten = 0;
    std::uint64_t sealedPages = 0;
  };

  LedgerShard(std::size_t index, Shared *shared)
      : index_(index), shared_(shared) {}

  /// Adds an operation; `refresh` reads the shard anew first, since a record
  /// in it may have changed.
  void add(LedgerOperation operation, bool refresh);

  /// The claim of a request is no longer wanted. One that no write has carried
  /// is forgotten, any other turns into its own release. False if there is no
  /// such claim.
  bool withdraw(RequestId request);

  /// The call to make now, if there is one and none is under way.
  std::optional<KvOperation> next(Instant now);

  void onReply(const KvReply &reply, Instant now);

  /// Ends claims whose time is up.
  void expire(TimePoint now);

  /// Gives up its place among the shards that wait for a write.
  void leaveQueue();

  /// Operations that have ended since the last call.
  std::vector<LedgerVerdict> takeVerdicts();

  bool isIdle() const { return operations_.empty() && garbage_.empty(); }
  std::size_t pending() const { return operations_.size(); }
  TimePoint nextWake() const;
  const Counters &counters() const { return counters_; }

private:
  enum class Call {
    None,
    ReadHead,
    ReadSealed,
    WriteSealed,
    WriteHead,
    Delete
  };

  KvOperation readHead();
  std::optional<KvOperation> readSealed();
  std::optional<KvOperation> writeSealed(TimePoint now);
  std::optional<KvOperation> writeHead(Instant now);
  bool isUrgent(TimePoint now) const;
  TimePoint urgentAt() const;
  bool mayWrite(TimePoint now);
  std::optional<KvOperation> nextUrgent(Instant now);
  void moveToSealed(LedgerPage *page) const;

  bool apply(LedgerPage *page, LedgerOperation *operation);
  bool applyClaim(LedgerPage *page, LedgerOperation *operation);
  bool applyRecord(LedgerPage *page, LedgerOperation *operation);
  bool applyRelease(LedgerPage *page, LedgerOperation *operation);
  bool isConfirmedFor(const LedgerOperation &operation);
  const LedgerRecord *findSealed(const std::string &key) const;

  void finishWrite(std::int64_t revision, TimePoint now);
  void loseWrite();
  void onSealedRead(const KvReply &reply, TimePoint now);
  void onSealedWritten(const KvReply &reply, TimePoint now);
  void adopt(const KvReply &reply, TimePoint now);
  void forget();
  void backOff(TimePoint now);
  void end(LedgerOperation *operation, ClaimVerdict verdict,
           const LedgerRecord *present);
  void sweep();

  std::size_t index_;
  Shared *shared_;
  Counters counters_;

  bool known_ = false;
  LedgerPage page_;
  std::size_t pageBytes_ = 0;
  std::int64_t revision_ = 0;
  std::map<std::string, LedgerPage> sealed_;

  Call call_ = Call::None;
  TimePoint callAt_{};
  /// The page was the service's own at this time or later.
  TimePoint confirmedAt_{};
  /// An operation can't be judged before the head is read anew.
  bool needsRead_ = false;
  LedgerPage writing_;
  std::size_t writingBytes_ = 0;
  std::vector<SealedPage> dropping_;
  std::string readingDigest_;

  /// A sealed page that is written but not yet part of the head.
  LedgerPage draft_;
  SealedPage draftName_;
  bool draftWritten_ = false;
  bool draftInWrite_ = false;

  std::vector<LedgerOperation> operations_;
  std::vector<LedgerVerdict> verdicts_;
  std::vector<SealedPage> garbage_;
  TimePoint notBefore_{};
  Duration backoff_{0};
};

} // namespace auburnspring

#endif
