#include "auburnspring/decision/ledger.h"

#include <algorithm>

namespace auburnspring {

Ledger::Ledger(Options options)
    : options_(std::move(options)), shards_(options_.shards),
      random_(options_.seed) {}

std::size_t Ledger::shardOf(const std::string &key) const {
  return ledgerShard(key, shards_.size());
}

std::string Ledger::shardKey(std::size_t index) const {
  return ledgerPageKey(options_.keyPrefix, index);
}

void Ledger::claim(Claim claim, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Operation operation;
  operation.kind = OperationKind::Claim;
  operation.key = std::move(claim.key);
  operation.request = claim.request;
  operation.answerBy = claim.answerBy;
  operation.record.nonce = std::move(claim.nonce);
  operation.record.bodyDigest = std::move(claim.bodyDigest);
  operation.record.claimant = options_.host;
  operation.record.time = step->now.wall;
  if (pending_ >= options_.maxPending || step->now.steady < downUntil_)
    return decide(operation, ClaimVerdict::Unavailable, nullptr, step);
  add(std::move(operation), claim.refresh, step);
}

void Ledger::record(const std::string &key, const std::string &nonce,
                    const std::string &bodyDigest, Outcome outcome,
                    const std::string &answer, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Operation operation;
  operation.kind = OperationKind::Record;
  operation.key = key;
  operation.record.nonce = nonce;
  operation.record.bodyDigest = bodyDigest;
  operation.record.claimant = options_.host;
  operation.record.time = step->now.wall;
  operation.record.outcome = outcome;
  operation.record.answerKept = outcome == Outcome::Complete &&
                                answer.size() <= options_.maxKeptAnswerBytes;
  if (operation.record.answerKept)
    operation.record.answer = answer;
  add(std::move(operation), false, step);
}

void Ledger::release(const std::string &key, const std::string &nonce,
                     Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Operation operation;
  operation.kind = OperationKind::Release;
  operation.key = key;
  operation.record.nonce = nonce;
  add(std::move(operation), false, step);
}

bool Ledger::abandon(RequestId request, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::size_t i : active_) {
    for (Operation &operation : shards_[i].operations) {
      if (operation.kind != OperationKind::Claim ||
          operation.request != request)
        continue;
      withdraw(&operation);
      sweep(i);
      pump(i, step);
      return true;
    }
  }
  return false;
}

// A claim that no write has carried is forgotten. One that a write carries or
// may have carried turns into its own release.
void Ledger::withdraw(Operation *operation) {
  if (!operation->inWrite && !operation->lostAt) {
    operation->done = true;
    return;
  }
  operation->kind = OperationKind::Release;
}

void Ledger::sweep(std::size_t index) {
  auto &operations = shards_[index].operations;
  const auto first = std::remove_if(operations.begin(), operations.end(),
                                    [](const Operation &o) { return o.done; });
  pending_ -= static_cast<std::size_t>(operations.end() - first);
  operations.erase(first, operations.end());
  if (operations.empty())
    active_.erase(index);
}

void Ledger::noteService(bool answered, TimePoint now) {
  if (answered) {
    failuresInARow_ = 0;
    downUntil_ = TimePoint();
    return;
  }
  if (++failuresInARow_ >= options_.failuresUntilDown)
    downUntil_ = now + options_.downInterval;
}

void Ledger::add(Operation operation, bool refresh, Step *step) {
  const std::size_t index = shardOf(operation.key);
  Shard &shard = shards_[index];
  if (refresh && !shard.call)
    shard.known = false;
  shard.operations.push_back(std::move(operation));
  ++pending_;
  active_.insert(index);
  pump(index, step);
}

void Ledger::pump(std::size_t index, Step *step) {
  Shard &shard = shards_[index];
  if (shard.call || shard.operations.empty())
    return;
  if (step->now.steady < shard.notBefore)
    return;
  if (!shard.known)
    return startRead(index, step);
  LedgerPage page = shard.page;
  page.prune(step->now.wall - options_.retention);
  const bool changed = applyAll(&shard, &page, step);
  sweep(index);
  if (!changed)
    return;
  std::string value = encodePage(page);
  shard.writing = std::move(page);
  shard.writingBytes = value.size();
  shard.callIsWrite = true;
  shard.call = nextCall_++;
  calls_[*shard.call] = index;
  ++counters_.writes;
  step->act(CallKeyValue{
      {KvOwner::Ledger, *shard.call},
      KvPriority::Claim,
      {KvVerb::PutIf, shardKey(index), std::move(value), shard.revision}});
}

void Ledger::startRead(std::size_t index, Step *step) {
  Shard &shard = shards_[index];
  shard.callIsWrite = false;
  shard.call = nextCall_++;
  calls_[*shard.call] = index;
  ++counters_.reads;
  step->act(CallKeyValue{{KvOwner::Ledger, *shard.call},
                         KvPriority::Claim,
                         {KvVerb::Get, shardKey(index), "", 0}});
}

bool Ledger::applyAll(Shard *shard, LedgerPage *page, Step *step) {
  bool changed = false;
  for (Operation &operation : shard->operations) {
    operation.inWrite = apply(shard, page, &operation, step);
    changed = changed || operation.inWrite;
  }
  return changed;
}

bool Ledger::apply(Shard *shard, LedgerPage *page, Operation *operation,
                   Step *step) {
  switch (operation->kind) {
  case OperationKind::Claim:
    return applyClaim(shard, page, operation, step);
  case OperationKind::Record:
    return applyRecord(page, operation, step);
  case OperationKind::Release:
    return applyRelease(shard, page, operation);
  }
  return false;
}

bool Ledger::applyClaim(Shard *shard, LedgerPage *page, Operation *operation,
                        Step *step) {
  const auto found = page->records.find(operation->key);
  if (found == page->records.end()) {
    if (shard->pageBytes < options_.maxPageBytes) {
      page->records[operation->key] = operation->record;
      return true;
    }
    operation->done = true;
    decide(*operation, ClaimVerdict::Unavailable, nullptr, step);
    return false;
  }
  const LedgerRecord &present = found->second;
  // A claim of this very batch is not in force before the write succeeds, so
  // the second claimant waits for it.
  const auto stored = shard->page.records.find(operation->key);
  if (stored == shard->page.records.end())
    return false;
  operation->done = true;
  if (present.nonce == operation->record.nonce)
    decide(*operation, ClaimVerdict::Granted, nullptr, step);
  else if (present.bodyDigest != operation->record.bodyDigest)
    decide(*operation, ClaimVerdict::Mismatch, &present, step);
  else
    decide(*operation, ClaimVerdict::Taken, &present, step);
  return false;
}

bool Ledger::applyRecord(LedgerPage *page, Operation *operation, Step *step) {
  const auto found = page->records.find(operation->key);
  const bool foreign = found != page->records.end() &&
                       found->second.nonce != operation->record.nonce;
  const bool same = found != page->records.end() && !foreign &&
                    found->second.outcome == operation->record.outcome;
  if (foreign)
    step->act(WriteNote{
        NoteLevel::Warning,
        "ledger_record_foreign",
        {{"key", operation->key}, {"claimant", found->second.claimant}}});
  if (foreign || same) {
    operation->done = true;
    return false;
  }
  page->records[operation->key] = operation->record;
  return true;
}

bool Ledger::applyRelease(Shard *shard, LedgerPage *page,
                          Operation *operation) {
  const auto found = page->records.find(operation->key);
  const bool ours = found != page->records.end() &&
                    found->second.nonce == operation->record.nonce;
  if (ours && !found->second.outcome) {
    page->records.erase(found);
    return true;
  }
  // A lost write can land as long as the shard is at the revision it expects.
  // Any write moves the shard on and so rules it out.
  if (operation->lostAt && *operation->lostAt == shard->revision)
    return true;
  operation->done = true;
  return false;
}

void Ledger::decide(const Operation &operation, ClaimVerdict verdict,
                    const LedgerRecord *record, Step *step) {
  ClaimDecided decided;
  decided.request = operation.request;
  decided.verdict = verdict;
  if (record != nullptr) {
    decided.outcome = record->outcome;
    decided.claimant = record->claimant;
    decided.answer = record->answer;
    // Complete without its answer can't be relayed whole.
    if (record->outcome == Outcome::Complete && !record->answerKept)
      decided.outcome = Outcome::Unknown;
  }
  step->follow(std::move(decided));
}

void Ledger::finishWrite(Shard *shard, std::int64_t revision, Step *step) {
  shard->page = std::move(shard->writing);
  shard->pageBytes = shard->writingBytes;
  shard->writing = {};
  shard->revision = revision;
  shard->known = true;
  shard->backoff = Duration(0);
  shard->notBefore = step->now.steady + options_.writeSpacing;
  for (Operation &operation : shard->operations) {
    if (!operation.inWrite)
      continue;
    operation.inWrite = false;
    ++counters_.operationsWritten;
    if (operation.kind == OperationKind::Release) {
      // An abandoned claim has just landed; a release of a landed one is done.
      operation.lostAt.reset();
      const auto found = shard->page.records.find(operation.key);
      operation.done = found == shard->page.records.end() ||
                       found->second.nonce != operation.record.nonce;
      continue;
    }
    operation.done = true;
    if (operation.kind == OperationKind::Claim)
      decide(operation, ClaimVerdict::Granted, nullptr, step);
  }
}

void Ledger::loseWrite(Shard *shard) {
  ++counters_.unknownWrites;
  shard->known = false;
  shard->writing = {};
  for (Operation &operation : shard->operations) {
    if (!operation.inWrite)
      continue;
    operation.inWrite = false;
    operation.lostAt = shard->revision;
  }
}

void Ledger::adopt(Shard *shard, const KvReply &reply, Step *step) {
  const absl::StatusOr<LedgerPage> page =
      decodePage(reply.revision == 0 ? "" : reply.value);
  if (!page.ok()) {
    shard->known = false;
    step->act(WriteNote{NoteLevel::Warning,
                        "ledger_page_unreadable",
                        {{"error", std::string(page.status().message())}}});
    return backOff(shard, step->now.steady);
  }
  shard->page = *page;
  shard->pageBytes = reply.value.size();
  shard->revision = reply.revision;
  shard->known = true;
  shard->backoff = Duration(0);
}

void Ledger::backOff(Shard *shard, TimePoint now) {
  shard->backoff = std::clamp(shard->backoff * 2, options_.firstBackoff,
                              options_.maxBackoff);
  std::uniform_int_distribution<std::int64_t> jitter(0, shard->backoff.count());
  shard->notBefore = now + Duration(jitter(random_));
}

void Ledger::onReply(KvCallId call, const KvReply &reply, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = calls_.find(call.number);
  if (found == calls_.end())
    return;
  const std::size_t index = found->second;
  calls_.erase(found);
  settleReply(index, reply, step);
  expireClaims(&shards_[index], step);
  sweep(index);
  pump(index, step);
}

void Ledger::settleReply(std::size_t index, const KvReply &reply, Step *step) {
  Shard &shard = shards_[index];
  shard.call.reset();
  const bool write = shard.callIsWrite;
  const bool answered =
      reply.status == KvStatus::Ok || reply.status == KvStatus::Conflict;
  noteService(answered, step->now.steady);
  if (reply.status == KvStatus::Ok && write)
    return finishWrite(&shard, reply.revision, step);
  if (write && reply.status == KvStatus::Unknown)
    loseWrite(&shard);
  for (Operation &operation : shard.operations)
    operation.inWrite = false;
  if (!answered)
    return backOff(&shard, step->now.steady);
  if (reply.status == KvStatus::Conflict)
    ++counters_.conflicts;
  adopt(&shard, reply, step);
}

void Ledger::expireClaims(Shard *shard, Step *step) {
  for (Operation &operation : shard->operations) {
    if (operation.kind != OperationKind::Claim || operation.done ||
        step->now.steady < operation.answerBy)
      continue;
    decide(operation, ClaimVerdict::Unavailable, nullptr, step);
    withdraw(&operation);
  }
}

void Ledger::onTick(Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<std::size_t> active(active_.begin(), active_.end());
  for (const std::size_t index : active) {
    expireClaims(&shards_[index], step);
    sweep(index);
    pump(index, step);
  }
}

TimePoint Ledger::nextWake() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  TimePoint next = TimePoint::max();
  for (const std::size_t index : active_) {
    const Shard &shard = shards_[index];
    if (!shard.call)
      next = std::min(next, shard.notBefore);
    for (const Operation &operation : shard.operations)
      if (operation.kind == OperationKind::Claim)
        next = std::min(next, operation.answerBy);
  }
  return next;
}

Ledger::Counters Ledger::counters() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Counters counters = counters_;
  counters.pending = pending_;
  return counters;
}

nlohmann::json Ledger::dump() const {
  const Counters now = counters();
  return {{"reads", now.reads},
          {"writes", now.writes},
          {"conflicts", now.conflicts},
          {"unknown_writes", now.unknownWrites},
          {"operations_written", now.operationsWritten},
          {"pending", now.pending}};
}

} // namespace auburnspring
