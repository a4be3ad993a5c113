#ifndef AUBURNSPRING_SERVING_PIECE_DESK_H
#define AUBURNSPRING_SERVING_PIECE_DESK_H

#include "auburnspring/decision/piece_gatherer.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/serving/dialect.h"
#include "auburnspring/serving/peer_network.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnspring {

/// Both ends of the pieces' way: hands this host's jobs to whichever host
/// gathers for their pool, and gathers for the pools that fall to this host.
class PieceDesk {
public:
  using Done = std::function<void(PieceOutcome)>;
  using PoolLimits = std::function<const BatchLimits *(const std::string &)>;

  struct Counters {
    std::uint64_t batches = 0;
    std::uint64_t pieces = 0;
    std::uint64_t brokenBatches = 0;
    std::uint64_t resubmitted = 0;
  };

  PieceDesk(asio::io_context &io, const Dialect *dialect, PeerNetwork *peers,
            const UpstreamRegistry *registry, PoolLimits limits);

  /// Starts a job of a request of this host. `done` is called once, unless the
  /// request is withdrawn before.
  void submit(PieceJob job, Done done);
  /// The request is over.
  void withdraw(const std::string &requestId);
  /// Results that this host's request does not need any more.
  void release(const std::string &pool, std::vector<std::string> results);
  /// The same for results of any pools. The host that gathers for a pool is the
  /// one that frees its results, since it counts their room.
  void releaseWhereMade(const std::vector<std::string> &results);

  void onSubmit(const std::string &from, const PieceSubmit &message);
  void onWithdraw(const std::string &from, const PieceWithdraw &message);
  void onRelease(const PieceRelease &message);
  void onOutcomes(PieceOutcomes message);

  /// The connection to a host has ended. If it gathers for jobs of this host it
  /// is asked at once whether it is alive.
  void onPeerLost(const std::string &host);

  /// This host leaves: what no call works on goes to the next host.
  void handOver();

  /// The store's list of upstreams has changed.
  void onUpstreamsChanged();
  /// Looks after jobs whose gathering host is silent.
  void tick(TimePoint now);

  Counters counters() const { return counters_; }
  std::size_t outstandingCount() const { return outstanding_.size(); }

private:
  using JobKey = std::pair<std::string, std::uint32_t>;

  /// The last question to a gathering host whether it is alive.
  struct Question {
    TimePoint askedAt;
    Duration answerWithin{0};
  };

  struct Outstanding {
    PieceJob job;
    std::string gatherer;
    TimePoint sentAt;
    Done done;
  };

  struct Gathering {
    explicit Gathering(asio::io_context &io, const std::string &pool)
        : gatherer(pool), timer(io) {}
    PieceGatherer gatherer;
    asio::steady_timer timer;
    std::uint64_t upstreamsAt = 0;
    /// Since when the pool falls to another host.
    std::optional<TimePoint> takenSince;
  };

  struct BatchCall {
    std::string pool;
    /// The gatherer's own number of the batch.
    std::uint64_t gathererNumber = 0;
    std::size_t items = 0;
    int status = 0;
    std::string body;
    bool notRun = false;
    TimePoint startedAt;
    std::string upstream;
    std::unique_ptr<http::ClientCall> call;
    std::unique_ptr<asio::steady_timer> timer;
  };

  struct ReleaseCall {
    std::unique_ptr<http::ClientCall> call;
    std::unique_ptr<asio::steady_timer> timer;
  };

  void handOver(Gathering *gathering, const std::string &next, TimePoint now);
  /// Hands over the pools that have come to fall to another host. Two that
  /// gather at once fill the upstreams' own queues.
  void handOverTaken(TimePoint now);
  void hand(Outstanding *entry, const std::string &gatherer, TimePoint now);
  void deliver(PieceOutcome outcome);
  Gathering &gathering(const std::string &pool);
  void pump(const std::string &pool);
  void startBatch(const std::string &pool, const PieceBatch &batch);
  void endBatch(std::uint64_t number, http::CallEnd end, std::string_view why);
  void schedulePump(Gathering *gathering, TimePoint now);
  void freeResults(const std::vector<std::string> &results);
  void flushReleases();
  void pingSilentGatherers(TimePoint now);

  asio::io_context &io_;
  const Dialect *dialect_;
  PeerNetwork *peers_;
  const UpstreamRegistry *registry_;
  PoolLimits limits_;
  std::map<JobKey, Outstanding> outstanding_;
  std::map<std::string, std::unique_ptr<Gathering>> gatherings_;
  std::unordered_map<std::uint64_t, BatchCall> batches_;
  std::uint64_t nextBatch_ = 1;
  std::map<std::string, Question> questions_;
  /// Results to free by where they lie.
  std::map<std::string, std::vector<std::string>> toFree_;
  asio::steady_timer freeTimer_;
  bool freeScheduled_ = false;
  std::unordered_map<std::uint64_t, ReleaseCall> releases_;
  std::uint64_t nextRelease_ = 1;
  Counters counters_;
};

} // namespace auburnspring

#endif
