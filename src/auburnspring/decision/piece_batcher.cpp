#include "auburnspring/decision/piece_batcher.h"

#include "auburnspring/decision/upstream_health.h"
#include <algorithm>

namespace auburnspring {

namespace {

/// Weight of the newest call in the moving averages of an upstream's slowdown
/// ratio and of the batch size.
constexpr double EwmaWeight = 0.5;
/// A call is overdue after this many times its expected duration plus the
/// slack; its pieces are then also sent to another upstream.
constexpr double OverdueFactor = 1.6;
constexpr Duration OverdueSlack = std::chrono::milliseconds(80);
/// An upstream with at least this slowdown ratio gets only probes.
constexpr double SlowThreshold = 1.5;
/// Interval at which a slow upstream is probed.
constexpr Duration SlowProbeInterval = std::chrono::milliseconds(1500);
constexpr Duration PauseAfterFull = std::chrono::milliseconds(60);
constexpr Duration PauseAfterFailure = std::chrono::milliseconds(700);
/// An upstream fetches a call's inputs when it starts the call, which is on
/// arrival if no other call is queued there. The inputs of a full batch take a
/// quarter of this time over the links between upstreams.
constexpr Duration InputFetchTime = std::chrono::milliseconds(60);
/// A call that takes longer than this many times its usual duration plus the
/// slack has queued at its upstream behind a call of another host.
constexpr double DelayFactor = 1.2;
constexpr Duration DelaySlack = std::chrono::milliseconds(40);
/// How long after a delayed call further calls may queue at the same upstream.
constexpr Duration DelayRetention = std::chrono::seconds(2);
/// A job waits for an upstream in its preferred data centre at most this long,
/// and at most its slack divided by the divisor.
constexpr Duration MaxLocalWait = std::chrono::milliseconds(300);
constexpr std::int64_t LocalWaitSlackDivisor = 3;
/// Rank factor at an upstream in another data centre, where the inputs or
/// results of the job travel between data centres.
constexpr double RemoteRankFactor = 0.4;
/// Interval of the scans for late jobs, overdue calls and expired results. It
/// bounds their cost when there are many jobs.
constexpr Duration MaintenanceInterval = std::chrono::milliseconds(10);
constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);
/// Longest time between two dispatches while there are jobs.
constexpr Duration PollInterval = std::chrono::milliseconds(25);
/// A job fails after more than this many failures of its pieces.
constexpr std::int64_t MaxJobFailures = 24;
/// A job fails after this many of its batches were broken off: it may be what
/// crashes the upstreams.
constexpr std::int64_t MaxJobBreaks = 3;
/// After a batch was broken off, its jobs are sent with at most this share of
/// its pieces, so that what crashes upstreams is soon alone.
constexpr std::size_t BrokenCompanyDivisor = 4;
/// Share of its value that a job keeps once it can no longer meet its target
/// time.
constexpr double LateValueFactor = 0.15;
/// One in this many items of a batch is reserved for the jobs with the earliest
/// target time.
constexpr std::size_t UrgentShareDivisor = 6;
/// A job that is still queued this long after it could last meet its target
/// time ends as unattainable: it gets only places that no other job takes.
constexpr Duration MaxLateness = std::chrono::milliseconds(700);
/// Results inherited from the previous batching host are assumed to be freed
/// linearly over this time.
constexpr Duration InheritedBytesExpiry = std::chrono::milliseconds(1500);
/// Share of an upstream's result memory that may be filled by this host's
/// count.
constexpr double ResultMemoryShare = 0.95;

Duration scaled(Duration span, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

} // namespace

PieceBatcher::JobKey PieceBatcher::keyOf(const StageJob &job) {
  return {job.host, {job.requestId, job.stage}};
}

std::string PieceBatcher::incarnationKey(const UpstreamState &upstream) {
  return upstream.entry.id + "/" +
         std::to_string(upstream.entry.startedAtMillis);
}

void PieceBatcher::setUpstreams(std::vector<UpstreamStatePtr> upstreams) {
  std::map<std::string, Upstream> next;
  for (UpstreamStatePtr &state : upstreams) {
    // A new incarnation holds no results of the previous one.
    const std::string key = incarnationKey(*state);
    const auto existing = upstreams_.find(key);
    Upstream &upstream = next[key];
    if (existing != upstreams_.end())
      upstream = std::move(existing->second);
    upstream.state = std::move(state);
  }
  // Keep removed upstreams until their calls have ended.
  for (auto &entry : upstreams_)
    if (entry.second.state && entry.second.calls > 0 &&
        next.count(entry.first) == 0)
      next[entry.first] = std::move(entry.second);
  upstreams_ = std::move(next);
}

void PieceBatcher::submit(StageJob job, TimePoint now) {
  const JobKey key = keyOf(job);
  const auto existing = jobs_.find(key);
  if (existing != jobs_.end() && existing->second.spec.attempt >= job.attempt)
    return;
  JobState entry;
  entry.submittedAt = now;
  entry.results.resize(job.pieces);
  for (std::uint32_t piece = 0; piece < job.pieces; ++piece)
    entry.queued.push_back(piece);
  if (job.isSuspected)
    entry.maxCompany = 1;
  entry.spec = std::move(job);
  if (existing != jobs_.end())
    eraseJob(existing);
  queuedPieces_ += entry.queued.size();
  jobs_[key] = std::move(entry);
}

void PieceBatcher::eraseJob(std::map<JobKey, JobState>::iterator job) {
  queuedPieces_ -= job->second.queued.size();
  jobs_.erase(job);
}

void PieceBatcher::cancelJobs(const std::string &host,
                              const std::string &requestId) {
  auto job = jobs_.lower_bound({host, {requestId, 0}});
  while (job != jobs_.end() && job->first.first == host &&
         job->first.second.first == requestId) {
    for (const std::string &handle : job->second.results)
      if (!handle.empty())
        unclaimedResults_.push_back(handle);
    eraseJob(job++);
  }
}

Duration PieceBatcher::expectedCallTime(std::size_t pieces) const {
  return limits_.callTime +
         limits_.itemTime * static_cast<std::int64_t>(pieces);
}

std::size_t PieceBatcher::usableUpstreams(TimePoint now) const {
  std::size_t count = 0;
  for (const auto &entry : upstreams_)
    if (entry.second.state->acceptsWork(now) &&
        entry.second.slowdownRatio < SlowThreshold)
      ++count;
  return std::max<std::size_t>(count, 1);
}

Duration PieceBatcher::dispatchInterval(TimePoint now) const {
  return expectedCallTime(static_cast<std::size_t>(averageBatchSize_)) /
         static_cast<std::int64_t>(usableUpstreams(now));
}

bool PieceBatcher::canTakeCall(const Upstream &upstream, TimePoint now) const {
  return upstream.state->acceptsWork(now) && upstream.calls < limits_.slots &&
         now >= upstream.pausedUntil;
}

void PieceBatcher::findUsableDataCentres(TimePoint now) {
  usableDataCentres_.clear();
  for (const auto &entry : upstreams_)
    if (entry.second.state->acceptsWork(now) &&
        entry.second.slowdownRatio < SlowThreshold)
      usableDataCentres_.insert(entry.second.state->entry.dataCentre);
}

bool PieceBatcher::mayQueueCalls(const Upstream &upstream, TimePoint now) {
  return !upstream.lastResponseAt ||
         (upstream.lastDelayAt && now < *upstream.lastDelayAt + DelayRetention);
}

bool PieceBatcher::isLocal(const JobState &job, const Upstream &upstream) {
  const std::string &preferred = job.spec.preferredDataCentre;
  return preferred.empty() || preferred == upstream.state->entry.dataCentre;
}

bool PieceBatcher::mayRunRemotely(const JobState &job, TimePoint now) const {
  const Duration slack =
      job.spec.targetTime - now -
      expectedCallTime(static_cast<std::size_t>(averageBatchSize_));
  const Duration wait = std::min(MaxLocalWait, slack / LocalWaitSlackDivisor);
  return now >= job.submittedAt + wait ||
         usableDataCentres_.count(job.spec.preferredDataCentre) == 0;
}

bool PieceBatcher::mayRunAt(const JobState &job, const Upstream &upstream,
                            TimePoint now) const {
  return isLocal(job, upstream) || mayRunRemotely(job, now);
}

PieceBatcher::QueuedPieces
PieceBatcher::countQueuedPieces(TimePoint now) const {
  QueuedPieces queued;
  for (const auto &entry : jobs_) {
    const JobState &job = entry.second;
    const std::string &preferred = job.spec.preferredDataCentre;
    if (preferred.empty() || mayRunRemotely(job, now))
      queued.anywhere += job.queued.size();
    else
      queued.byDataCentre[preferred] += job.queued.size();
  }
  return queued;
}

PieceBatcher::Upstream *PieceBatcher::pickUpstream(TimePoint now) {
  const bool isOverloaded =
      queuedPieces_ >= static_cast<std::size_t>(limits_.batch) * 4;
  std::vector<Upstream *> candidates;
  for (auto &entry : upstreams_) {
    Upstream &upstream = entry.second;
    if (!canTakeCall(upstream, now))
      continue;
    // With this many pieces queued, any upstream gets a full batch.
    if (isOverloaded && upstream.slowdownRatio < SlowThreshold)
      return &upstream;
    // Slow upstreams are only probed.
    if (upstream.slowdownRatio < SlowThreshold ||
        now >= upstream.lastCallAt + SlowProbeInterval)
      candidates.push_back(&upstream);
  }
  if (candidates.empty())
    return nullptr;
  const QueuedPieces queued = countQueuedPieces(now);
  Upstream *best = nullptr;
  std::size_t bestPieces = 0;
  for (Upstream *upstream : candidates) {
    const auto local =
        queued.byDataCentre.find(upstream->state->entry.dataCentre);
    const std::size_t pieces =
        queued.anywhere +
        (local == queued.byDataCentre.end() ? 0 : local->second);
    const bool isBetter =
        pieces > bestPieces || (pieces == bestPieces && best != nullptr &&
                                upstream->heldBytes < best->heldBytes);
    if (pieces == 0 || !isBetter)
      continue;
    best = upstream;
    bestPieces = pieces;
  }
  return best;
}

std::int64_t PieceBatcher::freeResultBytes(const Upstream &upstream,
                                           TimePoint now) const {
  const auto capacity = static_cast<std::int64_t>(
      static_cast<double>(limits_.resultMemoryBytes) * ResultMemoryShare);
  const double age = std::min(1.0, toMillis(now - upstream.inheritedAt) /
                                       toMillis(InheritedBytesExpiry));
  const auto inherited = static_cast<std::int64_t>(
      static_cast<double>(upstream.inheritedBytes) * (1 - age));
  return capacity - upstream.heldBytes - upstream.reservedBytes - inherited;
}

bool PieceBatcher::canMeetTarget(const JobState &job, TimePoint now) const {
  return now + expectedCallTime(static_cast<std::size_t>(averageBatchSize_)) <=
         job.spec.targetTime;
}

std::vector<PieceBatcher::JobState *>
PieceBatcher::rankedJobs(const Upstream &upstream, TimePoint now) {
  struct Ranked {
    JobState *job;
    double rank;
  };
  std::vector<Ranked> order;
  for (auto &entry : jobs_) {
    JobState &job = entry.second;
    if (job.queued.empty() || !mayRunAt(job, upstream, now))
      continue;
    // A partially completed job costs only its remaining pieces.
    const double progressFactor = static_cast<double>(job.spec.pieces) /
                                  static_cast<double>(job.queued.size());
    order.push_back(
        {&job, job.spec.valueDensity * progressFactor *
                   (canMeetTarget(job, now) ? 1.0 : LateValueFactor) *
                   (isLocal(job, upstream) ? 1.0 : RemoteRankFactor)});
  }
  std::stable_sort(
      order.begin(), order.end(), [](const Ranked &a, const Ranked &b) {
        return a.rank != b.rank ? a.rank > b.rank
                                : a.job->submittedAt < b.job->submittedAt;
      });
  std::vector<JobState *> jobs;
  jobs.reserve(order.size());
  for (const Ranked &entry : order)
    jobs.push_back(entry.job);
  return jobs;
}

std::size_t PieceBatcher::maxItemsWith(const JobState &job) const {
  if (job.breaks == 0 && !job.spec.isSuspected)
    return std::numeric_limits<std::size_t>::max();
  // One batch at a time, so that its pieces end one upstream at most.
  const JobKey key = keyOf(job.spec);
  const bool isInProgress =
      std::any_of(calls_.begin(), calls_.end(), [&](const auto &call) {
        return std::any_of(
            call.second.items.begin(), call.second.items.end(),
            [&](const CallItem &item) { return item.jobKey == key; });
      });
  return isInProgress ? 0 : std::max(job.queued.size(), job.maxCompany);
}

void PieceBatcher::addPieces(JobState *job, std::size_t maxItems,
                             Upstream *upstream, PieceBatch *batch, Call *call,
                             TimePoint now) {
  const std::size_t maxWithJob = maxItemsWith(*job);
  if (batch->items.size() + job->queued.size() > maxWithJob &&
      (maxWithJob == 0 || !batch->items.empty()))
    return;
  call->maxItems = std::min(call->maxItems, maxWithJob);
  maxItems = std::min(maxItems, call->maxItems);
  if (batch->items.size() >= maxItems)
    return;
  // A job is split only if it is the first in the batch: its stage can't end
  // before all its pieces have.
  const bool fits = job->queued.size() <= maxItems - batch->items.size();
  if (!fits && !batch->items.empty())
    return;
  while (!job->queued.empty() && batch->items.size() < maxItems) {
    // An empty upstream also gets results larger than its result memory.
    const bool isEmpty = upstream->heldBytes + upstream->reservedBytes == 0;
    if (limits_.resultMemoryBytes > 0 && !isEmpty &&
        job->spec.resultBytes > freeResultBytes(*upstream, now))
      return;
    const std::uint32_t piece = job->queued.back();
    job->queued.pop_back();
    --queuedPieces_;
    batch->items.push_back({job->spec.requestId, job->spec.stage, piece,
                            job->spec.deadline - now, job->spec.key,
                            job->spec.inputs});
    call->items.push_back(
        {keyOf(job->spec), job->spec.attempt, piece, job->spec.resultBytes});
    upstream->reservedBytes += job->spec.resultBytes;
    if (!isLocal(*job, *upstream))
      ++batch->remotePieces;
  }
  job->lastSentAt = now;
  if (job->spec.hasExclusiveInputs)
    pendingFetches_.push_back({now + InputFetchTime, keyOf(job->spec)});
  job->mayFetchLate = job->mayFetchLate || mayQueueCalls(*upstream, now);
}

PieceBatch PieceBatcher::fillBatch(Upstream *upstream,
                                   const std::vector<JobState *> &order,
                                   TimePoint now) {
  PieceBatch batch;
  batch.number = nextBatch_++;
  batch.upstream = upstream->state;
  Call call;
  call.upstreamKey = incarnationKey(*upstream->state);
  call.startedAt = now;
  // A single piece probes whether a slow upstream has recovered.
  const auto size = upstream->slowdownRatio >= SlowThreshold
                        ? std::size_t{1}
                        : static_cast<std::size_t>(limits_.batch);
  const std::size_t urgentItems = size / UrgentShareDivisor;
  for (JobState *job : order)
    addPieces(job, std::max<std::size_t>(size - urgentItems, 1), upstream,
              &batch, &call, now);
  // The reserved items go to jobs that can meet their target time, earliest
  // first, and what is left to the others by rank.
  std::vector<JobState *> urgent;
  for (JobState *job : order)
    if (canMeetTarget(*job, now))
      urgent.push_back(job);
  std::stable_sort(urgent.begin(), urgent.end(),
                   [](const JobState *a, const JobState *b) {
                     return a->spec.targetTime < b->spec.targetTime;
                   });
  for (JobState *job : urgent)
    addPieces(job, size, upstream, &batch, &call, now);
  for (JobState *job : order)
    addPieces(job, size, upstream, &batch, &call, now);
  if (batch.items.empty())
    return batch;
  call.expected = expectedCallTime(batch.items.size());
  ++upstream->calls;
  upstream->lastCallAt = now;
  averageBatchSize_ +=
      (static_cast<double>(batch.items.size()) - averageBatchSize_) *
      EwmaWeight;
  calls_[batch.number] = std::move(call);
  return batch;
}

TimePoint PieceBatcher::earliestStart(TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const auto &entry : upstreams_) {
    const UpstreamState &upstream = *entry.second.state;
    if (upstream.mayBeSentWork(now))
      return now;
    if (!upstream.isLeaving && !upstream.isClosed(now))
      earliest = std::min(earliest.value_or(upstream.unavailableUntil()),
                          upstream.unavailableUntil());
  }
  return earliest.value_or(now);
}

bool PieceBatcher::isEvacuated(TimePoint now) const {
  const auto isOpen = [now](const auto &entry) {
    return !entry.second.state->isLeaving && !entry.second.state->isClosed(now);
  };
  const auto isClosed = [now](const auto &entry) {
    return entry.second.state->isClosed(now);
  };
  return std::none_of(upstreams_.begin(), upstreams_.end(), isOpen) &&
         std::any_of(upstreams_.begin(), upstreams_.end(), isClosed);
}

void PieceBatcher::dropUnattainable(TimePoint now) {
  const bool hasNoUpstream = isEvacuated(now);
  const TimePoint start = earliestStart(now);
  lastBacklog_ = std::max(backlog(now), start - now);
  std::vector<JobKey> unattainable;
  for (const auto &entry : jobs_) {
    const JobState &job = entry.second;
    if (job.queued.empty())
      continue;
    const TimePoint lastStartAt =
        std::max(job.submittedAt, job.spec.targetTime - limits_.callTime);
    if (hasNoUpstream || start + limits_.callTime > job.spec.deadline ||
        start > lastStartAt + MaxLateness)
      unattainable.push_back(entry.first);
  }
  for (const JobKey &key : unattainable)
    finishJob(key, JobStatus::Unattainable);
}

void PieceBatcher::requeueOverdue(TimePoint now) {
  for (auto &entry : calls_) {
    Call &call = entry.second;
    if (call.overdue || now < call.startedAt +
                                  scaled(call.expected, OverdueFactor) +
                                  OverdueSlack)
      continue;
    call.overdue = true;
    const auto upstream = upstreams_.find(call.upstreamKey);
    if (upstream != upstreams_.end())
      upstream->second.slowdownRatio =
          std::max(upstream->second.slowdownRatio, SlowThreshold);
    // Pieces whose inputs are freed can't run anywhere else.
    for (const CallItem &item : call.items) {
      const auto job = jobs_.find(item.jobKey);
      if (job != jobs_.end() && !job->second.inputsFreed)
        requeue(item, true);
    }
  }
}

void PieceBatcher::runMaintenance(TimePoint now) {
  if (now < lastMaintenanceAt_ + MaintenanceInterval)
    return;
  lastMaintenanceAt_ = now;
  dropUnattainable(now);
  requeueOverdue(now);
  if (now < lastExpiryAt_ + ExpiryInterval)
    return;
  lastExpiryAt_ = now;
  expireResults(now);
}

std::vector<PieceBatch> PieceBatcher::dispatch(TimePoint now) {
  std::vector<PieceBatch> batches;
  runMaintenance(now);
  findUsableDataCentres(now);
  while (queuedPieces_ > 0) {
    const bool hasFullBatch =
        queuedPieces_ >= static_cast<std::size_t>(limits_.batch);
    if (!hasFullBatch && now < lastDispatchAt_ + dispatchInterval(now))
      break;
    Upstream *upstream = pickUpstream(now);
    if (upstream == nullptr)
      break;
    PieceBatch batch = fillBatch(upstream, rankedJobs(*upstream, now), now);
    if (batch.items.empty()) {
      // No queued piece fits into its free result memory.
      upstream->pausedUntil = now + PauseAfterFull;
      continue;
    }
    batches.push_back(std::move(batch));
    lastDispatchAt_ = now;
  }
  return batches;
}

void PieceBatcher::requeue(const CallItem &item, bool countsAsFailure) {
  const auto found = jobs_.find(item.jobKey);
  if (found == jobs_.end() || found->second.spec.attempt != item.attempt)
    return;
  JobState &job = found->second;
  if (!job.results[item.piece].empty() ||
      std::find(job.queued.begin(), job.queued.end(), item.piece) !=
          job.queued.end())
    return;
  if (job.inputsFreed)
    return finishJob(item.jobKey, JobStatus::InputsGone);
  job.queued.push_back(item.piece);
  ++queuedPieces_;
  if (countsAsFailure && ++job.failures > MaxJobFailures)
    finishJob(item.jobKey, JobStatus::Failed);
}

void PieceBatcher::recordBreak(const std::vector<CallItem> &items) {
  std::set<JobKey> broken;
  for (const CallItem &item : items)
    broken.insert(item.jobKey);
  const std::size_t company =
      std::max<std::size_t>(items.size() / BrokenCompanyDivisor, 1);
  for (const JobKey &key : broken) {
    const auto found = jobs_.find(key);
    if (found == jobs_.end())
      continue;
    found->second.maxCompany = std::min(found->second.maxCompany, company);
    if (++found->second.breaks >= MaxJobBreaks)
      finishJob(key, JobStatus::Failed);
  }
}

std::vector<std::string> PieceBatcher::jobNames(std::uint64_t number) const {
  std::vector<std::string> names;
  const auto call = calls_.find(number);
  if (call == calls_.end())
    return names;
  for (const CallItem &item : call->second.items) {
    const auto job = jobs_.find(item.jobKey);
    if (job == jobs_.end() || job->second.spec.name.empty() ||
        std::find(names.begin(), names.end(), job->second.spec.name) !=
            names.end())
      continue;
    names.push_back(job->second.spec.name);
  }
  return names;
}

void PieceBatcher::onBatchEnd(std::uint64_t number, BatchStatus status,
                              const std::vector<PieceResult> &results,
                              TimePoint now) {
  const auto found = calls_.find(number);
  if (found == calls_.end())
    return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  const auto it = upstreams_.find(call.upstreamKey);
  Upstream *upstream = it == upstreams_.end() ? nullptr : &it->second;
  if (upstream != nullptr) {
    --upstream->calls;
    for (const CallItem &item : call.items)
      upstream->reservedBytes -= item.resultBytes;
  }
  if (status == BatchStatus::Responded && results.size() == call.items.size()) {
    if (upstream != nullptr) {
      const double ratio =
          toMillis(now - call.startedAt) / toMillis(call.expected);
      if (now - call.startedAt >
          scaled(call.expected, upstream->slowdownRatio * DelayFactor) +
              DelaySlack)
        upstream->lastDelayAt = now;
      upstream->lastResponseAt = now;
      // Without known limits nothing is expected of a call.
      if (call.expected > Duration(0))
        upstream->slowdownRatio +=
            (ratio - upstream->slowdownRatio) * EwmaWeight;
      recordResponse(upstream->state.get(), now - call.startedAt, now);
    }
    for (std::size_t i = 0; i < results.size(); ++i)
      onPieceResult(call.items[i], results[i], upstream, now);
    return;
  }
  if (upstream != nullptr) {
    upstream->pausedUntil =
        now +
        (status == BatchStatus::NotRun ? PauseAfterFull : PauseAfterFailure);
    if (status != BatchStatus::NotRun)
      recordUpstreamFailure(upstream->state.get(), now);
  }
  if (status == BatchStatus::Broken)
    recordBreak(call.items);
  for (const CallItem &item : call.items)
    requeue(item, status != BatchStatus::NotRun && !call.overdue);
}

void PieceBatcher::onPieceResult(const CallItem &item,
                                 const PieceResult &result, Upstream *upstream,
                                 TimePoint now) {
  switch (result.kind) {
  case PieceResult::Kind::Result:
    return storeResult(item, result.handle, upstream, now);
  case PieceResult::Kind::DeadlineExceeded: {
    const auto job = jobs_.find(item.jobKey);
    if (job != jobs_.end() && job->second.spec.attempt == item.attempt)
      finishJob(item.jobKey, JobStatus::Unattainable);
    return;
  }
  case PieceResult::Kind::InputsGone: {
    if (upstream != nullptr)
      upstream->lastDelayAt = now;
    const auto job = jobs_.find(item.jobKey);
    if (job != jobs_.end() && job->second.spec.attempt == item.attempt)
      finishJob(item.jobKey, JobStatus::InputsGone);
    return;
  }
  // The configured result memory is kept as the estimate: smaller batches would
  // cost more throughput than an occasional piece that finds no memory.
  case PieceResult::Kind::ResultMemoryFull:
  case PieceResult::Kind::Error:
    return requeue(item, true);
  }
}

void PieceBatcher::storeResult(const CallItem &item, const std::string &handle,
                               Upstream *upstream, TimePoint now) {
  const auto found = jobs_.find(item.jobKey);
  if (found == jobs_.end() || found->second.spec.attempt != item.attempt ||
      !found->second.results[item.piece].empty()) {
    unclaimedResults_.push_back(handle);
    return;
  }
  JobState &job = found->second;
  if (upstream != nullptr) {
    heldResults_[handle] = {incarnationKey(*upstream->state),
                            job.spec.resultBytes, now};
    upstream->heldBytes += job.spec.resultBytes;
  }
  job.results[item.piece] = handle;
  queuedPieces_ -= job.queued.size();
  job.queued.erase(
      std::remove(job.queued.begin(), job.queued.end(), item.piece),
      job.queued.end());
  queuedPieces_ += job.queued.size();
  const bool isComplete =
      std::all_of(job.results.begin(), job.results.end(),
                  [](const std::string &result) { return !result.empty(); });
  if (isComplete)
    finishJob(item.jobKey, JobStatus::Done);
}

void PieceBatcher::finishJob(const JobKey &key, JobStatus status) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end())
    return;
  queuedPieces_ -= found->second.queued.size();
  JobState job = std::move(found->second);
  jobs_.erase(found);
  JobOutcome outcome;
  outcome.host = job.spec.host;
  outcome.requestId = job.spec.requestId;
  outcome.stage = job.spec.stage;
  outcome.attempt = job.spec.attempt;
  outcome.status = status;
  outcome.backlog = lastBacklog_;
  if (status == JobStatus::Done)
    outcome.results = std::move(job.results);
  else
    for (std::string &handle : job.results)
      if (!handle.empty())
        unclaimedResults_.push_back(std::move(handle));
  outcomes_.push_back(std::move(outcome));
}

void PieceBatcher::dropHeldResult(const HeldResult &result) {
  const auto upstream = upstreams_.find(result.upstreamKey);
  if (upstream != upstreams_.end())
    upstream->second.heldBytes -= result.bytes;
}

void PieceBatcher::expireResults(TimePoint now) {
  for (auto it = heldResults_.begin(); it != heldResults_.end();) {
    if (now < it->second.receivedAt + limits_.resultTtl) {
      ++it;
      continue;
    }
    dropHeldResult(it->second);
    it = heldResults_.erase(it);
  }
}

void PieceBatcher::release(const std::vector<std::string> &handles) {
  for (const std::string &handle : handles) {
    const auto held = heldResults_.find(handle);
    if (held == heldResults_.end())
      continue;
    dropHeldResult(held->second);
    heldResults_.erase(held);
  }
}

bool PieceBatcher::isFullyQueued(const JobState &job) {
  return job.queued.size() == job.spec.pieces;
}

bool PieceBatcher::hasQueuedJobs() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto &entry) {
    return isFullyQueued(entry.second);
  });
}

std::vector<StageJob> PieceBatcher::takeQueuedJobs() {
  std::vector<StageJob> queued;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    if (!isFullyQueued(it->second)) {
      ++it;
      continue;
    }
    queued.push_back(std::move(it->second.spec));
    eraseJob(it++);
  }
  return queued;
}

std::vector<BatchUpstreamState>
PieceBatcher::upstreamStates(TimePoint now) const {
  std::vector<BatchUpstreamState> states;
  for (const auto &entry : upstreams_) {
    BatchUpstreamState state{entry.first, Duration(0), entry.second.heldBytes,
                             entry.second.slowdownRatio};
    for (const auto &call : calls_)
      if (call.second.upstreamKey == entry.first)
        state.busyFor = std::max(
            state.busyFor,
            call.second.startedAt +
                scaled(call.second.expected, entry.second.slowdownRatio) - now);
    states.push_back(std::move(state));
  }
  return states;
}

void PieceBatcher::applyUpstreamStates(
    const std::vector<BatchUpstreamState> &states, TimePoint now) {
  for (const BatchUpstreamState &state : states) {
    const auto found = upstreams_.find(state.incarnation);
    if (found == upstreams_.end() || found->second.calls > 0)
      continue;
    Upstream &upstream = found->second;
    upstream.pausedUntil = std::max(upstream.pausedUntil, now + state.busyFor);
    upstream.inheritedBytes = state.heldBytes;
    upstream.inheritedAt = now;
    upstream.slowdownRatio =
        std::max(upstream.slowdownRatio, state.slowdownRatio);
    upstream.lastCallAt = now;
  }
}

std::vector<JobOutcome> PieceBatcher::takeOutcomes() {
  return std::exchange(outcomes_, {});
}

std::vector<std::string> PieceBatcher::takeUnclaimedResults() {
  return std::exchange(unclaimedResults_, {});
}

std::vector<std::string> PieceBatcher::takeFetchedInputs(TimePoint now) {
  std::vector<std::string> fetched;
  for (; !pendingFetches_.empty() && pendingFetches_.front().dueAt <= now;
       pendingFetches_.pop_front()) {
    const auto found = jobs_.find(pendingFetches_.front().jobKey);
    if (found == jobs_.end())
      continue;
    JobState &job = found->second;
    if (job.inputsFreed || job.mayFetchLate || !job.queued.empty() ||
        now < job.lastSentAt + InputFetchTime)
      continue;
    job.inputsFreed = true;
    fetched.insert(fetched.end(), job.spec.inputs.begin(),
                   job.spec.inputs.end());
  }
  return fetched;
}

std::optional<TimePoint> PieceBatcher::nextWake(TimePoint now) const {
  std::optional<TimePoint> wake;
  const auto consider = [&](TimePoint at) {
    if (!wake || at < *wake)
      wake = at;
  };
  for (const auto &entry : calls_)
    if (!entry.second.overdue)
      consider(entry.second.startedAt +
               scaled(entry.second.expected, OverdueFactor) + OverdueSlack);
  // Late jobs and fetched inputs are found by polling.
  if (!jobs_.empty())
    consider(now + PollInterval);
  if (queuedPieces_ > 0) {
    const TimePoint due = lastDispatchAt_ + dispatchInterval(now);
    if (due > now)
      consider(due);
    // A paused or ejected upstream may be usable again, or a probe due.
    consider(now + PauseAfterFull);
  }
  return wake;
}

Duration PieceBatcher::backlog(TimePoint now) const {
  const auto batch = static_cast<std::size_t>(limits_.batch);
  const auto calls =
      static_cast<std::int64_t>((queuedPieces() + batch) / batch);
  return expectedCallTime(batch) * calls /
         static_cast<std::int64_t>(usableUpstreams(now));
}

} // namespace auburnspring
