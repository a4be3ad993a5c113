#ifndef AUBURNSPRING_DECISION_PIECE_BATCHER_H
#define AUBURNSPRING_DECISION_PIECE_BATCHER_H

#include "auburnspring/decision/batch_upstream_state.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/stage_job.h"
#include "auburnspring/decision/upstream_state.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspring {

/// One piece in a batch that goes to an upstream.
struct BatchItem {
  std::string requestId;
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  Duration timeLeft{0};
  std::string key;
  std::vector<std::string> inputs;
};

struct PieceBatch {
  std::uint64_t number = 0;
  UpstreamStatePtr upstream;
  std::vector<BatchItem> items;
  /// Pieces whose large inputs or results cross data centres.
  std::size_t remotePieces = 0;
};

/// Outcome of one piece as the upstream reported it.
struct PieceResult {
  enum class Kind {
    Result,
    DeadlineExceeded,
    InputsGone,
    ResultMemoryFull,
    Error
  };
  Kind kind = Kind::Error;
  std::string handle;
};

/// Outcome of a batch call as a whole.
enum class BatchStatus {
  Responded,
  NotRun,
  Failed,
  /// The upstream broke off: it may have crashed because of one of the pieces.
  Broken
};

/// Forms batches for the upstreams of one pool out of the jobs of all hosts.
///
/// Jobs queue here and not at the upstreams, so that a batch can grow until an
/// upstream has a free slot. Calls are spread evenly over the time that a call
/// takes. Jobs that can still meet their target time go first, ordered by value
/// per second of upstream time; a share of each batch is reserved for those
/// with the earliest target time, so that no job starves.
class PieceBatcher {
public:
  explicit PieceBatcher(std::string pool) : pool_(std::move(pool)) {}

  void setLimits(const BatchLimits &limits) { limits_ = limits; }
  void setUpstreams(std::vector<UpstreamStatePtr> upstreams);

  /// Queues a job. Duplicates and earlier attempts of its stage are ignored.
  void submit(StageJob job, TimePoint now);
  /// Drops all jobs of a request that has ended.
  void cancelJobs(const std::string &host, const std::string &requestId);

  /// Batches that should be sent now.
  std::vector<PieceBatch> dispatch(TimePoint now);

  /// `results` has one entry per item if the call succeeded.
  void onBatchEnd(std::uint64_t number, BatchStatus status,
                  const std::vector<PieceResult> &results, TimePoint now);

  /// Names of the jobs with pieces in the batch, while it is in progress.
  std::vector<std::string> jobNames(std::uint64_t number) const;

  /// Results that are freed at their upstream; they no longer count as result
  /// memory.
  void release(const std::vector<std::string> &handles);

  /// Takes the jobs of which all pieces are queued, to hand them to another
  /// host.
  std::vector<StageJob> takeQueuedJobs();
  bool hasQueuedJobs() const;
  /// State of the pool's upstreams, to hand over to the next batching host.
  std::vector<BatchUpstreamState> upstreamStates(TimePoint now) const;
  /// Applies the state that the previous batching host has handed over.
  void applyUpstreamStates(const std::vector<BatchUpstreamState> &states,
                           TimePoint now);

  /// Jobs that have ended since the last call.
  std::vector<JobOutcome> takeOutcomes();
  /// Inputs that every piece of their job has fetched. They are freed early
  /// because result memory limits the throughput of the preceding pool.
  std::vector<std::string> takeFetchedInputs(TimePoint now);
  /// Results that belong to no job, to be freed at their upstream.
  std::vector<std::string> takeUnclaimedResults();

  /// When dispatch() should be called again at the latest.
  std::optional<TimePoint> nextWake(TimePoint now) const;

  /// Expected time that a new job is queued until its call starts.
  Duration backlog(TimePoint now) const;

  std::size_t queuedPieces() const { return queuedPieces_; }
  const std::string &pool() const { return pool_; }

private:
  using JobKey = std::pair<std::string, std::pair<std::string, std::uint32_t>>;

  struct JobState {
    StageJob spec;
    TimePoint submittedAt;
    /// One per piece; empty until it has a result.
    std::vector<std::string> results;
    /// Pieces that wait for a batch.
    std::vector<std::uint32_t> queued;
    std::int64_t failures = 0;
    /// Batches with its pieces that an upstream broke off, and the pieces of
    /// other jobs that may be in the next one.
    std::int64_t breaks = 0;
    std::size_t maxCompany = std::numeric_limits<std::size_t>::max();
    /// When the last piece was sent.
    TimePoint lastSentAt;
    bool inputsFreed = false;
    /// A call may have to queue at its upstream before it fetches the inputs.
    bool mayFetchLate = false;
  };

  struct CallItem {
    JobKey jobKey;
    std::uint32_t attempt;
    std::uint32_t piece;
    /// Reserved result memory at the upstream.
    std::int64_t resultBytes;
  };

  struct Call {
    std::string upstreamKey;
    TimePoint startedAt;
    Duration expected{0};
    bool overdue = false;
    std::vector<CallItem> items;
    /// Pieces that it may hold, for the sake of jobs that have been broken off.
    std::size_t maxItems = std::numeric_limits<std::size_t>::max();
  };

  struct HeldResult {
    std::string upstreamKey;
    std::int64_t bytes = 0;
    TimePoint receivedAt;
  };

  /// Queued pieces by where they may run now.
  struct QueuedPieces {
    std::size_t anywhere = 0;
    std::map<std::string, std::size_t> byDataCentre;
  };

  /// A job all of whose pieces will have fetched their inputs at `dueAt`,
  /// unless pieces are sent again.
  struct PendingFetch {
    TimePoint dueAt;
    JobKey jobKey;
  };

  struct Upstream {
    UpstreamStatePtr state;
    std::int64_t calls = 0;
    /// Moving average of actual over expected call duration.
    double slowdownRatio = 1;
    TimePoint lastCallAt;
    std::optional<TimePoint> lastResponseAt;
    /// When a call last had to queue there, inferred from its duration or from
    /// inputs that were gone.
    std::optional<TimePoint> lastDelayAt;
    TimePoint pausedUntil;
    std::int64_t heldBytes = 0;
    std::int64_t reservedBytes = 0;
    /// Bytes held on behalf of the previous batching host, and when they were
    /// reported.
    std::int64_t inheritedBytes = 0;
    TimePoint inheritedAt;
  };

  static JobKey keyOf(const StageJob &job);
  Duration expectedCallTime(std::size_t pieces) const;
  Duration dispatchInterval(TimePoint now) const;
  std::size_t usableUpstreams(TimePoint now) const;
  Upstream *pickUpstream(TimePoint now);
  static bool isFullyQueued(const JobState &job);
  static bool mayQueueCalls(const Upstream &upstream, TimePoint now);
  static bool isLocal(const JobState &job, const Upstream &upstream);
  bool mayRunAt(const JobState &job, const Upstream &upstream,
                TimePoint now) const;
  bool mayRunRemotely(const JobState &job, TimePoint now) const;
  void findUsableDataCentres(TimePoint now);
  QueuedPieces countQueuedPieces(TimePoint now) const;
  bool canTakeCall(const Upstream &upstream, TimePoint now) const;
  std::int64_t freeResultBytes(const Upstream &upstream, TimePoint now) const;
  bool canMeetTarget(const JobState &job, TimePoint now) const;
  std::vector<JobState *> rankedJobs(const Upstream &upstream, TimePoint now);
  PieceBatch fillBatch(Upstream *upstream, const std::vector<JobState *> &order,
                       TimePoint now);
  static std::string incarnationKey(const UpstreamState &upstream);
  void addPieces(JobState *job, std::size_t maxItems, Upstream *upstream,
                 PieceBatch *batch, Call *call, TimePoint now);
  /// When an upstream takes a call again, if all refuse them; else `now`.
  TimePoint earliestStart(TimePoint now) const;
  /// True if there are upstreams, but evacuations leave none open.
  bool isEvacuated(TimePoint now) const;
  void dropUnattainable(TimePoint now);
  void requeueOverdue(TimePoint now);
  void requeue(const CallItem &item, bool countsAsFailure);
  /// Notes that an upstream broke off a batch of these pieces.
  void recordBreak(const std::vector<CallItem> &items);
  /// Pieces that a batch with this job may hold; 0 if it may be in none now.
  std::size_t maxItemsWith(const JobState &job) const;
  void onPieceResult(const CallItem &item, const PieceResult &result,
                     Upstream *upstream, TimePoint now);
  void storeResult(const CallItem &item, const std::string &handle,
                   Upstream *upstream, TimePoint now);
  void expireResults(TimePoint now);
  void dropHeldResult(const HeldResult &result);
  void runMaintenance(TimePoint now);
  void eraseJob(std::map<JobKey, JobState>::iterator job);
  void finishJob(const JobKey &key, JobStatus status);

  std::string pool_;
  BatchLimits limits_;
  std::map<std::string, Upstream> upstreams_;
  std::map<JobKey, JobState> jobs_;
  std::map<std::uint64_t, Call> calls_;
  /// Results that occupy memory at their upstream, by handle.
  std::unordered_map<std::string, HeldResult> heldResults_;
  /// Ordered by time.
  std::deque<PendingFetch> pendingFetches_;
  /// Data centres with an upstream that takes new calls at full speed, as of
  /// the last dispatch.
  std::set<std::string> usableDataCentres_;
  std::vector<JobOutcome> outcomes_;
  std::vector<std::string> unclaimedResults_;
  std::uint64_t nextBatch_ = 1;
  double averageBatchSize_ = 1;
  std::size_t queuedPieces_ = 0;
  TimePoint lastMaintenanceAt_;
  TimePoint lastExpiryAt_;
  Duration lastBacklog_{0};
  TimePoint lastDispatchAt_;
};

} // namespace auburnspring

#endif
