#include "auburnspring/decision/ledger_shard.h"

#include "auburnspring/base/digest.h"

#include <algorithm>

namespace auburnspring {

void LedgerShard::add(LedgerOperation operation, bool refresh) {
  if (refresh && call_ == Call::None)
    known_ = false;
  operations_.push_back(std::move(operation));
}

bool LedgerShard::withdraw(RequestId request) {
  for (LedgerOperation &operation : operations_) {
    const bool found = operation.verb == LedgerVerb::Claim &&
                       operation.origin.empty() && operation.request == request;
    if (!found)
      continue;
    if (operation.inWrite || operation.lostAt)
      operation.verb = LedgerVerb::Release;
    else
      operation.done = true;
    sweep();
    return true;
  }
  return false;
}

void LedgerShard::sweep() {
  operations_.erase(
      std::remove_if(operations_.begin(), operations_.end(),
                     [](const LedgerOperation &o) { return o.done; }),
      operations_.end());
}

void LedgerShard::end(LedgerOperation *operation, ClaimVerdict verdict,
                      const LedgerRecord *present) {
  operation->done = true;
  LedgerVerdict ended;
  ended.operation = *operation;
  ended.verdict = verdict;
  if (present != nullptr)
    ended.present = *present;
  verdicts_.push_back(std::move(ended));
}

std::vector<LedgerVerdict> LedgerShard::takeVerdicts() {
  return std::exchange(verdicts_, {});
}

void LedgerShard::expire(TimePoint now) {
  for (LedgerOperation &operation : operations_) {
    if (operation.verb != LedgerVerb::Claim || now < operation.answerBy)
      continue;
    const bool mayLand = operation.inWrite || operation.lostAt;
    end(&operation, ClaimVerdict::Unavailable, nullptr);
    if (!mayLand)
      continue;
    operation.done = false;
    operation.verb = LedgerVerb::Release;
  }
  sweep();
}

// Outcomes wait a little for a claim to share a write with.
TimePoint LedgerShard::urgentAt() const {
  TimePoint first = TimePoint::max();
  for (const LedgerOperation &operation : operations_) {
    if (operation.verb != LedgerVerb::Record)
      return TimePoint::min();
    first = std::min(first, operation.since + shared_->options.recordDelay);
  }
  return first;
}

bool LedgerShard::isUrgent(TimePoint now) const { return urgentAt() <= now; }

// Writes are handed out in the order in which shards asked, so that a busy
// shard can't starve another.
bool LedgerShard::mayWrite(TimePoint now) {
  std::deque<std::size_t> &queue = shared_->writeQueue;
  const bool first = queue.empty() || queue.front() == index_;
  if (first && shared_->budget.take(now)) {
    leaveQueue();
    return true;
  }
  if (std::find(queue.begin(), queue.end(), index_) == queue.end())
    queue.push_back(index_);
  notBefore_ = shared_->budget.nextAt(now);
  return false;
}

void LedgerShard::leaveQueue() {
  std::deque<std::size_t> &queue = shared_->writeQueue;
  queue.erase(std::remove(queue.begin(), queue.end(), index_), queue.end());
}

std::optional<KvOperation> LedgerShard::next(Instant now) {
  if (call_ != Call::None || now.steady < notBefore_)
    return std::nullopt;
  if (!operations_.empty() && isUrgent(now.steady)) {
    callAt_ = now.steady;
    if (std::optional<KvOperation> urgent = nextUrgent(now))
      return urgent;
  } else if (garbage_.empty()) {
    // A place in the queue that is no longer needed would hold up the others.
    leaveQueue();
  }
  if (garbage_.empty() || !mayWrite(now.steady))
    return std::nullopt;
  call_ = Call::Delete;
  const std::string digest = garbage_.back().digest;
  garbage_.pop_back();
  ++counters_.writes;
  return KvOperation{
      KvVerb::Delete,
      ledgerSealedKey(shared_->options.keyPrefix, index_, digest), "", 0};
}

std::optional<KvOperation> LedgerShard::nextUrgent(Instant now) {
  if (!known_)
    return readHead();
  if (std::optional<KvOperation> read = readSealed())
    return read;
  if (std::optional<KvOperation> write = writeSealed(now.steady))
    return write;
  return writeHead(now);
}

KvOperation LedgerShard::readHead() {
  call_ = Call::ReadHead;
  ++counters_.reads;
  return {KvVerb::Get, ledgerPageKey(shared_->options.keyPrefix, index_), "",
          0};
}

// A host that takes a shard over reads its sealed pages once.
std::optional<KvOperation> LedgerShard::readSealed() {
  for (const SealedPage &page : page_.sealed) {
    if (sealed_.count(page.digest) > 0)
      continue;
    call_ = Call::ReadSealed;
    readingDigest_ = page.digest;
    ++counters_.reads;
    return KvOperation{
        KvVerb::Get,
        ledgerSealedKey(shared_->options.keyPrefix, index_, page.digest), "",
        0};
  }
  return std::nullopt;
}

// Ended records are copied to a page under its own digest first; the head
// names it and drops them with its next write.
std::optional<KvOperation> LedgerShard::writeSealed(TimePoint now) {
  if (draftWritten_ || pageBytes_ < shared_->options.sealBytes)
    return std::nullopt;
  draft_ = LedgerPage();
  draftName_ = SealedPage();
  for (const auto &[key, record] : page_.records) {
    if (!record.outcome)
      continue;
    draft_.records[key] = record;
    draftName_.newest = std::max(draftName_.newest, record.time);
  }
  if (draft_.records.empty() || !mayWrite(now))
    return std::nullopt;
  std::string text = encodePage(draft_);
  draftName_.digest = digestHex(text);
  call_ = Call::WriteSealed;
  ++counters_.writes;
  return KvOperation{
      KvVerb::PutIf,
      ledgerSealedKey(shared_->options.keyPrefix, index_, draftName_.digest),
      std::move(text), 0};
}

void LedgerShard::moveToSealed(LedgerPage *page) const {
  for (const auto &[key, record] : draft_.records)
    page->records.erase(key);
  page->sealed.push_back(draftName_);
}

std::optional<KvOperation> LedgerShard::writeHead(Instant now) {
  LedgerPage page = page_;
  std::vector<SealedPage> dropped;
  page.prune(now.wall - shared_->options.retention, &dropped);
  bool changed = false;
  for (LedgerOperation &operation : operations_) {
    operation.inWrite = apply(&page, &operation);
    changed = changed || operation.inWrite;
  }
  sweep();
  if (!changed)
    leaveQueue();
  if (!changed && std::exchange(needsRead_, false))
    return readHead();
  needsRead_ = false;
  if (!changed || !mayWrite(now.steady)) {
    for (LedgerOperation &operation : operations_)
      operation.inWrite = false;
    return std::nullopt;
  }
  draftInWrite_ = draftWritten_;
  if (draftInWrite_)
    moveToSealed(&page);
  std::string text = encodePage(page);
  call_ = Call::WriteHead;
  writing_ = std::move(page);
  writingBytes_ = text.size();
  dropping_ = std::move(dropped);
  ++counters_.writes;
  return KvOperation{KvVerb::PutIf,
                     ledgerPageKey(shared_->options.keyPrefix, index_),
                     std::move(text), revision_};
}

bool LedgerShard::apply(LedgerPage *page, LedgerOperation *operation) {
  switch (operation->verb) {
  case LedgerVerb::Claim:
    return applyClaim(page, operation);
  case LedgerVerb::Record:
    return applyRecord(page, operation);
  case LedgerVerb::Release:
    return applyRelease(page, operation);
  }
  return false;
}

const LedgerRecord *LedgerShard::findSealed(const std::string &key) const {
  for (const SealedPage &name : page_.sealed) {
    const auto page = sealed_.find(name.digest);
    if (page == sealed_.end())
      continue;
    const auto record = page->second.records.find(key);
    if (record != page->second.records.end())
      return &record->second;
  }
  return nullptr;
}

bool LedgerShard::applyClaim(LedgerPage *page, LedgerOperation *operation) {
  if (page->withdrawn.count(operation->record.nonce) > 0) {
    end(operation, ClaimVerdict::Unavailable, nullptr);
    return false;
  }
  const auto found = page->records.find(operation->key);
  const bool here = found != page->records.end();
  const LedgerRecord *present =
      here ? &found->second : findSealed(operation->key);
  if (present == nullptr && pageBytes_ >= shared_->options.maxPageBytes) {
    end(operation, ClaimVerdict::Unavailable, nullptr);
    return false;
  }
  if (present == nullptr) {
    page->records[operation->key] = operation->record;
    return true;
  }
  // A claim of this very batch is not in force before the write succeeds, so
  // the second claimant waits for it.
  if (here && page_.records.count(operation->key) == 0)
    return false;
  if (present->nonce == operation->record.nonce)
    end(operation, ClaimVerdict::Granted, nullptr);
  else if (present->bodyDigest != operation->record.bodyDigest)
    end(operation, ClaimVerdict::Mismatch, present);
  else
    end(operation, ClaimVerdict::Taken, present);
  return false;
}

// Another host may have written the shard since this one last saw it. An
// operation is dropped only on the word of a page read after it was added.
bool LedgerShard::isConfirmedFor(const LedgerOperation &operation) {
  if (confirmedAt_ >= operation.since)
    return true;
  needsRead_ = true;
  return false;
}

bool LedgerShard::applyRecord(LedgerPage *page, LedgerOperation *operation) {
  const auto found = page->records.find(operation->key);
  const LedgerRecord *present = found != page->records.end()
                                    ? &found->second
                                    : findSealed(operation->key);
  // A record that has ended, or is another claim's, stays as it is.
  const bool settled =
      present != nullptr &&
      (present->outcome || present->nonce != operation->record.nonce);
  if (settled && !isConfirmedFor(*operation))
    return false;
  if (settled) {
    end(operation, ClaimVerdict::Taken, present);
    return false;
  }
  page->records[operation->key] = operation->record;
  return true;
}

bool LedgerShard::applyRelease(LedgerPage *page, LedgerOperation *operation) {
  const std::string &nonce = operation->record.nonce;
  const auto found = page->records.find(operation->key);
  const bool ours = found != page->records.end() &&
                    found->second.nonce == nonce && !found->second.outcome;
  const bool marks = operation->leavesMark && page->withdrawn.count(nonce) == 0;
  if (ours)
    page->records.erase(found);
  if (marks)
    page->withdrawn[nonce] = operation->record.time;
  // A lost write can land as long as the shard is at the revision it expects.
  // Any write moves the shard on and so rules it out.
  const bool fences = operation->lostAt && *operation->lostAt == revision_;
  if (ours || marks || fences)
    return true;
  if (!isConfirmedFor(*operation))
    return false;
  end(operation, ClaimVerdict::Granted, nullptr);
  return false;
}

void LedgerShard::onReply(const KvReply &reply, Instant now) {
  const Call call = std::exchange(call_, Call::None);
  const bool answered =
      reply.status == KvStatus::Ok || reply.status == KvStatus::Conflict;
  if (call == Call::Delete)
    return;
  if (call == Call::ReadSealed)
    return onSealedRead(reply, now.steady);
  if (call == Call::WriteSealed)
    return onSealedWritten(reply, now.steady);
  if (call == Call::WriteHead && reply.status == KvStatus::Ok)
    return finishWrite(reply.revision, now.steady);
  if (call == Call::WriteHead && reply.status == KvStatus::Unknown)
    loseWrite();
  for (LedgerOperation &operation : operations_)
    operation.inWrite = false;
  draftInWrite_ = false;
  if (!answered)
    return backOff(now.steady);
  if (reply.status == KvStatus::Conflict)
    ++counters_.conflicts;
  adopt(reply, now.steady);
}

void LedgerShard::onSealedRead(const KvReply &reply, TimePoint now) {
  if (reply.status != KvStatus::Ok)
    return backOff(now);
  absl::StatusOr<LedgerPage> page = decodePage(reply.value);
  const bool good = reply.revision != 0 && page.ok() &&
                    digestHex(reply.value) == readingDigest_;
  if (!good) {
    // The head that names the page may be out of date.
    forget();
    return backOff(now);
  }
  sealed_[readingDigest_] = *std::move(page);
}

void LedgerShard::onSealedWritten(const KvReply &reply, TimePoint now) {
  // The key is the content's digest: whoever wrote it wrote the same.
  const bool there =
      reply.status == KvStatus::Ok || reply.status == KvStatus::Conflict;
  if (!there)
    return backOff(now);
  draftWritten_ = true;
  backoff_ = Duration(0);
}

void LedgerShard::finishWrite(std::int64_t revision, TimePoint /*now*/) {
  page_ = std::exchange(writing_, {});
  confirmedAt_ = callAt_;
  pageBytes_ = writingBytes_;
  revision_ = revision;
  known_ = true;
  backoff_ = Duration(0);
  if (draftInWrite_) {
    sealed_[draftName_.digest] = std::move(draft_);
    draftWritten_ = false;
    draftInWrite_ = false;
    ++counters_.sealedPages;
  }
  for (const SealedPage &dropped : dropping_)
    sealed_.erase(dropped.digest);
  garbage_.insert(garbage_.end(), dropping_.begin(), dropping_.end());
  dropping_.clear();
  for (LedgerOperation &operation : operations_) {
    if (!operation.inWrite)
      continue;
    operation.inWrite = false;
    ++counters_.operationsWritten;
    if (operation.verb != LedgerVerb::Release) {
      end(&operation, ClaimVerdict::Granted, nullptr);
      continue;
    }
    // A claim that was given up during its own write has just landed and is
    // released by the next; a release that this write carried is done.
    operation.lostAt.reset();
    const auto found = page_.records.find(operation.key);
    const bool gone = found == page_.records.end() ||
                      found->second.nonce != operation.record.nonce;
    if (gone)
      end(&operation, ClaimVerdict::Granted, nullptr);
  }
  sweep();
}

void LedgerShard::forget() {
  known_ = false;
  draftWritten_ = false;
}

void LedgerShard::loseWrite() {
  ++counters_.unknownWrites;
  writing_ = LedgerPage();
  dropping_.clear();
  for (LedgerOperation &operation : operations_)
    if (operation.inWrite)
      operation.lostAt = revision_;
  forget();
}

void LedgerShard::adopt(const KvReply &reply, TimePoint now) {
  absl::StatusOr<LedgerPage> page =
      decodePage(reply.revision == 0 ? "" : reply.value);
  if (!page.ok()) {
    forget();
    return backOff(now);
  }
  page_ = *std::move(page);
  confirmedAt_ = callAt_;
  pageBytes_ = reply.value.size();
  revision_ = reply.revision;
  known_ = true;
  // The draft was made from a head that is no longer the present one.
  draftWritten_ = false;
  backoff_ = Duration(0);
}

void LedgerShard::backOff(TimePoint now) {
  leaveQueue();
  const Options &options = shared_->options;
  backoff_ = std::clamp(backoff_ * 2, options.firstBackoff, options.maxBackoff);
  std::uniform_int_distribution<std::int64_t> jitter(0, backoff_.count());
  notBefore_ = now + Duration(jitter(shared_->random));
}

TimePoint LedgerShard::nextWake() const {
  TimePoint next = TimePoint::max();
  for (const LedgerOperation &operation : operations_)
    if (operation.verb == LedgerVerb::Claim)
      next = std::min(next, operation.answerBy);
  if (call_ != Call::None)
    return next;
  if (!operations_.empty())
    next = std::min(next, std::max(notBefore_, urgentAt()));
  if (!garbage_.empty())
    next = std::min(next, notBefore_);
  return next;
}

} // namespace auburnspring
