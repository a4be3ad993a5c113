#include "auburnspring/decision/ledger.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnspring {

namespace {

// Write rate of a host that is preferred for no shard, needed when other hosts
// are unresponsive.
constexpr double MinWritesPerSecond = 4;
// The preferred host expires a claim itself; allows for its reply to arrive.
constexpr Duration VerdictGrace = std::chrono::milliseconds(50);

// Release of a claim that another host may still write.
LedgerOperation releaseWithTombstone(const LedgerOperation &claim) {
  LedgerOperation release = claim;
  release.verb = LedgerVerb::Release;
  release.leavesTombstone = true;
  return release;
}

} // namespace

Ledger::Ledger(Options options) : options_(std::move(options)) {
  shared_.options = options_.shard;
  shared_.random.seed(options_.seed);
  for (std::size_t i = 0; i < options_.shards; ++i)
    shards_.emplace_back(i, &shared_);
  setHosts({{options_.host, Endpoint()}});
}

void Ledger::setHosts(std::vector<Host> hosts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  hosts_ = std::move(hosts);
  preferredHost_.assign(shards_.size(), 0);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const std::uint64_t weight = stableHash(hosts_[i].name, shard);
      if (weight < best)
        continue;
      best = weight;
      preferredHost_[shard] = i;
    }
  }
  const auto ownedShards = static_cast<double>(std::count_if(
      preferredHost_.begin(), preferredHost_.end(),
      [this](std::size_t i) { return hosts_[i].name == options_.host; }));
  const double share = options_.writesPerSecond * ownedShards /
                       static_cast<double>(shards_.size());
  shared_.budget.setRate(std::max(share, MinWritesPerSecond));
}

std::string Ledger::newNonce() {
  return absl::StrCat(options_.host, "/", absl::Hex(options_.incarnation), "/",
                      ++nonceCounter_);
}

const Ledger::Host *Ledger::forwardTarget(std::size_t shard,
                                          TimePoint now) const {
  if (hosts_.empty())
    return nullptr;
  const Host &host = hosts_[preferredHost_[shard]];
  if (host.name == options_.host)
    return nullptr;
  const auto avoided = unresponsiveUntil_.find(host.name);
  if (avoided != unresponsiveUntil_.end() && now < avoided->second)
    return nullptr;
  return &host;
}

void Ledger::claim(const Claim &claim, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LedgerOperation operation;
  operation.verb = LedgerVerb::Claim;
  operation.key = claim.key;
  operation.request = claim.request;
  operation.verdictDeadline = claim.verdictDeadline;
  operation.record.nonce = newNonce();
  operation.record.bodyDigest = claim.bodyDigest;
  operation.record.claimant = options_.host;
  operation.record.time = step->now.wall;
  if (pending_ + forwardedOperations_.size() >= options_.maxPending ||
      step->now.steady < unavailableUntil_)
    return notifyRequest(operation, ClaimVerdict::Unavailable, nullptr, step);
  dispatch(std::move(operation), claim.refresh, step);
}

void Ledger::record(const std::string &key, const std::string &nonce,
                    const std::string &bodyDigest, Outcome outcome,
                    const std::string &response, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LedgerOperation operation;
  operation.verb = LedgerVerb::Record;
  operation.key = key;
  operation.record.nonce = nonce;
  operation.record.bodyDigest = bodyDigest;
  operation.record.claimant = options_.host;
  operation.record.time = step->now.wall;
  operation.record.outcome = outcome;
  operation.record.responseStored =
      outcome == Outcome::Complete &&
      response.size() <= options_.maxStoredResponseBytes;
  if (operation.record.responseStored)
    operation.record.response = response;
  dispatch(std::move(operation), false, step);
}

void Ledger::release(const std::string &key, const std::string &nonce,
                     Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LedgerOperation operation;
  operation.verb = LedgerVerb::Release;
  operation.key = key;
  operation.record.nonce = nonce;
  operation.record.time = step->now.wall;
  dispatch(std::move(operation), false, step);
}

bool Ledger::cancelClaim(RequestId request, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = forwardedOperations_.begin(); it != forwardedOperations_.end();
       ++it) {
    const LedgerOperation &claim = it->second.operation;
    if (claim.verb != LedgerVerb::Claim || claim.request != request)
      continue;
    LedgerOperation release = releaseWithTombstone(claim);
    forwardedOperations_.erase(it);
    enqueueLocally(std::move(release), false, step);
    return true;
  }
  for (const std::size_t index : activeShards_) {
    if (!shards_[index].cancel(request))
      continue;
    collectResults(index, step);
    return true;
  }
  return false;
}

void Ledger::dispatch(LedgerOperation operation, bool refresh, Step *step) {
  const TimePoint now = step->now.steady;
  const Host *host =
      forwardTarget(ledgerShard(operation.key, shards_.size()), now);
  if (host == nullptr)
    return enqueueLocally(std::move(operation), refresh, step);
  LedgerForward message;
  message.number = nextForward_++;
  message.verb = static_cast<std::uint8_t>(operation.verb);
  message.key = operation.key;
  message.record = encodeRecord(operation.record);
  if (operation.verb == LedgerVerb::Claim)
    message.timeLeft = operation.verdictDeadline - now;
  message.refresh = refresh;
  message.leavesTombstone = operation.leavesTombstone;
  ForwardedOperation forwarded;
  forwarded.operation = std::move(operation);
  forwarded.host = host->name;
  forwarded.retryLocallyAt = now + options_.forwardTimeout;
  forwarded.refresh = refresh;
  forwardedOperations_[message.number] = std::move(forwarded);
  ++forwardCount_;
  step->addAction(SendToPeer{host->name, host->endpoint, std::move(message)});
}

void Ledger::enqueueLocally(LedgerOperation operation, bool refresh,
                            Step *step) {
  const std::size_t index = ledgerShard(operation.key, shards_.size());
  operation.addedAt = step->now.steady;
  shards_[index].add(std::move(operation), refresh);
  ++pending_;
  activeShards_.insert(index);
  startNextCall(index, step);
}

// The forwarded claim expired before the preferred host sent its verdict.
void Ledger::expireForwardedClaim(const ForwardedOperation &forwarded,
                                  Step *step) {
  notifyRequest(forwarded.operation, ClaimVerdict::Unavailable, nullptr, step);
  dispatch(releaseWithTombstone(forwarded.operation), false, step);
}

// The unresponsive host may have written the claim, or may still write it. The
// claim is released with a tombstone and made again under a new nonce.
void Ledger::retryLocally(ForwardedOperation forwarded, Step *step) {
  ++forwardTimeouts_;
  unresponsiveUntil_[forwarded.host] =
      step->now.steady + options_.unresponsiveHostBackoff;
  if (forwarded.operation.verb == LedgerVerb::Claim) {
    enqueueLocally(releaseWithTombstone(forwarded.operation), true, step);
    forwarded.operation.record.nonce = newNonce();
  }
  enqueueLocally(std::move(forwarded.operation), forwarded.refresh, step);
}

void Ledger::onForward(const std::string &from, const Endpoint &endpoint,
                       const LedgerForward &message, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  absl::StatusOr<LedgerRecord> record = decodeRecord(message.record);
  const bool known =
      message.verb <= static_cast<std::uint8_t>(LedgerVerb::Release);
  if (!record.ok() || !known || pending_ >= options_.maxPending)
    return;
  LedgerOperation operation;
  operation.verb = static_cast<LedgerVerb>(message.verb);
  operation.key = message.key;
  operation.record = *std::move(record);
  operation.verdictDeadline = step->now.steady + message.timeLeft;
  operation.leavesTombstone = message.leavesTombstone;
  operation.origin = from;
  operation.originNumber = message.number;
  endpoints_[from] = endpoint;
  LedgerForwardReply acknowledgement;
  acknowledgement.number = message.number;
  acknowledgement.queued = true;
  step->addAction(SendToPeer{from, endpoint, std::move(acknowledgement)});
  enqueueLocally(std::move(operation), message.refresh, step);
}

void Ledger::onForwardReply(const LedgerForwardReply &message, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = forwardedOperations_.find(message.number);
  if (found == forwardedOperations_.end())
    return;
  if (message.queued) {
    found->second.retryLocallyAt = step->now.steady + options_.verdictTimeout;
    return;
  }
  const LedgerOperation operation = std::move(found->second.operation);
  forwardedOperations_.erase(found);
  if (operation.verb != LedgerVerb::Claim)
    return;
  const auto verdict = static_cast<ClaimVerdict>(message.verdict);
  if (message.existing.empty())
    return notifyRequest(operation, verdict, nullptr, step);
  const absl::StatusOr<LedgerRecord> existing = decodeRecord(message.existing);
  if (!existing.ok())
    return notifyRequest(operation, ClaimVerdict::Unavailable, nullptr, step);
  notifyRequest(operation, verdict, &*existing, step);
}

void Ledger::startNextCall(std::size_t index, Step *step) {
  LedgerShard &shard = shards_[index];
  if (std::optional<KvOperation> operation = shard.nextCall(step->now)) {
    const std::uint64_t number = nextCall_++;
    calls_[number] = index;
    step->addAction(CallKeyValue{
        {KvOwner::Ledger, number}, KvPriority::Claim, *std::move(operation)});
  }
  collectResults(index, step);
}

// Delivers the results of ended operations, and marks the shard inactive once
// it is idle.
void Ledger::collectResults(std::size_t index, Step *step) {
  LedgerShard &shard = shards_[index];
  for (const LedgerOperationResult &result : shard.takeResults())
    deliverResult(result, step);
  if (shard.isIdle()) {
    shard.leaveQueue();
    activeShards_.erase(index);
  }
  pending_ = 0;
  for (const std::size_t active : activeShards_)
    pending_ += shards_[active].pending();
}

void Ledger::deliverResult(const LedgerOperationResult &result, Step *step) {
  const LedgerOperation &operation = result.operation;
  const LedgerRecord *existing = result.existing ? &*result.existing : nullptr;
  if (!operation.origin.empty()) {
    LedgerForwardReply reply;
    reply.number = operation.originNumber;
    reply.verdict = static_cast<std::uint8_t>(result.verdict);
    if (existing != nullptr)
      reply.existing = encodeRecord(*existing);
    return step->addAction(SendToPeer{
        operation.origin, endpoints_[operation.origin], std::move(reply)});
  }
  if (operation.verb == LedgerVerb::Claim)
    notifyRequest(operation, result.verdict, existing, step);
}

void Ledger::notifyRequest(const LedgerOperation &operation,
                           ClaimVerdict verdict, const LedgerRecord *existing,
                           Step *step) {
  ClaimDecided decided;
  decided.request = operation.request;
  decided.verdict = verdict;
  decided.nonce = operation.record.nonce;
  if (existing != nullptr) {
    decided.outcome = existing->outcome;
    decided.claimant = existing->claimant;
    decided.response = existing->response;
    // Without the stored response there is nothing to relay to the caller.
    if (existing->outcome == Outcome::Complete && !existing->responseStored)
      decided.outcome = Outcome::Unknown;
  }
  step->postEvent(std::move(decided));
}

void Ledger::recordCallResult(bool responded, TimePoint now) {
  if (responded) {
    consecutiveFailures_ = 0;
    unavailableUntil_ = TimePoint();
    return;
  }
  if (++consecutiveFailures_ >= options_.failureThreshold)
    unavailableUntil_ = now + options_.retryInterval;
}

void Ledger::onReply(KvCallId call, const KvReply &reply, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = calls_.find(call.number);
  if (found == calls_.end())
    return;
  const std::size_t index = found->second;
  calls_.erase(found);
  recordCallResult(reply.status == KvStatus::Ok ||
                       reply.status == KvStatus::Conflict,
                   step->now.steady);
  shards_[index].onReply(reply, step->now);
  shards_[index].expire(step->now.steady);
  startNextCall(index, step);
}

void Ledger::onTick(Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = step->now.steady;
  std::vector<ForwardedOperation> unresponsive;
  std::vector<ForwardedOperation> expired;
  for (auto it = forwardedOperations_.begin();
       it != forwardedOperations_.end();) {
    ForwardedOperation &forwarded = it->second;
    const bool isExpired =
        forwarded.operation.verb == LedgerVerb::Claim &&
        now >= forwarded.operation.verdictDeadline + VerdictGrace;
    const bool isUnresponsive = now >= forwarded.retryLocallyAt;
    if (!isExpired && !isUnresponsive) {
      ++it;
      continue;
    }
    (isExpired ? expired : unresponsive).push_back(std::move(forwarded));
    it = forwardedOperations_.erase(it);
  }
  for (const ForwardedOperation &forwarded : expired)
    expireForwardedClaim(forwarded, step);
  for (ForwardedOperation &forwarded : unresponsive)
    retryLocally(std::move(forwarded), step);
  const std::vector<std::size_t> active(activeShards_.begin(),
                                        activeShards_.end());
  for (const std::size_t index : active) {
    shards_[index].expire(step->now.steady);
    startNextCall(index, step);
  }
}

TimePoint Ledger::nextWake() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  TimePoint next = TimePoint::max();
  for (const auto &[number, forwarded] : forwardedOperations_)
    next = std::min(next, forwarded.retryLocallyAt);
  for (const std::size_t index : activeShards_)
    next = std::min(next, shards_[index].nextWake());
  return next;
}

Ledger::Counters Ledger::counters() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Counters sum;
  for (const LedgerShard &shard : shards_) {
    const LedgerShard::Counters &shardCounters = shard.counters();
    sum.reads += shardCounters.reads;
    sum.writes += shardCounters.writes;
    sum.conflicts += shardCounters.conflicts;
    sum.unknownWrites += shardCounters.unknownWrites;
    sum.operationsWritten += shardCounters.operationsWritten;
    sum.sealedPages += shardCounters.sealedPages;
  }
  sum.forwarded = forwardCount_;
  sum.forwardTimeouts = forwardTimeouts_;
  sum.pending = pending_ + forwardedOperations_.size();
  return sum;
}

nlohmann::json Ledger::dump() const {
  const Counters current = counters();
  return {{"reads", current.reads},
          {"writes", current.writes},
          {"conflicts", current.conflicts},
          {"unknown_writes", current.unknownWrites},
          {"operations_written", current.operationsWritten},
          {"sealed_pages", current.sealedPages},
          {"forwarded", current.forwarded},
          {"forward_timeouts", current.forwardTimeouts},
          {"pending", current.pending}};
}

} // namespace auburnspring
