#include "auburnspring/serving/piece_desk.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Results are freed together, so that one call serves many.
constexpr Duration FreeInterval = std::chrono::milliseconds(15);
constexpr Duration FreeTimeout = std::chrono::milliseconds(1000);
/// A batch whose upstream is silent for so many times its expected duration is
/// given up; its pieces went elsewhere long before.
constexpr std::int64_t GiveUpFactor = 8;
/// A gathering host that owes an answer and is silent is asked after this time,
/// and passed over when it does not answer the question either.
constexpr Duration AskAfter = std::chrono::milliseconds(250);
constexpr Duration AnswerWithin = std::chrono::milliseconds(500);
/// The same if its connection has ended: a process that lives answers on a new
/// one within a few round trips.
constexpr Duration AnswerSoon = std::chrono::milliseconds(120);
/// A job without an outcome is handed over again, in case a message was lost.
constexpr Duration HandAgainAfter = std::chrono::milliseconds(1500);
constexpr std::size_t MaxAnswerBytes = 4 << 20;
/// A pool that falls to another host is handed over after this time, in which
/// all hosts have come to see it so.
constexpr Duration HandOverAfter = std::chrono::milliseconds(300);

} // namespace

PieceDesk::PieceDesk(asio::io_context &io, const Dialect *dialect,
                     PeerNetwork *peers, const UpstreamRegistry *registry,
                     PoolLimits limits)
    : io_(io), dialect_(dialect), peers_(peers), registry_(registry),
      limits_(std::move(limits)), freeTimer_(io) {}

void PieceDesk::submit(PieceJob job, Done done) {
  job.host = peers_->self();
  const JobKey key{job.requestId, job.stage};
  Outstanding &entry = outstanding_[key];
  entry = {std::move(job), "", TimePoint(), std::move(done)};
  const TimePoint now = steadyNow();
  hand(&entry, peers_->preferred(entry.job.pool, now), now);
}

void PieceDesk::hand(Outstanding *entry, const std::string &gatherer,
                     TimePoint now) {
  entry->gatherer = gatherer;
  entry->sentAt = now;
  if (entry->gatherer == peers_->self()) {
    const std::string pool = entry->job.pool;
    gathering(pool).gatherer.submit(entry->job, now);
    return pump(pool);
  }
  PieceSubmit message;
  message.jobs.push_back(
      {entry->job, entry->job.goalAt - now, entry->job.deadline - now});
  peers_->send(entry->gatherer, std::move(message));
}

void PieceDesk::withdraw(const std::string &requestId) {
  auto entry = outstanding_.lower_bound({requestId, 0});
  while (entry != outstanding_.end() && entry->first.first == requestId) {
    const Outstanding &job = entry->second;
    if (job.gatherer != peers_->self()) {
      peers_->send(job.gatherer, PieceWithdraw{job.job.pool, requestId});
    } else if (const auto found = gatherings_.find(job.job.pool);
               found != gatherings_.end()) {
      found->second->gatherer.withdraw(peers_->self(), requestId);
      freeResults(found->second->gatherer.takeOrphans());
    }
    entry = outstanding_.erase(entry);
  }
}

void PieceDesk::release(const std::string &pool,
                        std::vector<std::string> results) {
  if (results.empty())
    return;
  const std::string gatherer = peers_->preferred(pool, steadyNow());
  PieceRelease message{pool, std::move(results)};
  if (gatherer == peers_->self())
    return onRelease(message);
  peers_->send(gatherer, std::move(message));
}

void PieceDesk::handOver() {
  const TimePoint now = steadyNow();
  for (auto &entry : gatherings_) {
    const std::string next = peers_->preferred(entry.first, now);
    if (next != peers_->self())
      handOver(entry.second.get(), next, now);
  }
}

void PieceDesk::handOver(Gathering *gathering, const std::string &next,
                         TimePoint now) {
  PieceGatherer &gatherer = gathering->gatherer;
  PieceSubmit message;
  message.pool = gatherer.pool();
  message.upstreams = gatherer.upstreamStates(now);
  for (PieceJob &job : gatherer.takeIdleJobs()) {
    const Duration goalIn = job.goalAt - now;
    const Duration deadlineIn = job.deadline - now;
    message.jobs.push_back({std::move(job), goalIn, deadlineIn});
  }
  logEvent(LogLevel::Info, "gathering_handed_over",
           {{"pool", gatherer.pool()},
            {"to", next},
            {"jobs", static_cast<unsigned long>(message.jobs.size())}});
  peers_->send(next, std::move(message));
}

void PieceDesk::handOverTaken(TimePoint now) {
  for (auto &entry : gatherings_) {
    Gathering *here = entry.second.get();
    const std::string next = peers_->preferred(entry.first, now);
    if (next == peers_->self()) {
      here->takenSince.reset();
    } else if (!here->takenSince) {
      here->takenSince = now;
    } else if (now >= *here->takenSince + HandOverAfter &&
               here->gatherer.hasIdleJobs()) {
      here->takenSince = now;
      handOver(here, next, now);
    }
  }
}

void PieceDesk::releaseWhereMade(const std::vector<std::string> &results) {
  std::map<std::string, std::vector<std::string>> byPool;
  for (const std::string &result : results)
    if (const auto endpoint = dialect_->resultEndpoint(result))
      if (const ServedUpstreamPtr maker = registry_->at(*endpoint))
        byPool[maker->entry.pool].push_back(result);
  for (auto &entry : byPool)
    release(entry.first, std::move(entry.second));
}

void PieceDesk::onSubmit(const std::string &from, const PieceSubmit &message) {
  const TimePoint now = steadyNow();
  if (!message.upstreams.empty())
    gathering(message.pool).gatherer.adopt(message.upstreams, now);
  for (const PieceSubmit::Entry &entry : message.jobs) {
    PieceJob job = entry.job;
    // Jobs that are handed over still belong to the host that serves them.
    if (job.host.empty())
      job.host = from;
    job.goalAt = now + entry.goalIn;
    job.deadline = now + entry.deadlineIn;
    const std::string pool = job.pool;
    gathering(pool).gatherer.submit(std::move(job), now);
    pump(pool);
  }
}

void PieceDesk::onWithdraw(const std::string &from,
                           const PieceWithdraw &message) {
  const auto found = gatherings_.find(message.pool);
  if (found == gatherings_.end())
    return;
  found->second->gatherer.withdraw(from, message.requestId);
  freeResults(found->second->gatherer.takeOrphans());
}

void PieceDesk::onRelease(const PieceRelease &message) {
  freeResults(message.results);
}

void PieceDesk::onOutcomes(PieceOutcomes message) {
  for (PieceOutcome &outcome : message.outcomes)
    deliver(std::move(outcome));
}

void PieceDesk::deliver(PieceOutcome outcome) {
  if (outcome.host != peers_->self()) {
    PieceOutcomes message;
    const std::string host = outcome.host;
    message.outcomes.push_back(std::move(outcome));
    return peers_->send(host, std::move(message));
  }
  const auto found = outstanding_.find({outcome.requestId, outcome.stage});
  if (found == outstanding_.end() || found->second.job.round != outcome.round) {
    // The request is over, or another host was faster.
    return freeResults(outcome.results);
  }
  const Done done = std::move(found->second.done);
  outstanding_.erase(found);
  done(std::move(outcome));
}

PieceDesk::Gathering &PieceDesk::gathering(const std::string &pool) {
  std::unique_ptr<Gathering> &found = gatherings_[pool];
  if (!found) {
    found = std::make_unique<Gathering>(io_, pool);
    logEvent(LogLevel::Info, "gathering_begun", {{"pool", pool}});
  }
  if (const BatchLimits *limits = limits_(pool))
    found->gatherer.setLimits(*limits);
  if (found->upstreamsAt != registry_->changes() + 1) {
    found->upstreamsAt = registry_->changes() + 1;
    found->gatherer.setUpstreams(registry_->pool(pool));
  }
  return *found;
}

void PieceDesk::onUpstreamsChanged() {
  std::vector<std::string> pools;
  for (const auto &entry : gatherings_)
    pools.push_back(entry.first);
  for (const std::string &pool : pools) {
    gathering(pool);
    pump(pool);
  }
}

void PieceDesk::pump(const std::string &pool) {
  const TimePoint now = steadyNow();
  Gathering &here = gathering(pool);
  for (const PieceBatch &batch : here.gatherer.dispatch(now))
    startBatch(pool, batch);
  freeResults(here.gatherer.takeOrphans());
  releaseWhereMade(here.gatherer.takeFetchedInputs(now));
  for (PieceOutcome &outcome : here.gatherer.takeOutcomes())
    deliver(std::move(outcome));
  schedulePump(&here, steadyNow());
}

void PieceDesk::schedulePump(Gathering *gathering, TimePoint now) {
  const std::optional<TimePoint> wake = gathering->gatherer.nextWake(now);
  if (!wake)
    return;
  gathering->timer.expires_at(*wake);
  gathering->timer.async_wait(
      [this, pool = gathering->gatherer.pool()](asio::error_code error) {
        if (!error)
          pump(pool);
      });
}

void PieceDesk::startBatch(const std::string &pool, const PieceBatch &batch) {
  const std::uint64_t number = nextBatch_++;
  BatchCall &call = batches_[number];
  call.pool = pool;
  call.items = batch.items.size();
  call.startedAt = steadyNow();
  call.upstream = batch.upstream->entry.id;
  ++counters_.batches;
  counters_.pieces += batch.items.size();
  const std::string body = dialect_->batchBody(batch.items);
  http::CallOptions options;
  options.endpoint = batch.upstream->entry.endpoint;
  http::CallEvents events;
  events.onHead = [this, number](const http::ResponseHead &head) {
    BatchCall &entry = batches_.at(number);
    entry.status = head.status;
    entry.notRun = dialect_->readAnswer(head).isNotRun;
  };
  events.onBody = [this, number](std::string_view bytes) {
    BatchCall &entry = batches_.at(number);
    if (entry.body.size() < MaxAnswerBytes)
      entry.body.append(bytes);
  };
  call.timer = std::make_unique<asio::steady_timer>(io_);
  events.onEnd = [this, number](http::CallEnd end, std::string_view why) {
    endBatch(number, end, why);
  };
  const BatchLimits *limits = limits_(pool);
  const Duration expected =
      limits == nullptr
          ? Duration(std::chrono::milliseconds(500))
          : limits->callTime +
                limits->itemTime * static_cast<std::int64_t>(call.items);
  call.timer->expires_after(expected * GiveUpFactor);
  call.timer->async_wait([this, number](asio::error_code error) {
    if (!error)
      endBatch(number, http::CallEnd::Broken, "silent");
  });
  logEvent(LogLevel::Info, "batch_sent",
           {{"pool", pool},
            {"batch", static_cast<unsigned long>(number)},
            {"upstream", call.upstream},
            {"pieces", static_cast<unsigned long>(call.items)},
            {"far", static_cast<unsigned long>(batch.farPieces)},
            {"waiting", static_cast<unsigned long>(
                            gatherings_.at(pool)->gatherer.waitingPieces())}});
  call.gathererNumber = batch.number;
  call.call = std::make_unique<http::ClientCall>(io_, std::move(options),
                                                 std::move(events));
  call.call->start(dialect_->batchHead(*batch.upstream, body.size()), body);
}

void PieceDesk::endBatch(std::uint64_t number, http::CallEnd end,
                         std::string_view why) {
  const auto found = batches_.find(number);
  if (found == batches_.end())
    return;
  BatchCall call = std::move(found->second);
  batches_.erase(found);
  call.timer->cancel();
  BatchEnd how = BatchEnd::Broken;
  std::vector<PieceResult> results;
  std::string text(why);
  if (end == http::CallEnd::NotSent ||
      (end == http::CallEnd::Complete && call.notRun)) {
    how = BatchEnd::NotRun;
  } else if (end == http::CallEnd::Complete && call.status == 200) {
    absl::StatusOr<std::vector<PieceResult>> read =
        dialect_->readBatch(call.body);
    if (read.ok() && read->size() == call.items) {
      how = BatchEnd::Answered;
      results = *std::move(read);
    } else {
      text = "malformed answer";
    }
  }
  const auto failed =
      std::count_if(results.begin(), results.end(), [](const PieceResult &r) {
        return r.kind != PieceResult::Kind::Result;
      });
  if (how == BatchEnd::Broken)
    ++counters_.brokenBatches;
  if (how != BatchEnd::Answered || failed > 0)
    logEvent(LogLevel::Warning, "batch_failed",
             {{"pool", call.pool},
              {"batch", static_cast<unsigned long>(number)},
              {"upstream", call.upstream},
              {"status", call.status},
              {"not_run", how == BatchEnd::NotRun},
              {"failed_pieces", static_cast<long>(failed)},
              {"pieces", static_cast<unsigned long>(call.items)},
              {"why", text},
              {"ms", toMillis(steadyNow() - call.startedAt)}});
  gathering(call.pool).gatherer.onBatchEnd(call.gathererNumber, how, results,
                                           steadyNow());
  pump(call.pool);
}

void PieceDesk::freeResults(const std::vector<std::string> &results) {
  for (const std::string &result : results)
    if (const std::optional<Endpoint> at = dialect_->resultEndpoint(result))
      toFree_[toString(*at)].push_back(result);
  if (toFree_.empty() || freeScheduled_)
    return;
  freeScheduled_ = true;
  freeTimer_.expires_after(FreeInterval);
  freeTimer_.async_wait([this](asio::error_code error) {
    freeScheduled_ = false;
    if (!error)
      flushReleases();
  });
}

void PieceDesk::flushReleases() {
  for (auto &entry : std::exchange(toFree_, {})) {
    const std::optional<Endpoint> endpoint = parseEndpoint(entry.first);
    // A reused address belongs to an upstream that knows none of the results.
    if (!endpoint || registry_->at(*endpoint) == nullptr)
      continue;
    const std::uint64_t number = nextRelease_++;
    const auto done = [this, number, results = entry.second] {
      releases_.erase(number);
      // Only now is the room at the upstream free.
      for (auto &gathering : gatherings_)
        gathering.second->gatherer.release(results);
    };
    http::CallOptions options;
    options.endpoint = *endpoint;
    ReleaseCall &release = releases_[number];
    release.timer = std::make_unique<asio::steady_timer>(io_, FreeTimeout);
    release.timer->async_wait([done](asio::error_code error) {
      if (!error)
        done();
    });
    http::CallEvents events;
    events.onEnd = [done](http::CallEnd, std::string_view) { done(); };
    release.call = std::make_unique<http::ClientCall>(io_, std::move(options),
                                                      std::move(events));
    const std::string body = dialect_->releaseBody(entry.second);
    release.call->start(dialect_->releaseHead(*endpoint, body.size()), body);
  }
}

void PieceDesk::pingSilentGatherers(TimePoint now) {
  for (const auto &entry : outstanding_) {
    const std::string &host = entry.second.gatherer;
    if (host == peers_->self() || !peers_->isHeard(host, now))
      continue;
    const TimePoint heard = std::max(
        peers_->lastHeard(host).value_or(TimePoint()), entry.second.sentAt);
    Question &question = questions_[host];
    if (heard > question.askedAt && now > heard + AskAfter) {
      question = {now, AnswerWithin};
      peers_->send(host, GathererPing{false});
    } else if (question.askedAt > heard &&
               now > question.askedAt + question.answerWithin) {
      peers_->suspect(host, now);
    }
  }
}

void PieceDesk::onPeerLost(const std::string &host) {
  const bool owesJobs = std::any_of(
      outstanding_.begin(), outstanding_.end(),
      [&](const auto &entry) { return entry.second.gatherer == host; });
  if (!owesJobs)
    return;
  questions_[host] = {steadyNow(), AnswerSoon};
  peers_->send(host, GathererPing{false});
}

void PieceDesk::tick(TimePoint now) {
  pingSilentGatherers(now);
  handOverTaken(now);
  std::vector<JobKey> stranded;
  for (const auto &entry : outstanding_)
    // A host that leaves still ends the jobs that it has in a call.
    if (!peers_->isHeard(entry.second.gatherer, now) ||
        now > entry.second.sentAt + HandAgainAfter)
      stranded.push_back(entry.first);
  for (const JobKey &key : stranded) {
    const auto found = outstanding_.find(key);
    if (found == outstanding_.end())
      continue;
    ++counters_.resubmitted;
    // While its host lives another one would do the work a second time.
    Outstanding &entry = found->second;
    hand(&entry,
         peers_->isHeard(entry.gatherer, now)
             ? entry.gatherer
             : peers_->preferred(entry.job.pool, now),
         now);
  }
}

} // namespace auburnspring
