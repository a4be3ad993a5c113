#include "auburnspring/decision/piece_gatherer.h"

#include "auburnspring/decision/upstream_health.h"
#include <algorithm>

namespace auburnspring {

namespace {

/// Weight of the newest call in an upstream's slowness and in the typical size
/// of a batch.
constexpr double NewestWeight = 0.5;
/// A call that takes this many times its expected duration, and a little, is
/// overdue: its pieces are also given to another upstream.
constexpr double OverdueFactor = 1.6;
constexpr Duration OverdueSlack = std::chrono::milliseconds(80);
/// An upstream that is this many times slower than expected gets work only if
/// the work can wait for it.
constexpr double SlowFactor = 1.5;
/// A slow upstream is tried again after this time.
constexpr Duration SlowRetryAfter = std::chrono::milliseconds(1500);
constexpr Duration PauseWhenFull = std::chrono::milliseconds(60);
constexpr Duration PauseWhenBroken = std::chrono::milliseconds(700);
/// An upstream fetches a call's inputs at the start of its turn, which is when
/// the call arrives. A link of these carries a full batch's inputs in a quarter
/// of this time.
constexpr Duration FetchTime = std::chrono::milliseconds(60);
/// A call that takes this many times its usual duration, and a little, has
/// waited at its upstream for one that another host sent.
constexpr double DelayFactor = 1.2;
constexpr Duration DelaySlack = std::chrono::milliseconds(40);
/// Calls may still have to wait at an upstream for so long after one did.
constexpr Duration DelayMemory = std::chrono::seconds(2);
/// A job waits at most this long, and this share of its slack, for an upstream
/// near its inputs or near where its results are needed.
constexpr Duration LongestNearWait = std::chrono::milliseconds(300);
constexpr std::int64_t NearWaitSlackShare = 3;
/// A job ranks so much lower at an upstream that is not near: its inputs or
/// results would travel between data centres.
constexpr double FarShare = 0.4;
/// Jobs that are late, calls that are overdue and results that have expired are
/// looked for at this interval, whatever the number of jobs.
constexpr Duration HouseInterval = std::chrono::milliseconds(10);
/// While there are jobs the gatherer looks at them at least this often.
constexpr Duration IdleInterval = std::chrono::milliseconds(25);
/// Failures of its pieces after which a job is given up.
constexpr std::int64_t MaxJobFailures = 24;
/// A request that misses its goal is worth this share of its credit.
constexpr double LateShare = 0.15;
/// One place of so many in a batch goes to the oldest job.
constexpr std::size_t PlacesPerOldest = 6;
/// A job that has been late for so long is told so: it was only waiting for
/// places that nobody else needed.
constexpr Duration LateLimit = std::chrono::milliseconds(700);
/// Results that others hold at an upstream are taken to be freed within this
/// time.
constexpr Duration ForeignLife = std::chrono::milliseconds(1500);
/// Share of an upstream's room that results may fill by this host's count.
constexpr double RoomShare = 0.95;

Duration scaled(Duration span, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

} // namespace

PieceGatherer::JobKey PieceGatherer::keyOf(const PieceJob &job) {
  return {job.host, {job.requestId, job.stage}};
}

std::string PieceGatherer::lifeOf(const ServedUpstream &upstream) {
  return upstream.entry.id + "/" + std::to_string(upstream.entry.bornMillis);
}

void PieceGatherer::setUpstreams(std::vector<ServedUpstreamPtr> upstreams) {
  std::map<std::string, Worker> next;
  for (ServedUpstreamPtr &upstream : upstreams) {
    // A new life under an old id holds nothing of before.
    const std::string key = lifeOf(*upstream);
    const auto known = workers_.find(key);
    Worker &worker = next[key];
    if (known != workers_.end())
      worker = std::move(known->second);
    worker.upstream = std::move(upstream);
  }
  // Calls that are under way at an upstream that leaves still end there.
  for (auto &entry : workers_)
    if (entry.second.upstream && entry.second.calls > 0 &&
        next.count(entry.first) == 0)
      next[entry.first] = std::move(entry.second);
  workers_ = std::move(next);
}

void PieceGatherer::submit(PieceJob job, TimePoint now) {
  const JobKey key = keyOf(job);
  const auto known = jobs_.find(key);
  if (known != jobs_.end() && known->second.job.round >= job.round)
    return;
  Job entry;
  entry.since = now;
  entry.results.resize(job.pieces);
  for (std::uint32_t piece = 0; piece < job.pieces; ++piece)
    entry.waiting.push_back(piece);
  entry.job = std::move(job);
  if (known != jobs_.end())
    eraseJob(known);
  waitingPieces_ += entry.waiting.size();
  jobs_[key] = std::move(entry);
}

void PieceGatherer::eraseJob(std::map<JobKey, Job>::iterator job) {
  waitingPieces_ -= job->second.waiting.size();
  jobs_.erase(job);
}

void PieceGatherer::withdraw(const std::string &host,
                             const std::string &requestId) {
  auto job = jobs_.lower_bound({host, {requestId, 0}});
  while (job != jobs_.end() && job->first.first == host &&
         job->first.second.first == requestId) {
    for (const std::string &handle : job->second.results)
      if (!handle.empty())
        orphans_.push_back(handle);
    eraseJob(job++);
  }
}

Duration PieceGatherer::expectedCall(std::size_t pieces) const {
  return limits_.callTime +
         limits_.itemTime * static_cast<std::int64_t>(pieces);
}

std::size_t PieceGatherer::usableWorkers(TimePoint now) const {
  std::size_t count = 0;
  for (const auto &entry : workers_)
    if (entry.second.upstream->takesWork(now) &&
        entry.second.slowness < SlowFactor)
      ++count;
  return std::max<std::size_t>(count, 1);
}

Duration PieceGatherer::spacing(TimePoint now) const {
  return expectedCall(static_cast<std::size_t>(typicalBatch_)) /
         static_cast<std::int64_t>(usableWorkers(now));
}

bool PieceGatherer::canServe(const Worker &worker, TimePoint now) const {
  return worker.upstream->takesWork(now) && worker.calls < limits_.slots &&
         now >= worker.pausedUntil;
}

bool PieceGatherer::hasUsableNear(const std::string &dataCentre,
                                  TimePoint now) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto &entry) {
    return entry.second.upstream->entry.dataCentre == dataCentre &&
           entry.second.upstream->takesWork(now) &&
           entry.second.slowness < SlowFactor;
  });
}

bool PieceGatherer::mayQueue(const Worker &worker, TimePoint now) {
  return !worker.answeredAt ||
         (worker.delayedAt && now < *worker.delayedAt + DelayMemory);
}

bool PieceGatherer::isNear(const Job &job, const Worker &worker) {
  const std::string &near = job.job.nearDataCentre;
  return near.empty() || near == worker.upstream->entry.dataCentre;
}

bool PieceGatherer::mayRunAt(const Job &job, const Worker &worker,
                             TimePoint now) const {
  if (isNear(job, worker))
    return true;
  const Duration slack = job.job.goalAt - now -
                         expectedCall(static_cast<std::size_t>(typicalBatch_));
  const Duration wait = std::min(LongestNearWait, slack / NearWaitSlackShare);
  return now >= job.since + wait || !hasUsableNear(job.job.nearDataCentre, now);
}

PieceGatherer::Worker *PieceGatherer::pickWorker(TimePoint now) {
  Worker *best = nullptr;
  std::size_t bestPieces = 0;
  for (auto &entry : workers_) {
    Worker &worker = entry.second;
    if (!canServe(worker, now))
      continue;
    const bool isFull =
        waitingPieces_ >= static_cast<std::size_t>(limits_.batch) * 4;
    // With so much waiting each upstream finds a full batch.
    if (isFull && worker.slowness < SlowFactor)
      return &worker;
    // A slow upstream is only tried again now and then.
    if (worker.slowness >= SlowFactor &&
        now < worker.lastCallAt + SlowRetryAfter)
      continue;
    std::size_t pieces = 0;
    for (const auto &job : jobs_)
      if (!job.second.waiting.empty() && mayRunAt(job.second, worker, now))
        pieces += job.second.waiting.size();
    const bool isBetter =
        pieces > bestPieces || (pieces == bestPieces && best != nullptr &&
                                worker.heldBytes < best->heldBytes);
    if (pieces == 0 || !isBetter)
      continue;
    best = &worker;
    bestPieces = pieces;
  }
  return best;
}

std::int64_t PieceGatherer::freeBytes(const Worker &worker,
                                      TimePoint now) const {
  const auto room = static_cast<std::int64_t>(
      static_cast<double>(limits_.roomBytes) * RoomShare);
  const double age = std::min(1.0, toMillis(now - worker.foreignSince) /
                                       toMillis(ForeignLife));
  const auto foreign = static_cast<std::int64_t>(
      static_cast<double>(worker.foreignBytes) * (1 - age));
  return room - worker.heldBytes - worker.promisedBytes - foreign;
}

bool PieceGatherer::isInTime(const Job &job, TimePoint now) const {
  return now + expectedCall(static_cast<std::size_t>(typicalBatch_)) <=
         job.job.goalAt;
}

std::vector<PieceGatherer::Job *> PieceGatherer::ranked(const Worker &worker,
                                                        TimePoint now) {
  struct Ranked {
    Job *job;
    double rank;
  };
  std::vector<Ranked> order;
  for (auto &entry : jobs_) {
    Job &job = entry.second;
    if (job.waiting.empty() || !mayRunAt(job, worker, now))
      continue;
    // A job that has begun costs only its remaining pieces.
    const double begun = static_cast<double>(job.job.pieces) /
                         static_cast<double>(job.waiting.size());
    order.push_back({&job, job.job.density * begun *
                               (isInTime(job, now) ? 1.0 : LateShare) *
                               (isNear(job, worker) ? 1.0 : FarShare)});
  }
  std::stable_sort(
      order.begin(), order.end(), [](const Ranked &a, const Ranked &b) {
        return a.rank != b.rank ? a.rank > b.rank : a.job->since < b.job->since;
      });
  std::vector<Job *> jobs;
  jobs.reserve(order.size());
  for (const Ranked &entry : order)
    jobs.push_back(entry.job);
  return jobs;
}

void PieceGatherer::takePieces(Job *job, std::size_t room, Worker *worker,
                               PieceBatch *batch, Call *call, TimePoint now) {
  // A job is split only if it can't be helped: half a job is of no use yet.
  const bool fits = job->waiting.size() <= room - batch->items.size();
  if (!fits && !batch->items.empty())
    return;
  while (!job->waiting.empty() && batch->items.size() < room) {
    // A result that is larger than the whole room is tried at an empty one.
    const bool isEmpty = worker->heldBytes + worker->promisedBytes == 0;
    if (limits_.roomBytes > 0 && !isEmpty &&
        job->job.resultBytes > freeBytes(*worker, now))
      return;
    const std::uint32_t piece = job->waiting.back();
    job->waiting.pop_back();
    --waitingPieces_;
    batch->items.push_back({job->job.requestId, job->job.stage, piece,
                            job->job.deadline - now, job->job.key,
                            job->job.inputs});
    call->items.push_back({keyOf(job->job), job->job.round, piece});
    worker->promisedBytes += job->job.resultBytes;
    if (!isNear(*job, *worker))
      ++batch->farPieces;
  }
  job->sentAt = now;
  job->fetchesLate = job->fetchesLate || mayQueue(*worker, now);
}

PieceBatch PieceGatherer::fill(Worker *worker, const std::vector<Job *> &order,
                               TimePoint now) {
  PieceBatch batch;
  batch.number = nextBatch_++;
  batch.upstream = worker->upstream;
  Call call;
  call.upstream = lifeOf(*worker->upstream);
  call.since = now;
  // One piece is enough to learn whether a slow upstream has recovered.
  const auto size = worker->slowness >= SlowFactor
                        ? std::size_t{1}
                        : static_cast<std::size_t>(limits_.batch);
  const std::size_t forOldest = size / PlacesPerOldest;
  for (Job *job : order)
    takePieces(job, std::max<std::size_t>(size - forOldest, 1), worker, &batch,
               &call, now);
  // What is left goes to those in time whose goal is nearest, then to the rest
  // by rank.
  std::vector<Job *> urgent;
  for (Job *job : order)
    if (isInTime(*job, now))
      urgent.push_back(job);
  std::stable_sort(
      urgent.begin(), urgent.end(),
      [](const Job *a, const Job *b) { return a->job.goalAt < b->job.goalAt; });
  for (Job *job : urgent)
    takePieces(job, size, worker, &batch, &call, now);
  for (Job *job : order)
    takePieces(job, size, worker, &batch, &call, now);
  if (batch.items.empty())
    return batch;
  call.expected = expectedCall(batch.items.size());
  ++worker->calls;
  worker->lastCallAt = now;
  typicalBatch_ +=
      (static_cast<double>(batch.items.size()) - typicalBatch_) * NewestWeight;
  calls_[batch.number] = std::move(call);
  return batch;
}

void PieceGatherer::dropHopeless(TimePoint now) {
  std::vector<JobKey> hopeless;
  for (const auto &entry : jobs_) {
    const Job &job = entry.second;
    if (job.waiting.empty())
      continue;
    const TimePoint lateFrom =
        std::max(job.since, job.job.goalAt - limits_.callTime);
    if (now + limits_.callTime > job.job.deadline || now > lateFrom + LateLimit)
      hopeless.push_back(entry.first);
  }
  for (const JobKey &key : hopeless)
    finish(key, PieceVerdict::Hopeless);
}

void PieceGatherer::requeueOverdue(TimePoint now) {
  for (auto &entry : calls_) {
    Call &call = entry.second;
    if (call.overdue ||
        now < call.since + scaled(call.expected, OverdueFactor) + OverdueSlack)
      continue;
    call.overdue = true;
    const auto worker = workers_.find(call.upstream);
    if (worker != workers_.end())
      worker->second.slowness = std::max(worker->second.slowness, SlowFactor);
    // Without their inputs the pieces can only wait where they are.
    for (const InCall &item : call.items) {
      const auto job = jobs_.find(item.job);
      if (job != jobs_.end() && !job->second.inputsFreed)
        requeue(item, true);
    }
  }
}

void PieceGatherer::keepHouse(TimePoint now) {
  if (now < housekeptAt_ + HouseInterval)
    return;
  housekeptAt_ = now;
  lastBacklog_ = backlog(now);
  dropHopeless(now);
  requeueOverdue(now);
  forgetExpired(now);
}

std::vector<PieceBatch> PieceGatherer::dispatch(TimePoint now) {
  std::vector<PieceBatch> batches;
  keepHouse(now);
  while (waitingPieces_ > 0) {
    const bool isFull =
        waitingPieces_ >= static_cast<std::size_t>(limits_.batch);
    if (!isFull && now < lastDispatch_ + spacing(now))
      break;
    Worker *worker = pickWorker(now);
    if (worker == nullptr)
      break;
    PieceBatch batch = fill(worker, ranked(*worker, now), now);
    if (batch.items.empty()) {
      // It has no room for any piece that waits.
      worker->pausedUntil = now + PauseWhenFull;
      continue;
    }
    batches.push_back(std::move(batch));
    lastDispatch_ = now;
  }
  return batches;
}

void PieceGatherer::requeue(const InCall &item, bool counts) {
  const auto found = jobs_.find(item.job);
  if (found == jobs_.end() || found->second.job.round != item.round)
    return;
  Job &job = found->second;
  if (!job.results[item.piece].empty() ||
      std::find(job.waiting.begin(), job.waiting.end(), item.piece) !=
          job.waiting.end())
    return;
  if (job.inputsFreed)
    return finish(item.job, PieceVerdict::InputsGone);
  job.waiting.push_back(item.piece);
  ++waitingPieces_;
  if (counts && ++job.failures > MaxJobFailures)
    finish(item.job, PieceVerdict::Failed);
}

void PieceGatherer::onBatchEnd(std::uint64_t number, BatchEnd end,
                               const std::vector<PieceResult> &results,
                               TimePoint now) {
  const auto found = calls_.find(number);
  if (found == calls_.end())
    return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  const auto at = workers_.find(call.upstream);
  Worker *worker = at == workers_.end() ? nullptr : &at->second;
  if (worker != nullptr) {
    --worker->calls;
    for (const InCall &item : call.items) {
      const auto job = jobs_.find(item.job);
      if (job != jobs_.end())
        worker->promisedBytes -= job->second.job.resultBytes;
    }
    if (worker->calls == 0)
      worker->promisedBytes = 0;
  }
  if (end == BatchEnd::Answered && results.size() == call.items.size()) {
    if (worker != nullptr) {
      const double ratio = toMillis(now - call.since) / toMillis(call.expected);
      if (now - call.since >
          scaled(call.expected, worker->slowness * DelayFactor) + DelaySlack)
        worker->delayedAt = now;
      worker->answeredAt = now;
      worker->slowness += (ratio - worker->slowness) * NewestWeight;
      noteAnswered(worker->upstream.get(), now - call.since, now);
    }
    for (std::size_t i = 0; i < results.size(); ++i)
      onPiece(call.items[i], results[i], worker, now);
    return;
  }
  if (worker != nullptr) {
    worker->pausedUntil =
        now + (end == BatchEnd::NotRun ? PauseWhenFull : PauseWhenBroken);
    if (end == BatchEnd::Broken)
      noteFailed(worker->upstream.get(), now);
  }
  for (const InCall &item : call.items)
    requeue(item, end == BatchEnd::Broken && !call.overdue);
}

void PieceGatherer::onPiece(const InCall &item, const PieceResult &result,
                            Worker *worker, TimePoint now) {
  switch (result.kind) {
  case PieceResult::Kind::Result:
    return keepResult(item, result.handle, worker, now);
  case PieceResult::Kind::Late: {
    const auto job = jobs_.find(item.job);
    if (job != jobs_.end() && job->second.job.round == item.round)
      finish(item.job, PieceVerdict::Hopeless);
    return;
  }
  case PieceResult::Kind::InputsGone: {
    if (worker != nullptr)
      worker->delayedAt = now;
    const auto job = jobs_.find(item.job);
    if (job != jobs_.end() && job->second.job.round == item.round)
      finish(item.job, PieceVerdict::InputsGone);
    return;
  }
  // Smaller batches would cost more than the pieces that find no room now and
  // then, so that the estimate of the room stays as announced.
  case PieceResult::Kind::NoRoom:
  case PieceResult::Kind::Error:
    return requeue(item, true);
  }
}

void PieceGatherer::keepResult(const InCall &item, const std::string &handle,
                               Worker *worker, TimePoint now) {
  const auto found = jobs_.find(item.job);
  if (found == jobs_.end() || found->second.job.round != item.round ||
      !found->second.results[item.piece].empty()) {
    orphans_.push_back(handle);
    return;
  }
  Job &job = found->second;
  if (worker != nullptr) {
    worker->held[handle] = {job.job.resultBytes, now};
    worker->heldBytes += job.job.resultBytes;
  }
  job.results[item.piece] = handle;
  waitingPieces_ -= job.waiting.size();
  job.waiting.erase(
      std::remove(job.waiting.begin(), job.waiting.end(), item.piece),
      job.waiting.end());
  waitingPieces_ += job.waiting.size();
  const bool isWhole =
      std::all_of(job.results.begin(), job.results.end(),
                  [](const std::string &result) { return !result.empty(); });
  if (isWhole)
    finish(item.job, PieceVerdict::Done);
}

void PieceGatherer::finish(const JobKey &key, PieceVerdict verdict) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end())
    return;
  waitingPieces_ -= found->second.waiting.size();
  Job job = std::move(found->second);
  jobs_.erase(found);
  PieceOutcome outcome;
  outcome.host = job.job.host;
  outcome.requestId = job.job.requestId;
  outcome.stage = job.job.stage;
  outcome.round = job.job.round;
  outcome.verdict = verdict;
  outcome.backlog = lastBacklog_;
  if (verdict == PieceVerdict::Done)
    outcome.results = std::move(job.results);
  else
    for (std::string &handle : job.results)
      if (!handle.empty())
        orphans_.push_back(std::move(handle));
  outcomes_.push_back(std::move(outcome));
}

void PieceGatherer::forgetExpired(TimePoint now) {
  for (auto &entry : workers_) {
    Worker &worker = entry.second;
    for (auto it = worker.held.begin(); it != worker.held.end();) {
      if (now < it->second.since + limits_.resultLife) {
        ++it;
        continue;
      }
      worker.heldBytes -= it->second.bytes;
      it = worker.held.erase(it);
    }
  }
}

void PieceGatherer::release(const std::vector<std::string> &handles) {
  for (auto &entry : workers_)
    for (const std::string &handle : handles) {
      const auto held = entry.second.held.find(handle);
      if (held == entry.second.held.end())
        continue;
      entry.second.heldBytes -= held->second.bytes;
      entry.second.held.erase(held);
    }
}

bool PieceGatherer::isIdle(const Job &job) {
  return job.waiting.size() == job.job.pieces;
}

bool PieceGatherer::hasIdleJobs() const {
  return std::any_of(jobs_.begin(), jobs_.end(),
                     [](const auto &entry) { return isIdle(entry.second); });
}

std::vector<PieceJob> PieceGatherer::takeIdleJobs() {
  std::vector<PieceJob> idle;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    if (!isIdle(it->second)) {
      ++it;
      continue;
    }
    idle.push_back(std::move(it->second.job));
    eraseJob(it++);
  }
  return idle;
}

std::vector<GatheredUpstream>
PieceGatherer::upstreamStates(TimePoint now) const {
  std::vector<GatheredUpstream> states;
  for (const auto &entry : workers_) {
    GatheredUpstream state{entry.first, Duration(0), entry.second.heldBytes,
                           entry.second.slowness};
    for (const auto &call : calls_)
      if (call.second.upstream == entry.first)
        state.busyFor = std::max(
            state.busyFor,
            call.second.since +
                scaled(call.second.expected, entry.second.slowness) - now);
    states.push_back(std::move(state));
  }
  return states;
}

void PieceGatherer::adopt(const std::vector<GatheredUpstream> &states,
                          TimePoint now) {
  for (const GatheredUpstream &state : states) {
    const auto found = workers_.find(state.life);
    if (found == workers_.end() || found->second.calls > 0)
      continue;
    Worker &worker = found->second;
    worker.pausedUntil = std::max(worker.pausedUntil, now + state.busyFor);
    worker.foreignBytes = state.heldBytes;
    worker.foreignSince = now;
    worker.slowness = std::max(worker.slowness, state.slowness);
    worker.lastCallAt = now;
  }
}

std::vector<PieceOutcome> PieceGatherer::takeOutcomes() {
  return std::exchange(outcomes_, {});
}

std::vector<std::string> PieceGatherer::takeOrphans() {
  return std::exchange(orphans_, {});
}

std::vector<std::string> PieceGatherer::takeFetchedInputs(TimePoint now) {
  std::vector<std::string> fetched;
  for (auto &entry : jobs_) {
    Job &job = entry.second;
    if (!job.job.ownsInputs || job.inputsFreed || job.fetchesLate ||
        !job.waiting.empty() || now < job.sentAt + FetchTime)
      continue;
    job.inputsFreed = true;
    fetched.insert(fetched.end(), job.job.inputs.begin(), job.job.inputs.end());
  }
  return fetched;
}

std::optional<TimePoint> PieceGatherer::nextWake(TimePoint now) const {
  std::optional<TimePoint> wake;
  const auto consider = [&](TimePoint at) {
    if (!wake || at < *wake)
      wake = at;
  };
  for (const auto &entry : calls_)
    if (!entry.second.overdue)
      consider(entry.second.since +
               scaled(entry.second.expected, OverdueFactor) + OverdueSlack);
  // Housekeeping finds the jobs that are late and the inputs that were fetched.
  if (!jobs_.empty())
    consider(now + IdleInterval);
  if (waitingPieces_ > 0) {
    const TimePoint due = lastDispatch_ + spacing(now);
    if (due > now)
      consider(due);
    // An upstream may be paused, ejected or about to be tried again.
    consider(now + PauseWhenFull);
  }
  return wake;
}

Duration PieceGatherer::backlog(TimePoint now) const {
  const auto batch = static_cast<std::size_t>(limits_.batch);
  const auto calls =
      static_cast<std::int64_t>((waitingPieces() + batch) / batch);
  return expectedCall(batch) * calls /
         static_cast<std::int64_t>(usableWorkers(now));
}

} // namespace auburnspring
