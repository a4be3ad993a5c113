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

/// One host's client of one ledger shard. Batches operations into successive
/// compare-and-swap writes, with at most one call in flight. Not thread-safe:
/// the owner holds a lock around every call.
class LedgerShard {
public:
  struct Options {
    std::string keyPrefix = "auburnspring/";
    WallTime retention{3600};
    /// Claims are rejected while the head page is at least this large.
    std::size_t maxPageBytes = 900000;
    /// Ended records are sealed once the head page is at least this large.
    std::size_t sealBytes = 65536;
    /// An outcome is delayed by up to this, to share a write with a claim.
    Duration recordDelay = std::chrono::milliseconds(40);
    Duration firstBackoff = std::chrono::milliseconds(20);
    Duration maxBackoff = std::chrono::milliseconds(500);
  };

  /// State shared by all shards of one host.
  struct Shared {
    Options options;
    WriteBudget budget{150, 8};
    /// Shards that wait for write budget, in first-come order.
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

  /// Adds an operation; `refresh` re-reads the shard first, since a record in
  /// it may have changed.
  void add(LedgerOperation operation, bool refresh);

  /// Cancels the claim of a request. A claim that was in no write is dropped;
  /// any other is turned into a release. Returns false if there is no such
  /// claim.
  bool cancel(RequestId request);

  /// The call to make now; none if another is in flight or nothing is due.
  std::optional<KvOperation> nextCall(Instant now);

  void onReply(const KvReply &reply, Instant now);

  /// Ends claims whose verdictDeadline has passed.
  void expire(TimePoint now);

  /// Removes this shard from the write queue.
  void leaveQueue();

  /// Results of the operations that ended since the last call.
  std::vector<LedgerOperationResult> takeResults();

  bool isIdle() const { return operations_.empty() && pagesToDelete_.empty(); }
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
  bool isDue(TimePoint now) const;
  TimePoint dueAt() const;
  bool acquireWrite(TimePoint now);
  std::optional<KvOperation> nextOperationCall(Instant now);
  void moveToSealed(LedgerPage *page) const;

  bool apply(LedgerPage *page, LedgerOperation *operation);
  bool applyClaim(LedgerPage *page, LedgerOperation *operation);
  bool applyRecord(LedgerPage *page, LedgerOperation *operation);
  bool applyRelease(LedgerPage *page, LedgerOperation *operation);
  bool isHeadFreshFor(const LedgerOperation &operation);
  const LedgerRecord *findSealed(const std::string &key) const;

  void finishWrite(std::int64_t revision, TimePoint now);
  void onUnknownWrite();
  void onSealedRead(const KvReply &reply, TimePoint now);
  void onSealedWritten(const KvReply &reply, TimePoint now);
  void loadHead(const KvReply &reply, TimePoint now);
  void invalidateHead();
  void backOff(TimePoint now);
  void finish(LedgerOperation *operation, ClaimVerdict verdict,
              const LedgerRecord *existing);
  void removeDone();

  std::size_t index_;
  Shared *shared_;
  Counters counters_;

  bool headLoaded_ = false;
  LedgerPage head_;
  std::size_t headBytes_ = 0;
  std::int64_t revision_ = 0;
  std::map<std::string, LedgerPage> sealed_;

  Call call_ = Call::None;
  TimePoint callAt_{};
  /// The head matched the stored one at this time or later.
  TimePoint confirmedAt_{};
  /// An operation can't be decided until the head is re-read.
  bool needsRead_ = false;
  LedgerPage pendingHead_;
  std::size_t pendingHeadBytes_ = 0;
  std::vector<SealedPageRef> droppedPages_;
  std::string readingDigest_;

  /// A sealed page that the head does not reference yet.
  LedgerPage newSealed_;
  SealedPageRef newSealedRef_;
  bool newSealedWritten_ = false;
  bool newSealedInWrite_ = false;

  std::vector<LedgerOperation> operations_;
  std::vector<LedgerOperationResult> results_;
  std::vector<SealedPageRef> pagesToDelete_;
  TimePoint notBefore_{};
  Duration backoff_{0};
};

} // namespace auburnspring

#endif
