#ifndef AUBURNSPRING_DECISION_PIECE_GATHERER_H
#define AUBURNSPRING_DECISION_PIECE_GATHERER_H

#include "auburnspring/decision/gathered_upstream.h"
#include "auburnspring/decision/piece_job.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/served_upstream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
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
  ServedUpstreamPtr upstream;
  std::vector<BatchItem> items;
  /// Pieces with large inputs or results elsewhere.
  std::size_t farPieces = 0;
};

/// What an upstream says of one piece.
struct PieceResult {
  enum class Kind { Result, Late, InputsGone, NoRoom, Error };
  Kind kind = Kind::Error;
  std::string handle;
};

/// How a batch call ended as a whole.
enum class BatchEnd { Answered, NotRun, Broken };

/// Forms batches for the upstreams of one pool out of the jobs of all hosts.
///
/// Jobs wait here and not at the upstreams, so that a batch can grow up to the
/// moment at which an upstream comes free. Calls are spread evenly over the
/// upstreams' cycle, jobs that can still meet their goal go first, by worth for
/// upstream time, and a share of each batch goes to the oldest, so that nothing
/// starves.
class PieceGatherer {
public:
  explicit PieceGatherer(std::string pool) : pool_(std::move(pool)) {}

  void setLimits(const BatchLimits &limits) { limits_ = limits; }
  void setUpstreams(std::vector<ServedUpstreamPtr> upstreams);

  /// A job that is known already is taken once.
  void submit(PieceJob job, TimePoint now);
  /// The request is over; what it still has here is dropped.
  void withdraw(const std::string &host, const std::string &requestId);

  /// Batches that should be sent now.
  std::vector<PieceBatch> dispatch(TimePoint now);

  /// `results` has one entry an item if the call was answered.
  void onBatchEnd(std::uint64_t number, BatchEnd end,
                  const std::vector<PieceResult> &results, TimePoint now);

  /// Results that nobody needs any more; they no longer count as room.
  void release(const std::vector<std::string> &handles);

  /// Takes the jobs that no call works on, to be handed to another host.
  std::vector<PieceJob> takeIdleJobs();
  bool hasIdleJobs() const;
  /// What this host knows of the pool's upstreams, and the way to learn it from
  /// the host that gathered before.
  std::vector<GatheredUpstream> upstreamStates(TimePoint now) const;
  void adopt(const std::vector<GatheredUpstream> &states, TimePoint now);

  /// Jobs that have ended since the last call.
  std::vector<PieceOutcome> takeOutcomes();
  /// Inputs that every piece of their job has fetched; to be freed early, since
  /// room for results is what limits the pool before this one.
  std::vector<std::string> takeFetchedInputs(TimePoint now);
  /// Results that came for nobody, to be freed at their upstream.
  std::vector<std::string> takeOrphans();

  /// When dispatch() should be called again at the latest.
  std::optional<TimePoint> nextWake(TimePoint now) const;

  /// Expected wait of a new job until its call begins.
  Duration backlog(TimePoint now) const;

  std::size_t waitingPieces() const { return waitingPieces_; }
  const std::string &pool() const { return pool_; }

private:
  using JobKey = std::pair<std::string, std::pair<std::string, std::uint32_t>>;

  struct Job {
    PieceJob job;
    TimePoint since;
    /// One per piece; empty until it has a result.
    std::vector<std::string> results;
    /// Pieces that wait for a batch.
    std::vector<std::uint32_t> waiting;
    std::int64_t failures = 0;
    /// When its last piece was sent, and whether its inputs are freed.
    TimePoint sentAt;
    bool inputsFreed = false;
    /// A call of it may have to wait at its upstream before it fetches them.
    bool fetchesLate = false;
  };

  struct InCall {
    JobKey job;
    std::uint32_t round;
    std::uint32_t piece;
  };

  struct Call {
    std::string upstream;
    TimePoint since;
    Duration expected{0};
    bool overdue = false;
    std::vector<InCall> items;
  };

  struct HeldResult {
    std::int64_t bytes = 0;
    TimePoint since;
  };

  struct Worker {
    ServedUpstreamPtr upstream;
    std::int64_t calls = 0;
    /// How many times longer than expected its calls take.
    double slowness = 1;
    TimePoint lastCallAt;
    /// When a call last ended, and when one last had to wait there, as far as
    /// its duration or inputs that were gone tell.
    std::optional<TimePoint> answeredAt;
    std::optional<TimePoint> delayedAt;
    TimePoint pausedUntil;
    std::map<std::string, HeldResult> held;
    std::int64_t heldBytes = 0;
    std::int64_t promisedBytes = 0;
    /// Bytes that others hold there, as far as it has shown, and since when.
    std::int64_t foreignBytes = 0;
    TimePoint foreignSince;
  };

  static JobKey keyOf(const PieceJob &job);
  Duration expectedCall(std::size_t pieces) const;
  Duration spacing(TimePoint now) const;
  std::size_t usableWorkers(TimePoint now) const;
  Worker *pickWorker(TimePoint now);
  static bool isIdle(const Job &job);
  static bool mayQueue(const Worker &worker, TimePoint now);
  static bool isNear(const Job &job, const Worker &worker);
  bool mayRunAt(const Job &job, const Worker &worker, TimePoint now) const;
  bool hasUsableNear(const std::string &dataCentre, TimePoint now) const;
  bool canServe(const Worker &worker, TimePoint now) const;
  std::int64_t freeBytes(const Worker &worker, TimePoint now) const;
  bool isInTime(const Job &job, TimePoint now) const;
  std::vector<Job *> ranked(const Worker &worker, TimePoint now);
  PieceBatch fill(Worker *worker, const std::vector<Job *> &order,
                  TimePoint now);
  static std::string lifeOf(const ServedUpstream &upstream);
  void takePieces(Job *job, std::size_t room, Worker *worker, PieceBatch *batch,
                  Call *call, TimePoint now);
  void dropHopeless(TimePoint now);
  void requeueOverdue(TimePoint now);
  void requeue(const InCall &item, bool counts);
  void onPiece(const InCall &item, const PieceResult &result, Worker *worker,
               TimePoint now);
  void keepResult(const InCall &item, const std::string &handle, Worker *worker,
                  TimePoint now);
  void forgetExpired(TimePoint now);
  void keepHouse(TimePoint now);
  void eraseJob(std::map<JobKey, Job>::iterator job);
  void finish(const JobKey &key, PieceVerdict verdict);

  std::string pool_;
  BatchLimits limits_;
  std::map<std::string, Worker> workers_;
  std::map<JobKey, Job> jobs_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<PieceOutcome> outcomes_;
  std::vector<std::string> orphans_;
  std::uint64_t nextBatch_ = 1;
  double typicalBatch_ = 1;
  std::size_t waitingPieces_ = 0;
  TimePoint housekeptAt_;
  Duration lastBacklog_{0};
  TimePoint lastDispatch_;
};

} // namespace auburnspring

#endif
