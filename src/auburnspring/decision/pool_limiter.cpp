#include "auburnspring/decision/pool_limiter.h"

#include <algorithm>
#include <limits>

namespace auburnspring {

namespace {

constexpr double SmoothingFactor = 0.1;
constexpr double ShrinkFactor = 0.9;
constexpr double GrowthPerRound = 1.0;
constexpr Duration MinShrinkInterval = std::chrono::milliseconds(100);

Duration movingAverage(Duration old, Duration sample, double factor) {
  const double mixed = static_cast<double>(old.count()) * (1 - factor) +
                       static_cast<double>(sample.count()) * factor;
  return Duration(static_cast<std::int64_t>(mixed));
}

bool precedes(const SlotRequest &a, const SlotRequest &b) {
  if (a.priority != b.priority)
    return a.priority < b.priority;
  return a.latestStart < b.latestStart;
}

} // namespace

PoolLimiter::PoolLimiter(Options options)
    : options_(options), limit_(options.initialLimit) {}

void PoolLimiter::setCapacityHint(double slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (slots <= 0 || slots == capacityHint_)
    return;
  const double scale = capacityHint_ > 0 ? slots / capacityHint_ : 0;
  limit_ = scale > 0 ? limit_ * scale : slots;
  capacityHint_ = slots;
  limit_ = std::clamp(limit_, std::max(options_.minLimit, capacityHint_ / 4),
                      std::min(options_.maxLimit, capacityHint_));
}

bool PoolLimiter::hasFreeSlot() const {
  return static_cast<double>(inUse_) < std::max(limit_, options_.minLimit);
}

// The last slots are withheld from an organisation that holds most of the
// others, so that other organisations' requests don't wait for its long ones.
bool PoolLimiter::hasFreeSlotFor(const std::string &organisation) const {
  if (!hasFreeSlot())
    return false;
  const double slots = std::max(limit_, options_.minLimit);
  if (static_cast<double>(inUse_) < slots * (1 - options_.reservedShare))
    return true;
  const auto flow = flows_.find(organisation);
  return flow == flows_.end() || static_cast<double>(flow->second.inUse) <
                                     slots * options_.dominantShare;
}

// Start-time fair queueing: an organisation that was idle starts at the current
// virtual time, so that it accumulates no credit.
void PoolLimiter::takeSlot(const SlotRequest &request) {
  ++inUse_;
  Flow &flow = flows_[request.organisation];
  ++flow.inUse;
  flow.startTag = std::max(flow.startTag, virtualTime_);
  virtualTime_ = flow.startTag;
  flow.startTag += static_cast<double>(request.cost.count()) / request.weight;
  if (flows_.size() <= pruneAt_)
    return;
  absl::erase_if(flows_, [this](const auto &entry) {
    const Flow &flow = entry.second;
    return flow.queued == 0 && flow.inUse == 0 && flow.startTag <= virtualTime_;
  });
  // Doubling the threshold keeps the amortised cost of a request independent of
  // the number of organisations.
  pruneAt_ = std::max(MinPruneAt, flows_.size() * 2);
}

bool PoolLimiter::tryAcquire(const SlotRequest &request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!queue_.empty() || !hasFreeSlotFor(request.organisation))
    return false;
  takeSlot(request);
  return true;
}

SlotResult PoolLimiter::acquire(const SlotRequest &request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.empty() && hasFreeSlotFor(request.organisation)) {
    takeSlot(request);
    return SlotResult::Granted;
  }
  if (queue_.size() >= options_.maxQueued)
    return SlotResult::Full;
  flows_.try_emplace(request.organisation);
  queue_.push_back(request);
  // The queued requests may all be blocked by the reserved share; the new
  // request starts if it is the first that is not.
  if (hasFreeSlot() && pickNext() == queue_.size() - 1) {
    queue_.pop_back();
    takeSlot(request);
    return SlotResult::Granted;
  }
  Flow &flow = flows_[request.organisation];
  ++flow.queued;
  flow.weight = request.weight;
  return SlotResult::Queued;
}

std::optional<std::size_t> PoolLimiter::pickNext() const {
  std::optional<std::size_t> best;
  double bestStartTag = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const SlotRequest &candidate = queue_[i];
    const double startTag =
        std::max(flows_.at(candidate.organisation).startTag, virtualTime_);
    const bool earlier =
        !best || startTag < bestStartTag ||
        (startTag == bestStartTag && precedes(candidate, queue_[*best]));
    if (!earlier || !hasFreeSlotFor(candidate.organisation))
      continue;
    best = i;
    bestStartTag = startTag;
  }
  return best;
}

void PoolLimiter::release(const std::string &organisation,
                          std::vector<SlotRequest> *granted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  --inUse_;
  --flows_[organisation].inUse;
  while (const std::optional<std::size_t> next = pickNext()) {
    SlotRequest request = std::move(queue_[*next]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*next));
    --flows_[request.organisation].queued;
    takeSlot(request);
    granted->push_back(std::move(request));
  }
}

void PoolLimiter::removeQueued(RequestId request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::size_t i = queue_.size(); i-- > 0;) {
    if (queue_[i].request != request)
      continue;
    --flows_[queue_[i].organisation].queued;
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void PoolLimiter::shrinkLimit(TimePoint now) {
  if (now - lastShrink_ < std::max(MinShrinkInterval, smoothedLatency_))
    return;
  lastShrink_ = now;
  const double low = std::max(options_.minLimit, capacityHint_ / 4);
  limit_ = std::max(low, limit_ * ShrinkFactor);
}

void PoolLimiter::recordLatency(Duration latency, double slowdown,
                                TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  smoothedLatency_ =
      smoothedLatency_.count() == 0
          ? latency
          : movingAverage(smoothedLatency_, latency, SmoothingFactor);
  slowdown_ = slowdown_ * (1 - SmoothingFactor) + slowdown * SmoothingFactor;
  if (slowdown_ > options_.slowdownTolerance)
    return shrinkLimit(now);
  // Grow only while the limit is reached.
  if (static_cast<double>(inUse_) < limit_ - 1)
    return;
  const double high = capacityHint_ > 0
                          ? std::min(options_.maxLimit, capacityHint_)
                          : options_.maxLimit;
  limit_ = std::min(high, limit_ + GrowthPerRound / std::max(limit_, 1.0));
}

void PoolLimiter::recordOverload(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  shrinkLimit(now);
}

Duration PoolLimiter::expectedWait(const std::string &organisation,
                                   double weight) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.empty() && hasFreeSlot())
    return Duration(0);
  double ownQueued = 1;
  double weights = weight;
  for (const auto &[name, flow] : flows_) {
    if (flow.queued == 0)
      continue;
    if (name == organisation)
      ownQueued += static_cast<double>(flow.queued);
    else
      weights += flow.weight;
  }
  const double slots = std::max(limit_, options_.minLimit);
  const double rounds = std::min(static_cast<double>(queue_.size() + 1) / slots,
                                 ownQueued / (slots * weight / weights));
  return Duration(static_cast<std::int64_t>(
      rounds * static_cast<double>(smoothedLatency_.count())));
}

PoolLimiter::Stats PoolLimiter::stats() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {limit_, inUse_, queue_.size(), smoothedLatency_, slowdown_};
}

} // namespace auburnspring
