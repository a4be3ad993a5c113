#include "auburnspring/serving/piece_dispatcher.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/serving/part_guard_exchange.h"
#include "auburnspring/serving/reach_exchange.h"
#include "auburnspring/serving/response_end.h"
#include "auburnspring/serving/upstream_statements.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Results are released in batches to save calls.
constexpr Duration ReleaseInterval = std::chrono::milliseconds(15);
constexpr Duration ReleaseTimeout = std::chrono::milliseconds(1000);
/// Longest time for which a batch holds a permit.
constexpr Duration BatchHoldTime = std::chrono::seconds(10);
/// A batch call times out after this multiple of its expected duration. Its
/// pieces are requeued much earlier.
constexpr std::int64_t BatchTimeoutFactor = 8;
/// A batching host with jobs of this host is probed after this time without a
/// message, and suspected if it does not respond to the probe in time.
constexpr Duration ProbeAfter = std::chrono::milliseconds(250);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
/// Probe timeout after a lost connection: a running process responds on a new
/// one within a few round trips.
constexpr Duration DisconnectProbeTimeout = std::chrono::milliseconds(120);
/// A job without an outcome is submitted again, in case a message was lost.
constexpr Duration ResubmitAfter = std::chrono::milliseconds(1500);
constexpr std::size_t MaxResponseBytes = 4 << 20;
constexpr int Ok = 200;
/// Delay before the jobs of a reassigned pool are transferred, so that all
/// hosts agree on the new batching host.
constexpr Duration TransferDelay = std::chrono::milliseconds(300);

BatchStatus batchStatus(AttemptVerdict verdict) {
  switch (verdict) {
  case AttemptVerdict::NotSent:
  case AttemptVerdict::NotRun:
    return BatchStatus::NotRun;
  case AttemptVerdict::Broken:
    return BatchStatus::Broken;
  case AttemptVerdict::TimedOut:
  case AttemptVerdict::Unusable:
  case AttemptVerdict::ServerError:
    return BatchStatus::Failed;
  case AttemptVerdict::Answered:
    return BatchStatus::Responded;
  }
  return BatchStatus::Failed;
}

} // namespace

PieceDispatcher::PieceDispatcher(asio::io_context &io, const Dialect *dialect,
                                 PeerNetwork *peers, UpstreamRegistry *registry,
                                 RequestLimitExchange *requestLimits,
                                 ResponseBudget *responseBudget,
                                 BatchLimitsLookup limits)
    : io_(io), dialect_(dialect), peers_(peers), registry_(registry),
      requestLimits_(requestLimits), responseBudget_(responseBudget),
      batchLimits_(std::move(limits)), releaseTimer_(io) {}

void PieceDispatcher::submit(StageJob job, OutcomeHandler onOutcome) {
  job.host = peers_->self();
  const JobKey key{job.requestId, job.stage};
  OutstandingJob &entry = outstanding_[key];
  entry = {std::move(job), "", TimePoint(), std::move(onOutcome)};
  const TimePoint now = steadyNow();
  assign(&entry, peers_->batchingHost(entry.job.pool, now), now);
}

void PieceDispatcher::assign(OutstandingJob *entry,
                             const std::string &batchingHost, TimePoint now) {
  entry->batchingHost = batchingHost;
  entry->sentAt = now;
  if (entry->batchingHost == peers_->self()) {
    const std::string pool = entry->job.pool;
    submitToBatcher(entry->job, now);
    return dispatchBatches(pool);
  }
  JobSubmit message;
  message.jobs.push_back(
      {entry->job, entry->job.targetTime - now, entry->job.deadline - now});
  peers_->send(entry->batchingHost, std::move(message));
}

void PieceDispatcher::submitToBatcher(StageJob job, TimePoint now) {
  job.isSuspected = partGuard_ != nullptr && partGuard_->hasCrashed(job.name);
  PieceBatcher &batcher = batcherFor(job.pool).batcher;
  batcher.submit(std::move(job), now);
}

void PieceDispatcher::cancel(const std::string &requestId) {
  auto entry = outstanding_.lower_bound({requestId, 0});
  while (entry != outstanding_.end() && entry->first.first == requestId) {
    const OutstandingJob &outstanding = entry->second;
    if (outstanding.batchingHost != peers_->self()) {
      peers_->send(outstanding.batchingHost,
                   JobCancel{outstanding.job.pool, requestId});
    } else if (const auto found = poolBatchers_.find(outstanding.job.pool);
               found != poolBatchers_.end()) {
      found->second->batcher.cancelJobs(peers_->self(), requestId);
      queueRelease(found->second->batcher.takeUnclaimedResults());
    }
    entry = outstanding_.erase(entry);
  }
}

void PieceDispatcher::release(const std::string &pool,
                              std::vector<std::string> results) {
  if (results.empty())
    return;
  const std::string batchingHost = peers_->batchingHost(pool, steadyNow());
  ResultRelease message{pool, std::move(results)};
  if (batchingHost == peers_->self())
    return onRelease(message);
  peers_->send(batchingHost, std::move(message));
}

void PieceDispatcher::transferJobs() {
  const TimePoint now = steadyNow();
  for (auto &entry : poolBatchers_) {
    const std::string next = peers_->batchingHost(entry.first, now);
    if (next != peers_->self())
      transferJobs(entry.second.get(), next, now);
  }
}

void PieceDispatcher::transferJobs(PoolBatcher *poolBatcher,
                                   const std::string &next, TimePoint now) {
  PieceBatcher &batcher = poolBatcher->batcher;
  JobSubmit message;
  message.pool = batcher.pool();
  message.upstreams = batcher.upstreamStates(now);
  for (StageJob &job : batcher.takeQueuedJobs()) {
    const Duration targetIn = job.targetTime - now;
    const Duration deadlineIn = job.deadline - now;
    message.jobs.push_back({std::move(job), targetIn, deadlineIn});
  }
  logEvent(LogLevel::Info, "gathering_handed_over",
           {{"pool", batcher.pool()},
            {"to", next},
            {"jobs", static_cast<unsigned long>(message.jobs.size())}});
  peers_->send(next, std::move(message));
}

void PieceDispatcher::transferReassigned(TimePoint now) {
  for (auto &entry : poolBatchers_) {
    PoolBatcher *poolBatcher = entry.second.get();
    const std::string next = peers_->batchingHost(entry.first, now);
    if (next == peers_->self()) {
      poolBatcher->reassignedSince.reset();
    } else if (!poolBatcher->reassignedSince) {
      poolBatcher->reassignedSince = now;
    } else if (now >= *poolBatcher->reassignedSince + TransferDelay &&
               poolBatcher->batcher.hasQueuedJobs()) {
      poolBatcher->reassignedSince = now;
      transferJobs(poolBatcher, next, now);
    }
  }
}

void PieceDispatcher::releaseByPool(const std::vector<std::string> &results) {
  std::map<std::string, std::vector<std::string>> byPool;
  for (const std::string &result : results)
    if (const auto endpoint = dialect_->resultEndpoint(result))
      if (const UpstreamStatePtr producer = registry_->byEndpoint(*endpoint))
        byPool[producer->entry.pool].push_back(result);
  for (auto &entry : byPool)
    release(entry.first, std::move(entry.second));
}

void PieceDispatcher::onSubmit(const std::string &from,
                               const JobSubmit &message) {
  const TimePoint now = steadyNow();
  if (!message.upstreams.empty())
    batcherFor(message.pool)
        .batcher.applyUpstreamStates(message.upstreams, now);
  for (const JobSubmit::Entry &entry : message.jobs) {
    StageJob job = entry.job;
    // A transferred job names the host that serves its request.
    if (job.host.empty())
      job.host = from;
    job.targetTime = now + entry.targetIn;
    job.deadline = now + entry.deadlineIn;
    const std::string pool = job.pool;
    submitToBatcher(std::move(job), now);
    dispatchBatches(pool);
  }
}

void PieceDispatcher::onJobCancel(const std::string &from,
                                  const JobCancel &message) {
  const auto found = poolBatchers_.find(message.pool);
  if (found == poolBatchers_.end())
    return;
  found->second->batcher.cancelJobs(from, message.requestId);
  queueRelease(found->second->batcher.takeUnclaimedResults());
}

void PieceDispatcher::onRelease(const ResultRelease &message) {
  queueRelease(message.results);
}

void PieceDispatcher::onOutcomes(JobOutcomes message) {
  for (JobOutcome &outcome : message.outcomes)
    deliver(std::move(outcome));
}

void PieceDispatcher::deliver(JobOutcome outcome) {
  if (outcome.host != peers_->self()) {
    JobOutcomes message;
    const std::string host = outcome.host;
    message.outcomes.push_back(std::move(outcome));
    return peers_->send(host, std::move(message));
  }
  const auto found = outstanding_.find({outcome.requestId, outcome.stage});
  if (found == outstanding_.end() ||
      found->second.job.attempt != outcome.attempt) {
    // The request has ended, or another batching host was faster.
    return queueRelease(outcome.results);
  }
  const OutcomeHandler onOutcome = std::move(found->second.onOutcome);
  outstanding_.erase(found);
  onOutcome(std::move(outcome));
}

PieceDispatcher::PoolBatcher &
PieceDispatcher::batcherFor(const std::string &pool) {
  std::unique_ptr<PoolBatcher> &found = poolBatchers_[pool];
  if (!found) {
    found = std::make_unique<PoolBatcher>(io_, pool);
    logEvent(LogLevel::Info, "gathering_begun", {{"pool", pool}});
  }
  if (const BatchLimits *limits = batchLimits_(pool))
    found->batcher.setLimits(*limits);
  if (found->upstreamsVersion != registry_->version() + 1) {
    found->upstreamsVersion = registry_->version() + 1;
    found->batcher.setUpstreams(registry_->pool(pool));
  }
  return *found;
}

void PieceDispatcher::onUpstreamsChanged() {
  std::vector<std::string> pools;
  for (const auto &entry : poolBatchers_)
    pools.push_back(entry.first);
  for (const std::string &pool : pools) {
    batcherFor(pool);
    dispatchBatches(pool);
  }
}

void PieceDispatcher::dispatchBatches(const std::string &pool) {
  const TimePoint now = steadyNow();
  PoolBatcher &poolBatcher = batcherFor(pool);
  updateLimits(pool, now);
  for (const PieceBatch &batch : poolBatcher.batcher.dispatch(now))
    startBatch(pool, batch);
  queueRelease(poolBatcher.batcher.takeUnclaimedResults());
  releaseByPool(poolBatcher.batcher.takeFetchedInputs(now));
  for (JobOutcome &outcome : poolBatcher.batcher.takeOutcomes())
    deliver(std::move(outcome));
  scheduleDispatch(&poolBatcher, steadyNow());
}

void PieceDispatcher::scheduleDispatch(PoolBatcher *poolBatcher,
                                       TimePoint now) {
  const std::optional<TimePoint> wake = poolBatcher->batcher.nextWake(now);
  if (!wake)
    return;
  poolBatcher->timer.startAt(*wake, [this, pool = poolBatcher->batcher.pool()] {
    dispatchBatches(pool);
  });
}

void PieceDispatcher::updateLimits(const std::string &pool, TimePoint now) {
  for (const UpstreamStatePtr &upstream : registry_->pool(pool))
    if (requestLimits_->needsPermit(upstream.get()))
      upstream->limitedUntil = now + upstream->limits.timeToPermit(now);
}

void PieceDispatcher::dispatchIfLimited(const std::string &pool) {
  const std::vector<UpstreamStatePtr> &members = registry_->pool(pool);
  const TimePoint now = steadyNow();
  const bool isLimited = std::any_of(members.begin(), members.end(),
                                     [&](const UpstreamStatePtr &upstream) {
                                       return upstream->limits.isLimited(now);
                                     });
  if (isLimited)
    dispatchBatches(pool);
}

void PieceDispatcher::startBatch(const std::string &pool,
                                 const PieceBatch &batch) {
  const std::uint64_t number = nextBatch_++;
  BatchCall &call =
      batches_.try_emplace(number, io_, number, responseBudget_).first->second;
  call.lease = requestLimits_->takeOwn(batch.upstream, BatchHoldTime);
  call.pool = pool;
  call.items = batch.items.size();
  call.startedAt = steadyNow();
  call.upstream = batch.upstream;
  ++counters_.batches;
  counters_.pieces += batch.items.size();
  const std::string body = dialect_->batchBody(batch.items);
  http::CallOptions options;
  options.endpoint = batch.upstream->entry.endpoint;
  options.upstream = batch.upstream->entry.id;
  options.maxBodyBytes = MaxResponseBytes;
  http::ClientCallbacks callbacks;
  callbacks.onHead = [this, &call](const http::ResponseHead &head) {
    onBatchHead(&call, head);
  };
  callbacks.onBody = [&call](std::string_view bytes) {
    const std::size_t size = call.body.size() + bytes.size();
    if (!call.share.resize(size))
      return call.call->endUnbounded("budget", size);
    call.body.append(bytes);
  };
  callbacks.onEnd = [this, &call](http::CallStatus callStatus,
                                  std::string_view failure) {
    endBatch(&call, responseEnd(callStatus, call.call->isCloseDelimited()),
             failure);
  };
  const BatchLimits *limits = batchLimits_(pool);
  const Duration expected =
      limits == nullptr
          ? Duration(std::chrono::milliseconds(500))
          : limits->callTime +
                limits->itemTime * static_cast<std::int64_t>(call.items);
  call.timer.startAfter(expected * BatchTimeoutFactor, [this, &call] {
    endBatch(&call,
             call.call->mayHaveBeenSent() ? ResponseEnd::TimedOut
                                          : ResponseEnd::NotSent,
             "silent");
  });
  logEvent(LogLevel::Info, "batch_sent",
           {{"pool", pool},
            {"batch", static_cast<unsigned long>(number)},
            {"upstream", call.upstream->entry.id},
            {"pieces", static_cast<unsigned long>(call.items)},
            {"far", static_cast<unsigned long>(batch.remotePieces)},
            {"waiting", static_cast<unsigned long>(
                            poolBatchers_.at(pool)->batcher.queuedPieces())}});
  call.batchNumber = batch.number;
  call.call = std::make_unique<http::ClientCall>(io_, std::move(options),
                                                 std::move(callbacks));
  call.call->start(dialect_->batchHead(*batch.upstream, body.size()), body);
}

void PieceDispatcher::onBatchHead(BatchCall *call,
                                  const http::ResponseHead &head) {
  const ResponseInfo response = dialect_->parseResponseHead(head);
  call->status = head.status;
  call->notRun = response.isNotRun;
  call->isRejection = response.isRejection();
  if (reach_ != nullptr)
    reach_->onConnected(call->upstream.get(), call->startedAt);
  applyUpstreamStatements(response, call->upstream.get(), registry_,
                          steadyNow());
  requestLimits_->onResponse(response, call->upstream, call->startedAt);
}

void PieceDispatcher::endBatch(BatchCall *ended, ResponseEnd end,
                               std::string_view failure) {
  const auto node = batches_.extract(ended->number);
  BatchCall &call = node.mapped();
  call.timer.cancel();
  std::vector<PieceResult> results;
  AttemptEvidence evidence;
  evidence.end = end;
  evidence.status = call.status;
  evidence.isNotRun = call.notRun;
  // Stage upstreams sign nothing.
  evidence.isGenuine = true;
  evidence.needsOk = true;
  if (isReceived(end) && call.status == Ok) {
    absl::StatusOr<std::vector<PieceResult>> read =
        dialect_->parseBatchResponse(call.body);
    const bool isWhole = read.ok() && read->size() == call.items;
    evidence.content = isWhole ? ContentEnd::AtBoundary : ContentEnd::Malformed;
    if (isWhole)
      results = *std::move(read);
  }
  const AttemptVerdict verdict = judgeAttempt(evidence);
  if (call.lease)
    call.lease->setEnd(permitEnd(verdict, call.isRejection));
  if (verdict == AttemptVerdict::NotSent && reach_ != nullptr)
    reach_->onUnreachable(call.upstream.get(), call.startedAt);
  if (mayHaveRun(verdict) && verdict != AttemptVerdict::Answered)
    ++counters_.failedBatches;
  const auto failed =
      std::count_if(results.begin(), results.end(), [](const PieceResult &r) {
        return r.kind != PieceResult::Kind::Result;
      });
  if (verdict != AttemptVerdict::Answered || failed > 0)
    logEvent(
        LogLevel::Warning, "batch_failed",
        {{"pool", call.pool},
         {"batch", static_cast<unsigned long>(call.number)},
         {"upstream", call.upstream->entry.id},
         {"end", verdictName(verdict)},
         {"status", call.status},
         {"not_run", !mayHaveRun(verdict)},
         {"failed_pieces", static_cast<long>(failed)},
         {"pieces", static_cast<unsigned long>(call.items)},
         {"why", std::string(failure.empty() ? describe(evidence) : failure)},
         {"unframed", call.call->isCloseDelimited()},
         {"ms", toMillis(steadyNow() - call.startedAt)}});
  PieceBatcher &batcher = batcherFor(call.pool).batcher;
  reportJobs(batcher.jobNames(call.batchNumber), verdict, call);
  batcher.onBatchEnd(call.batchNumber, batchStatus(verdict), results,
                     steadyNow());
  dispatchBatches(call.pool);
}

void PieceDispatcher::reportJobs(const std::vector<std::string> &names,
                                 AttemptVerdict verdict,
                                 const BatchCall &call) {
  if (partGuard_ == nullptr)
    return;
  for (const std::string &name : names) {
    if (verdict == AttemptVerdict::Broken)
      partGuard_->onBroken({name}, call.upstream->entry,
                           steadyNow() - call.startedAt);
    // Most jobs are sound, and of no interest unless they are suspected.
    else if (verdict == AttemptVerdict::Answered &&
             partGuard_->hasCrashed(name))
      partGuard_->onSound({name});
  }
}

void PieceDispatcher::queueRelease(const std::vector<std::string> &results) {
  for (const std::string &result : results)
    if (const std::optional<Endpoint> at = dialect_->resultEndpoint(result))
      queuedReleases_[toString(*at)].push_back(result);
  if (queuedReleases_.empty() || releaseScheduled_)
    return;
  releaseScheduled_ = true;
  releaseTimer_.startAfter(ReleaseInterval, [this] {
    releaseScheduled_ = false;
    flushReleases();
  });
}

void PieceDispatcher::flushReleases() {
  for (auto &entry : std::exchange(queuedReleases_, {})) {
    const std::optional<Endpoint> endpoint = parseEndpoint(entry.first);
    // An upstream that reuses the address does not have the results.
    const UpstreamStatePtr upstream =
        endpoint ? registry_->byEndpoint(*endpoint) : nullptr;
    if (!upstream)
      continue;
    // The results at a closed upstream end by themselves.
    if (upstream->isClosed(steadyNow())) {
      noteReleased(entry.second);
      continue;
    }
    // The results wait for a permit; batches that come meanwhile go first.
    const PermitLeasePtr lease =
        requestLimits_->takeOwn(upstream, ReleaseTimeout);
    if (!lease) {
      queuedReleases_[entry.first] = std::move(entry.second);
      continue;
    }
    startRelease(*endpoint, entry.second);
  }
}

void PieceDispatcher::startRelease(const Endpoint &endpoint,
                                   const std::vector<std::string> &results) {
  const std::uint64_t number = nextRelease_++;
  ReleaseCall &release = releases_.try_emplace(number, io_).first->second;
  release.results = results;
  release.timer.startAfter(ReleaseTimeout,
                           [this, number] { endRelease(number); });
  http::CallOptions options;
  options.endpoint = endpoint;
  options.maxBodyBytes = MaxResponseBytes;
  http::ClientCallbacks callbacks;
  callbacks.onEnd = [this, number](http::CallStatus, std::string_view) {
    endRelease(number);
  };
  release.call = std::make_unique<http::ClientCall>(io_, std::move(options),
                                                    std::move(callbacks));
  const std::string body = dialect_->releaseBody(results);
  release.call->start(dialect_->releaseHead(endpoint, body.size()), body);
}

void PieceDispatcher::endRelease(std::uint64_t number) {
  const auto node = releases_.extract(number);
  noteReleased(node.mapped().results);
}

void PieceDispatcher::noteReleased(const std::vector<std::string> &results) {
  for (auto &batcher : poolBatchers_)
    batcher.second->batcher.release(results);
}

void PieceDispatcher::probeUnresponsiveHosts(TimePoint now) {
  for (const auto &entry : outstanding_) {
    const std::string &host = entry.second.batchingHost;
    if (host == peers_->self() || !peers_->isReachable(host, now))
      continue;
    const TimePoint lastMessage = std::max(
        peers_->lastMessageAt(host).value_or(TimePoint()), entry.second.sentAt);
    LivenessProbe &probe = probes_[host];
    if (lastMessage > probe.sentAt && now > lastMessage + ProbeAfter) {
      probe = {now, ProbeTimeout};
      peers_->send(host, BatcherProbe{false});
    } else if (probe.sentAt > lastMessage &&
               now > probe.sentAt + probe.timeout) {
      peers_->suspect(host, now);
    }
  }
}

void PieceDispatcher::onPeerDisconnected(const std::string &host) {
  const bool hasJobs = std::any_of(
      outstanding_.begin(), outstanding_.end(),
      [&](const auto &entry) { return entry.second.batchingHost == host; });
  if (!hasJobs)
    return;
  probes_[host] = {steadyNow(), DisconnectProbeTimeout};
  peers_->send(host, BatcherProbe{false});
}

void PieceDispatcher::tick(TimePoint now) {
  if (!queuedReleases_.empty())
    queueRelease({});
  for (const auto &entry : poolBatchers_)
    if (entry.second->batcher.hasQueuedJobs())
      dispatchIfLimited(entry.first);
  probeUnresponsiveHosts(now);
  transferReassigned(now);
  std::vector<JobKey> toResubmit;
  for (const auto &entry : outstanding_)
    // A leaving host still finishes the jobs that have a call in progress.
    if (!peers_->isReachable(entry.second.batchingHost, now) ||
        now > entry.second.sentAt + ResubmitAfter)
      toResubmit.push_back(entry.first);
  for (const JobKey &key : toResubmit) {
    const auto found = outstanding_.find(key);
    if (found == outstanding_.end())
      continue;
    ++counters_.resubmitted;
    // As long as the batching host is reachable, another one would duplicate
    // the work.
    OutstandingJob &entry = found->second;
    assign(&entry,
           peers_->isReachable(entry.batchingHost, now)
               ? entry.batchingHost
               : peers_->batchingHost(entry.job.pool, now),
           now);
  }
}

} // namespace auburnspring
