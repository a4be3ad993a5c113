#include "auburnspring/decision/ledger_shard.h"

#include "auburnspring/base/digest.h"

#include <algorithm>

namespace auburnspring {

void LedgerShard::add(LedgerOperation operation, bool refresh) {
  if (refresh && call_ == Call::None)
    headLoaded_ = false;
  operations_.push_back(std::move(operation));
}

bool LedgerShard::cancel(RequestId request) {
  for (LedgerOperation &operation : operations_) {
    const bool found = operation.verb == LedgerVerb::Claim &&
                       operation.origin.empty() && operation.request == request;
    if (!found)
      continue;
    if (operation.inWrite || operation.unknownWriteRevision)
      operation.verb = LedgerVerb::Release;
    else
      operation.done = true;
    removeDone();
    return true;
  }
  return false;
}

void LedgerShard::removeDone() {
  operations_.erase(
      std::remove_if(operations_.begin(), operations_.end(),
                     [](const LedgerOperation &o) { return o.done; }),
      operations_.end());
}

void LedgerShard::finish(LedgerOperation *operation, ClaimVerdict verdict,
                         const LedgerRecord *existing) {
  operation->done = true;
  LedgerOperationResult result;
  result.operation = *operation;
  result.verdict = verdict;
  if (existing != nullptr)
    result.existing = *existing;
  results_.push_back(std::move(result));
}

std::vector<LedgerOperationResult> LedgerShard::takeResults() {
  return std::exchange(results_, {});
}

void LedgerShard::expire(TimePoint now) {
  for (LedgerOperation &operation : operations_) {
    if (operation.verb != LedgerVerb::Claim || now < operation.verdictDeadline)
      continue;
    const bool mayBeWritten =
        operation.inWrite || operation.unknownWriteRevision;
    finish(&operation, ClaimVerdict::Unavailable, nullptr);
    if (!mayBeWritten)
      continue;
    operation.done = false;
    operation.verb = LedgerVerb::Release;
  }
  removeDone();
}

// Outcomes are delayed to share a write with a claim.
TimePoint LedgerShard::dueAt() const {
  TimePoint first = TimePoint::max();
  for (const LedgerOperation &operation : operations_) {
    if (operation.verb != LedgerVerb::Record)
      return TimePoint::min();
    first = std::min(first, operation.addedAt + shared_->options.recordDelay);
  }
  return first;
}

bool LedgerShard::isDue(TimePoint now) const { return dueAt() <= now; }

// Shards obtain writes in first-come order, so that a busy shard can't starve
// another.
bool LedgerShard::acquireWrite(TimePoint now) {
  std::deque<std::size_t> &queue = shared_->writeQueue;
  const bool first = queue.empty() || queue.front() == index_;
  if (first && shared_->budget.tryAcquire(now)) {
    leaveQueue();
    return true;
  }
  if (std::find(queue.begin(), queue.end(), index_) == queue.end())
    queue.push_back(index_);
  notBefore_ = shared_->budget.nextAvailableAt(now);
  return false;
}

void LedgerShard::leaveQueue() {
  std::deque<std::size_t> &queue = shared_->writeQueue;
  queue.erase(std::remove(queue.begin(), queue.end(), index_), queue.end());
}

std::optional<KvOperation> LedgerShard::nextCall(Instant now) {
  if (call_ != Call::None || now.steady < notBefore_)
    return std::nullopt;
  if (!operations_.empty() && isDue(now.steady)) {
    callAt_ = now.steady;
    if (std::optional<KvOperation> call = nextOperationCall(now))
      return call;
  } else if (pagesToDelete_.empty()) {
    // A queued shard without work would block those behind it.
    leaveQueue();
  }
  if (pagesToDelete_.empty() || !acquireWrite(now.steady))
    return std::nullopt;
  call_ = Call::Delete;
  const std::string digest = pagesToDelete_.back().digest;
  pagesToDelete_.pop_back();
  ++counters_.writes;
  return KvOperation{
      KvVerb::Delete,
      ledgerSealedKey(shared_->options.keyPrefix, index_, digest), "", 0};
}

std::optional<KvOperation> LedgerShard::nextOperationCall(Instant now) {
  if (!headLoaded_)
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

// Sealed pages are immutable: each is read once, when a host starts to handle
// the shard.
std::optional<KvOperation> LedgerShard::readSealed() {
  for (const SealedPageRef &page : head_.sealed) {
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

// Ended records are first copied to a page that is keyed by its digest; the
// next write of the head references that page and removes the records.
std::optional<KvOperation> LedgerShard::writeSealed(TimePoint now) {
  if (newSealedWritten_ || headBytes_ < shared_->options.sealBytes)
    return std::nullopt;
  newSealed_ = LedgerPage();
  newSealedRef_ = SealedPageRef();
  for (const auto &[key, record] : head_.records) {
    if (!record.outcome)
      continue;
    newSealed_.records[key] = record;
    newSealedRef_.newest = std::max(newSealedRef_.newest, record.time);
  }
  if (newSealed_.records.empty() || !acquireWrite(now))
    return std::nullopt;
  std::string text = encodePage(newSealed_);
  newSealedRef_.digest = digestHex(text);
  call_ = Call::WriteSealed;
  ++counters_.writes;
  return KvOperation{
      KvVerb::PutIf,
      ledgerSealedKey(shared_->options.keyPrefix, index_, newSealedRef_.digest),
      std::move(text), 0};
}

void LedgerShard::moveToSealed(LedgerPage *page) const {
  for (const auto &[key, record] : newSealed_.records)
    page->records.erase(key);
  page->sealed.push_back(newSealedRef_);
}

std::optional<KvOperation> LedgerShard::writeHead(Instant now) {
  LedgerPage page = head_;
  std::vector<SealedPageRef> dropped;
  page.prune(now.wall - shared_->options.retention, &dropped);
  bool changed = false;
  for (LedgerOperation &operation : operations_) {
    operation.inWrite = apply(&page, &operation);
    changed = changed || operation.inWrite;
  }
  removeDone();
  if (!changed)
    leaveQueue();
  if (!changed && std::exchange(needsRead_, false))
    return readHead();
  needsRead_ = false;
  if (!changed || !acquireWrite(now.steady)) {
    for (LedgerOperation &operation : operations_)
      operation.inWrite = false;
    return std::nullopt;
  }
  newSealedInWrite_ = newSealedWritten_;
  if (newSealedInWrite_)
    moveToSealed(&page);
  std::string text = encodePage(page);
  call_ = Call::WriteHead;
  pendingHead_ = std::move(page);
  pendingHeadBytes_ = text.size();
  droppedPages_ = std::move(dropped);
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
  for (const SealedPageRef &reference : head_.sealed) {
    const auto page = sealed_.find(reference.digest);
    if (page == sealed_.end())
      continue;
    const auto record = page->second.records.find(key);
    if (record != page->second.records.end())
      return &record->second;
  }
  return nullptr;
}

bool LedgerShard::applyClaim(LedgerPage *page, LedgerOperation *operation) {
  if (page->tombstones.count(operation->record.nonce) > 0) {
    finish(operation, ClaimVerdict::Unavailable, nullptr);
    return false;
  }
  const auto found = page->records.find(operation->key);
  const bool inHead = found != page->records.end();
  const LedgerRecord *existing =
      inHead ? &found->second : findSealed(operation->key);
  if (existing == nullptr && headBytes_ >= shared_->options.maxPageBytes) {
    finish(operation, ClaimVerdict::Unavailable, nullptr);
    return false;
  }
  if (existing == nullptr) {
    page->records[operation->key] = operation->record;
    return true;
  }
  // A claim in the same batch does not hold the key until the write succeeds,
  // so the second claim waits.
  if (inHead && head_.records.count(operation->key) == 0)
    return false;
  if (existing->nonce == operation->record.nonce)
    finish(operation, ClaimVerdict::Granted, nullptr);
  else if (existing->bodyDigest != operation->record.bodyDigest)
    finish(operation, ClaimVerdict::Mismatch, existing);
  else
    finish(operation, ClaimVerdict::Taken, existing);
  return false;
}

// Another host may have written the shard since this one last read it. An
// operation is dropped only if a head read after it was added justifies that.
bool LedgerShard::isHeadFreshFor(const LedgerOperation &operation) {
  if (confirmedAt_ >= operation.addedAt)
    return true;
  needsRead_ = true;
  return false;
}

bool LedgerShard::applyRecord(LedgerPage *page, LedgerOperation *operation) {
  const auto found = page->records.find(operation->key);
  const LedgerRecord *existing = found != page->records.end()
                                     ? &found->second
                                     : findSealed(operation->key);
  // A record that has ended or belongs to another claim is not overwritten.
  const bool isFinal =
      existing != nullptr &&
      (existing->outcome || existing->nonce != operation->record.nonce);
  if (isFinal && !isHeadFreshFor(*operation))
    return false;
  if (isFinal) {
    finish(operation, ClaimVerdict::Taken, existing);
    return false;
  }
  page->records[operation->key] = operation->record;
  return true;
}

bool LedgerShard::applyRelease(LedgerPage *page, LedgerOperation *operation) {
  const std::string &nonce = operation->record.nonce;
  const auto found = page->records.find(operation->key);
  const bool ownsRecord = found != page->records.end() &&
                          found->second.nonce == nonce &&
                          !found->second.outcome;
  const bool addsTombstone =
      operation->leavesTombstone && page->tombstones.count(nonce) == 0;
  if (ownsRecord)
    page->records.erase(found);
  if (addsTombstone)
    page->tombstones[nonce] = operation->record.time;
  // A write with an unknown result can take effect while the shard is at the
  // revision it expects. Any other write advances the revision and prevents it.
  const bool preventsUnknownWrite =
      operation->unknownWriteRevision &&
      *operation->unknownWriteRevision == revision_;
  if (ownsRecord || addsTombstone || preventsUnknownWrite)
    return true;
  if (!isHeadFreshFor(*operation))
    return false;
  finish(operation, ClaimVerdict::Granted, nullptr);
  return false;
}

void LedgerShard::onReply(const KvReply &reply, Instant now) {
  const Call call = std::exchange(call_, Call::None);
  const bool responded =
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
    onUnknownWrite();
  for (LedgerOperation &operation : operations_)
    operation.inWrite = false;
  newSealedInWrite_ = false;
  if (!responded)
    return backOff(now.steady);
  if (reply.status == KvStatus::Conflict)
    ++counters_.conflicts;
  loadHead(reply, now.steady);
}

void LedgerShard::onSealedRead(const KvReply &reply, TimePoint now) {
  if (reply.status != KvStatus::Ok)
    return backOff(now);
  absl::StatusOr<LedgerPage> page = decodePage(reply.value);
  const bool isValid = reply.revision != 0 && page.ok() &&
                       digestHex(reply.value) == readingDigest_;
  if (!isValid) {
    // The head that references the page may be stale.
    invalidateHead();
    return backOff(now);
  }
  sealed_[readingDigest_] = *std::move(page);
}

void LedgerShard::onSealedWritten(const KvReply &reply, TimePoint now) {
  // The key is the digest of the content, so any existing value is identical.
  const bool isStored =
      reply.status == KvStatus::Ok || reply.status == KvStatus::Conflict;
  if (!isStored)
    return backOff(now);
  newSealedWritten_ = true;
  backoff_ = Duration(0);
}

void LedgerShard::finishWrite(std::int64_t revision, TimePoint /*now*/) {
  head_ = std::exchange(pendingHead_, {});
  confirmedAt_ = callAt_;
  headBytes_ = pendingHeadBytes_;
  revision_ = revision;
  headLoaded_ = true;
  backoff_ = Duration(0);
  if (newSealedInWrite_) {
    sealed_[newSealedRef_.digest] = std::move(newSealed_);
    newSealedWritten_ = false;
    newSealedInWrite_ = false;
    ++counters_.sealedPages;
  }
  for (const SealedPageRef &dropped : droppedPages_)
    sealed_.erase(dropped.digest);
  pagesToDelete_.insert(pagesToDelete_.end(), droppedPages_.begin(),
                        droppedPages_.end());
  droppedPages_.clear();
  for (LedgerOperation &operation : operations_) {
    if (!operation.inWrite)
      continue;
    operation.inWrite = false;
    ++counters_.operationsWritten;
    if (operation.verb != LedgerVerb::Release) {
      finish(&operation, ClaimVerdict::Granted, nullptr);
      continue;
    }
    // A claim cancelled while its write was in flight is now stored; the next
    // write releases it. A release contained in this write is done.
    operation.unknownWriteRevision.reset();
    const auto found = head_.records.find(operation.key);
    const bool isReleased = found == head_.records.end() ||
                            found->second.nonce != operation.record.nonce;
    if (isReleased)
      finish(&operation, ClaimVerdict::Granted, nullptr);
  }
  removeDone();
}

void LedgerShard::invalidateHead() {
  headLoaded_ = false;
  newSealedWritten_ = false;
}

void LedgerShard::onUnknownWrite() {
  ++counters_.unknownWrites;
  pendingHead_ = LedgerPage();
  droppedPages_.clear();
  for (LedgerOperation &operation : operations_)
    if (operation.inWrite)
      operation.unknownWriteRevision = revision_;
  invalidateHead();
}

void LedgerShard::loadHead(const KvReply &reply, TimePoint now) {
  absl::StatusOr<LedgerPage> page =
      decodePage(reply.revision == 0 ? "" : reply.value);
  if (!page.ok()) {
    invalidateHead();
    return backOff(now);
  }
  head_ = *std::move(page);
  confirmedAt_ = callAt_;
  headBytes_ = reply.value.size();
  revision_ = reply.revision;
  headLoaded_ = true;
  // The unreferenced sealed page was built from a head that is now replaced.
  newSealedWritten_ = false;
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
      next = std::min(next, operation.verdictDeadline);
  if (call_ != Call::None)
    return next;
  if (!operations_.empty())
    next = std::min(next, std::max(notBefore_, dueAt()));
  if (!pagesToDelete_.empty())
    next = std::min(next, notBefore_);
  return next;
}

} // namespace auburnspring
