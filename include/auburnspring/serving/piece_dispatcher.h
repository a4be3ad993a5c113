#ifndef AUBURNSPRING_SERVING_PIECE_DISPATCHER_H
#define AUBURNSPRING_SERVING_PIECE_DISPATCHER_H

#include "auburnspring/decision/attempt_verdict.h"
#include "auburnspring/decision/piece_batcher.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/dialect.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/request_limit_exchange.h"
#include "auburnspring/serving/response_share.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnspring {

class PartGuardExchange;
class ReachExchange;

/// Sends this host's stage jobs to the batching host of their pool, and runs
/// the batchers of the pools that are assigned to this host.
class PieceDispatcher {
public:
  using OutcomeHandler = std::function<void(JobOutcome)>;
  using BatchLimitsLookup =
      std::function<const BatchLimits *(const std::string &)>;

  struct Counters {
    std::uint64_t batches = 0;
    std::uint64_t pieces = 0;
    std::uint64_t failedBatches = 0;
    std::uint64_t resubmitted = 0;
  };

  PieceDispatcher(asio::io_context &io, const Dialect *dialect,
                  PeerNetwork *peers, UpstreamRegistry *registry,
                  RequestLimitExchange *requestLimits,
                  ResponseBudget *responseBudget, BatchLimitsLookup limits);

  /// Submits a job of a request of this host. `onOutcome` is called once,
  /// unless the request is cancelled first.
  void submit(StageJob job, OutcomeHandler onOutcome);
  /// Cancels all jobs of a request.
  void cancel(const std::string &requestId);
  /// Releases results of a pool that a request of this host no longer needs.
  void release(const std::string &pool, std::vector<std::string> results);
  /// Releases results of any pools. The batching host of a pool releases them,
  /// since it tracks the result memory of the pool's upstreams.
  void releaseByPool(const std::vector<std::string> &results);

  void onSubmit(const std::string &from, const JobSubmit &message);
  void onJobCancel(const std::string &from, const JobCancel &message);
  void onRelease(const ResultRelease &message);
  void onOutcomes(JobOutcomes message);

  /// The connection to a host was lost. A batching host of this host's jobs is
  /// probed at once.
  void onPeerDisconnected(const std::string &host);

  /// Transfers all jobs that have no call in progress to other hosts, since
  /// this one is leaving.
  void transferJobs();

  /// Applies a change of the list of upstreams.
  void onUpstreamsChanged();
  /// Probes unresponsive batching hosts, transfers the jobs of reassigned pools
  /// and resubmits lost jobs.
  void tick(TimePoint now);

  /// Sets what is told of jobs that crash upstreams.
  void setPartGuard(PartGuardExchange *guard) { partGuard_ = guard; }
  /// Sets what is told of upstreams that can't be reached.
  void setReach(ReachExchange *reach) { reach_ = reach; }

  Counters counters() const { return counters_; }
  std::size_t outstandingCount() const { return outstanding_.size(); }

private:
  using JobKey = std::pair<std::string, std::uint32_t>;

  /// Latest liveness probe of a batching host.
  struct LivenessProbe {
    TimePoint sentAt;
    Duration timeout{0};
  };

  struct OutstandingJob {
    StageJob job;
    std::string batchingHost;
    TimePoint sentAt;
    OutcomeHandler onOutcome;
  };

  struct PoolBatcher {
    explicit PoolBatcher(asio::io_context &io, const std::string &pool)
        : batcher(pool), timer(io) {}
    PieceBatcher batcher;
    http::Timer timer;
    std::uint64_t upstreamsVersion = 0;
    /// Since when the pool is assigned to another host.
    std::optional<TimePoint> reassignedSince;
  };

  /// Owns its call and its timer, and so ends the handlers of both, which refer
  /// to it.
  struct BatchCall {
    BatchCall(asio::io_context &io, std::uint64_t id, ResponseBudget *budget)
        : number(id), share(budget), timer(io) {}
    std::uint64_t number;
    std::string pool;
    /// Number that the batcher gave the batch.
    std::uint64_t batchNumber = 0;
    std::size_t items = 0;
    int status = 0;
    /// Counts what `body` holds.
    ResponseShare share;
    std::string body;
    bool notRun = false;
    /// The upstream turned the call away for want of room.
    bool isRejection = false;
    TimePoint startedAt;
    UpstreamStatePtr upstream;
    PermitLeasePtr lease;
    std::unique_ptr<http::ClientCall> call;
    http::Timer timer;
  };

  /// Owns its call and its timer likewise.
  struct ReleaseCall {
    explicit ReleaseCall(asio::io_context &io) : timer(io) {}
    std::vector<std::string> results;
    std::unique_ptr<http::ClientCall> call;
    http::Timer timer;
  };

  void transferJobs(PoolBatcher *poolBatcher, const std::string &next,
                    TimePoint now);
  /// Transfers the jobs of pools that are now assigned to another host. Two
  /// batching hosts of one pool would fill the upstreams' own queues.
  void transferReassigned(TimePoint now);
  void assign(OutstandingJob *entry, const std::string &batchingHost,
              TimePoint now);
  void submitToBatcher(StageJob job, TimePoint now);
  void deliver(JobOutcome outcome);
  PoolBatcher &batcherFor(const std::string &pool);
  void dispatchBatches(const std::string &pool);
  /// Notes when the pool's upstreams that name a limit can take a call.
  void updateLimits(const std::string &pool, TimePoint now);
  /// A permit may have come up since the last dispatch.
  void dispatchIfLimited(const std::string &pool);
  void startBatch(const std::string &pool, const PieceBatch &batch);
  void onBatchHead(BatchCall *call, const http::ResponseHead &head);
  /// `failure` is what the transport says; empty if the call completed.
  void endBatch(BatchCall *ended, ResponseEnd end, std::string_view failure);
  void scheduleDispatch(PoolBatcher *poolBatcher, TimePoint now);
  /// Tells the guard what a batch shows of the jobs in it.
  void reportJobs(const std::vector<std::string> &names, AttemptVerdict verdict,
                  const BatchCall &call);
  void queueRelease(const std::vector<std::string> &results);
  void flushReleases();
  void startRelease(const Endpoint &endpoint,
                    const std::vector<std::string> &results);
  void endRelease(std::uint64_t number);
  /// The memory that the results took at their upstream is free.
  void noteReleased(const std::vector<std::string> &results);
  void probeUnresponsiveHosts(TimePoint now);

  asio::io_context &io_;
  const Dialect *dialect_;
  PeerNetwork *peers_;
  UpstreamRegistry *registry_;
  RequestLimitExchange *requestLimits_;
  ResponseBudget *responseBudget_;
  PartGuardExchange *partGuard_ = nullptr;
  ReachExchange *reach_ = nullptr;
  BatchLimitsLookup batchLimits_;
  std::map<JobKey, OutstandingJob> outstanding_;
  std::map<std::string, std::unique_ptr<PoolBatcher>> poolBatchers_;
  std::unordered_map<std::uint64_t, BatchCall> batches_;
  std::uint64_t nextBatch_ = 1;
  std::map<std::string, LivenessProbe> probes_;
  /// Results to release, by the address of their upstream.
  std::map<std::string, std::vector<std::string>> queuedReleases_;
  http::Timer releaseTimer_;
  bool releaseScheduled_ = false;
  std::unordered_map<std::uint64_t, ReleaseCall> releases_;
  std::uint64_t nextRelease_ = 1;
  Counters counters_;
};

} // namespace auburnspring

#endif
