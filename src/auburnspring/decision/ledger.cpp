#include "auburnspring/decision/ledger.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnspring {

namespace {

// What a host that is preferred for no shard may write when others are silent.
constexpr double MinWritesPerSecond = 4;
// The preferred host ends a claim at its time by itself; its word takes a way.
constexpr Duration VerdictGrace = std::chrono::milliseconds(50);

// Gives up a claim that another host may still write.
LedgerOperation markedRelease(const LedgerOperation &claim) {
  LedgerOperation release = claim;
  release.verb = LedgerVerb::Release;
  release.leavesMark = true;
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
  const auto owned = static_cast<double>(std::count_if(
      preferredHost_.begin(), preferredHost_.end(),
      [this](std::size_t i) { return hosts_[i].name == options_.host; }));
  const double share =
      options_.writesPerSecond * owned / static_cast<double>(shards_.size());
  shared_.budget.setRate(std::max(share, MinWritesPerSecond));
}

std::string Ledger::newNonce() {
  return absl::StrCat(options_.host, "/", absl::Hex(options_.incarnation), "/",
                      ++nonces_);
}

const Ledger::Host *Ledger::preferred(std::size_t shard, TimePoint now) const {
  if (hosts_.empty())
    return nullptr;
  const Host &host = hosts_[preferredHost_[shard]];
  if (host.name == options_.host)
    return nullptr;
  const auto silent = silentUntil_.find(host.name);
  if (silent != silentUntil_.end() && now < silent->second)
    return nullptr;
  return &host;
}

void Ledger::claim(const Claim &claim, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LedgerOperation operation;
  operation.verb = LedgerVerb::Claim;
  operation.key = claim.key;
  operation.request = claim.request;
  operation.answerBy = claim.answerBy;
  operation.record.nonce = newNonce();
  operation.record.bodyDigest = claim.bodyDigest;
  operation.record.claimant = options_.host;
  operation.record.time = step->now.wall;
  if (pending_ + forwarded_.size() >= options_.maxPending ||
      step->now.steady < downUntil_)
    return decide(operation, ClaimVerdict::Unavailable, nullptr, step);
  route(std::move(operation), claim.refresh, step);
}

void Ledger::record(const std::string &key, const std::string &nonce,
                    const std::string &bodyDigest, Outcome outcome,
                    const std::string &answer, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LedgerOperation operation;
  operation.verb = LedgerVerb::Record;
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
  route(std::move(operation), false, step);
}

void Ledger::release(const std::string &key, const std::string &nonce,
                     Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  LedgerOperation operation;
  operation.verb = LedgerVerb::Release;
  operation.key = key;
  operation.record.nonce = nonce;
  operation.record.time = step->now.wall;
  route(std::move(operation), false, step);
}

bool Ledger::abandon(RequestId request, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = forwarded_.begin(); it != forwarded_.end(); ++it) {
    const LedgerOperation &claim = it->second.operation;
    if (claim.verb != LedgerVerb::Claim || claim.request != request)
      continue;
    LedgerOperation release = markedRelease(claim);
    forwarded_.erase(it);
    addHere(std::move(release), false, step);
    return true;
  }
  for (const std::size_t index : active_) {
    if (!shards_[index].withdraw(request))
      continue;
    settle(index, step);
    return true;
  }
  return false;
}

void Ledger::route(LedgerOperation operation, bool refresh, Step *step) {
  const TimePoint now = step->now.steady;
  const Host *host = preferred(ledgerShard(operation.key, shards_.size()), now);
  if (host == nullptr)
    return addHere(std::move(operation), refresh, step);
  LedgerForward message;
  message.number = nextForward_++;
  message.verb = static_cast<std::uint8_t>(operation.verb);
  message.key = operation.key;
  message.record = encodeRecord(operation.record);
  if (operation.verb == LedgerVerb::Claim)
    message.timeLeft = operation.answerBy - now;
  message.refresh = refresh;
  message.leavesMark = operation.leavesMark;
  Forwarded forwarded;
  forwarded.operation = std::move(operation);
  forwarded.host = host->name;
  forwarded.fallbackAt = now + options_.forwardTimeout;
  forwarded.refresh = refresh;
  forwarded_[message.number] = std::move(forwarded);
  ++forwardCount_;
  step->act(SendToPeer{host->name, host->endpoint, std::move(message)});
}

void Ledger::addHere(LedgerOperation operation, bool refresh, Step *step) {
  const std::size_t index = ledgerShard(operation.key, shards_.size());
  operation.since = step->now.steady;
  shards_[index].add(std::move(operation), refresh);
  ++pending_;
  active_.insert(index);
  pump(index, step);
}

// The time of a claim is up while the busy host still has it.
void Ledger::giveUpWaiting(const Forwarded &forwarded, Step *step) {
  decide(forwarded.operation, ClaimVerdict::Unavailable, nullptr, step);
  route(markedRelease(forwarded.operation), false, step);
}

// The silent host may have written the claim, or may write it yet. It is given
// up with a mark that stays, and claimed anew under another nonce.
void Ledger::fallBack(Forwarded forwarded, Step *step) {
  ++forwardTimeouts_;
  silentUntil_[forwarded.host] = step->now.steady + options_.avoidSilent;
  if (forwarded.operation.verb == LedgerVerb::Claim) {
    addHere(markedRelease(forwarded.operation), true, step);
    forwarded.operation.record.nonce = newNonce();
  }
  addHere(std::move(forwarded.operation), forwarded.refresh, step);
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
  operation.answerBy = step->now.steady + message.timeLeft;
  operation.leavesMark = message.leavesMark;
  operation.origin = from;
  operation.originNumber = message.number;
  endpoints_[from] = endpoint;
  LedgerForwarded receipt;
  receipt.number = message.number;
  receipt.queued = true;
  step->act(SendToPeer{from, endpoint, std::move(receipt)});
  addHere(std::move(operation), message.refresh, step);
}

void Ledger::onForwarded(const LedgerForwarded &message, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = forwarded_.find(message.number);
  if (found == forwarded_.end())
    return;
  if (message.queued) {
    found->second.fallbackAt = step->now.steady + options_.answerTimeout;
    return;
  }
  const LedgerOperation operation = std::move(found->second.operation);
  forwarded_.erase(found);
  if (operation.verb != LedgerVerb::Claim)
    return;
  const auto verdict = static_cast<ClaimVerdict>(message.verdict);
  if (message.present.empty())
    return decide(operation, verdict, nullptr, step);
  const absl::StatusOr<LedgerRecord> present = decodeRecord(message.present);
  if (!present.ok())
    return decide(operation, ClaimVerdict::Unavailable, nullptr, step);
  decide(operation, verdict, &*present, step);
}

void Ledger::pump(std::size_t index, Step *step) {
  LedgerShard &shard = shards_[index];
  if (std::optional<KvOperation> operation = shard.next(step->now)) {
    const std::uint64_t number = nextCall_++;
    calls_[number] = index;
    step->act(CallKeyValue{
        {KvOwner::Ledger, number}, KvPriority::Claim, *std::move(operation)});
  }
  settle(index, step);
}

// Hands on what has ended, and forgets the shard if nothing is left to do.
void Ledger::settle(std::size_t index, Step *step) {
  LedgerShard &shard = shards_[index];
  for (const LedgerVerdict &verdict : shard.takeVerdicts())
    report(verdict, step);
  if (shard.isIdle()) {
    shard.leaveQueue();
    active_.erase(index);
  }
  pending_ = 0;
  for (const std::size_t active : active_)
    pending_ += shards_[active].pending();
}

void Ledger::report(const LedgerVerdict &verdict, Step *step) {
  const LedgerOperation &operation = verdict.operation;
  const LedgerRecord *present = verdict.present ? &*verdict.present : nullptr;
  if (!operation.origin.empty()) {
    LedgerForwarded answer;
    answer.number = operation.originNumber;
    answer.verdict = static_cast<std::uint8_t>(verdict.verdict);
    if (present != nullptr)
      answer.present = encodeRecord(*present);
    return step->act(SendToPeer{operation.origin, endpoints_[operation.origin],
                                std::move(answer)});
  }
  if (operation.verb == LedgerVerb::Claim)
    decide(operation, verdict.verdict, present, step);
}

void Ledger::decide(const LedgerOperation &operation, ClaimVerdict verdict,
                    const LedgerRecord *present, Step *step) {
  ClaimDecided decided;
  decided.request = operation.request;
  decided.verdict = verdict;
  decided.nonce = operation.record.nonce;
  if (present != nullptr) {
    decided.outcome = present->outcome;
    decided.claimant = present->claimant;
    decided.answer = present->answer;
    // Complete without its answer can't be relayed whole.
    if (present->outcome == Outcome::Complete && !present->answerKept)
      decided.outcome = Outcome::Unknown;
  }
  step->follow(std::move(decided));
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

void Ledger::onReply(KvCallId call, const KvReply &reply, Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = calls_.find(call.number);
  if (found == calls_.end())
    return;
  const std::size_t index = found->second;
  calls_.erase(found);
  noteService(reply.status == KvStatus::Ok ||
                  reply.status == KvStatus::Conflict,
              step->now.steady);
  shards_[index].onReply(reply, step->now);
  shards_[index].expire(step->now.steady);
  pump(index, step);
}

void Ledger::onTick(Step *step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = step->now.steady;
  std::vector<Forwarded> silent;
  std::vector<Forwarded> late;
  for (auto it = forwarded_.begin(); it != forwarded_.end();) {
    Forwarded &forwarded = it->second;
    const bool isLate = forwarded.operation.verb == LedgerVerb::Claim &&
                        now >= forwarded.operation.answerBy + VerdictGrace;
    const bool isSilent = now >= forwarded.fallbackAt;
    if (!isLate && !isSilent) {
      ++it;
      continue;
    }
    (isLate ? late : silent).push_back(std::move(forwarded));
    it = forwarded_.erase(it);
  }
  for (const Forwarded &forwarded : late)
    giveUpWaiting(forwarded, step);
  for (Forwarded &forwarded : silent)
    fallBack(std::move(forwarded), step);
  const std::vector<std::size_t> active(active_.begin(), active_.end());
  for (const std::size_t index : active) {
    shards_[index].expire(step->now.steady);
    pump(index, step);
  }
}

TimePoint Ledger::nextWake() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  TimePoint next = TimePoint::max();
  for (const auto &[number, forwarded] : forwarded_)
    next = std::min(next, forwarded.fallbackAt);
  for (const std::size_t index : active_)
    next = std::min(next, shards_[index].nextWake());
  return next;
}

Ledger::Counters Ledger::counters() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Counters sum;
  for (const LedgerShard &shard : shards_) {
    const LedgerShard::Counters &one = shard.counters();
    sum.reads += one.reads;
    sum.writes += one.writes;
    sum.conflicts += one.conflicts;
    sum.unknownWrites += one.unknownWrites;
    sum.operationsWritten += one.operationsWritten;
    sum.sealedPages += one.sealedPages;
  }
  sum.forwarded = forwardCount_;
  sum.forwardTimeouts = forwardTimeouts_;
  sum.pending = pending_ + forwarded_.size();
  return sum;
}

nlohmann::json Ledger::dump() const {
  const Counters now = counters();
  return {{"reads", now.reads},
          {"writes", now.writes},
          {"conflicts", now.conflicts},
          {"unknown_writes", now.unknownWrites},
          {"operations_written", now.operationsWritten},
          {"sealed_pages", now.sealedPages},
          {"forwarded", now.forwarded},
          {"forward_timeouts", now.forwardTimeouts},
          {"pending", now.pending}};
}

} // namespace auburnspring
