#include "auburnspring/decision/pool_gate.h"

#include <algorithm>
#include <limits>

namespace auburnspring {

namespace {

constexpr double SmoothingShare = 0.1;
constexpr double ShrinkFactor = 0.9;
constexpr double GrowthPerRound = 1.0;
constexpr Duration MinShrinkInterval = std::chrono::milliseconds(100);

Duration blend(Duration old, Duration sample, double share) {
  const double mixed = static_cast<double>(old.count()) * (1 - share) +
                       static_cast<double>(sample.count()) * share;
  return Duration(static_cast<std::int64_t>(mixed));
}

bool isSooner(const SlotRequest &a, const SlotRequest &b) {
  if (a.priority != b.priority)
    return a.priority < b.priority;
  return a.latestStart < b.latestStart;
}

} // namespace

PoolGate::PoolGate(Options options)
    : options_(options), limit_(options.initialLimit) {}

void PoolGate::setCapacityHint(double slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (slots <= 0 || slots == hint_)
    return;
  const double scale = hint_ > 0 ? slots / hint_ : 0;
  limit_ = scale > 0 ? limit_ * scale : slots;
  hint_ = slots;
  limit_ = std::clamp(limit_, std::max(options_.minLimit, hint_ / 4),
                      std::min(options_.maxLimit, hint_));
}

bool PoolGate::hasRoom() const {
  return static_cast<double>(inUse_) < std::max(limit_, options_.minLimit);
}

// The last slots are kept from an organisation that has most of the others, so
// that a small one's request need not wait for a large one's long work to end.
bool PoolGate::hasRoomFor(const std::string &organisation) const {
  if (!hasRoom())
    return false;
  const double slots = std::max(limit_, options_.minLimit);
  if (static_cast<double>(inUse_) < slots * (1 - options_.reserve))
    return true;
  const auto turn = turns_.find(organisation);
  return turn == turns_.end() ||
         static_cast<double>(turn->second.inUse) < slots * options_.dominance;
}

// Start-time fair queueing: an organisation that was idle joins at the present
// pass, so that it can't save up turns.
void PoolGate::take(const SlotRequest &request) {
  ++inUse_;
  Turn &turn = turns_[request.organisation];
  ++turn.inUse;
  turn.pass = std::max(turn.pass, lastPass_);
  lastPass_ = turn.pass;
  turn.pass += static_cast<double>(request.cost.count()) / request.weight;
  if (turns_.size() <= forgetAt_)
    return;
  absl::erase_if(turns_, [this](const auto &entry) {
    const Turn &turn = entry.second;
    return turn.queued == 0 && turn.inUse == 0 && turn.pass <= lastPass_;
  });
  // Looking again only after as many more have come keeps the price of a
  // request independent of the number of organisations.
  forgetAt_ = std::max(FirstForgetAt, turns_.size() * 2);
}

bool PoolGate::tryTake(const SlotRequest &request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!queue_.empty() || !hasRoomFor(request.organisation))
    return false;
  take(request);
  return true;
}

GateAnswer PoolGate::ask(const SlotRequest &request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.empty() && hasRoomFor(request.organisation)) {
    take(request);
    return GateAnswer::Granted;
  }
  if (queue_.size() >= options_.maxQueued)
    return GateAnswer::Full;
  turns_.try_emplace(request.organisation);
  queue_.push_back(request);
  // What waits may wait for its own share only; a request that is first among
  // those that may start need not.
  if (hasRoom() && pickNext() == queue_.size() - 1) {
    queue_.pop_back();
    take(request);
    return GateAnswer::Granted;
  }
  Turn &turn = turns_[request.organisation];
  ++turn.queued;
  turn.weight = request.weight;
  return GateAnswer::Queued;
}

std::optional<std::size_t> PoolGate::pickNext() const {
  std::optional<std::size_t> best;
  double bestPass = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const SlotRequest &candidate = queue_[i];
    const double pass =
        std::max(turns_.at(candidate.organisation).pass, lastPass_);
    const bool earlier =
        !best || pass < bestPass ||
        (pass == bestPass && isSooner(candidate, queue_[*best]));
    if (!earlier || !hasRoomFor(candidate.organisation))
      continue;
    best = i;
    bestPass = pass;
  }
  return best;
}

void PoolGate::release(const std::string &organisation,
                       std::vector<SlotRequest> *granted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  --inUse_;
  --turns_[organisation].inUse;
  while (const std::optional<std::size_t> next = pickNext()) {
    SlotRequest request = std::move(queue_[*next]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*next));
    --turns_[request.organisation].queued;
    take(request);
    granted->push_back(std::move(request));
  }
}

void PoolGate::withdraw(RequestId request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::size_t i = queue_.size(); i-- > 0;) {
    if (queue_[i].request != request)
      continue;
    --turns_[queue_[i].organisation].queued;
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void PoolGate::shrink(TimePoint now) {
  if (now - lastShrink_ < std::max(MinShrinkInterval, smoothed_))
    return;
  lastShrink_ = now;
  const double low = std::max(options_.minLimit, hint_ / 4);
  limit_ = std::max(low, limit_ * ShrinkFactor);
}

void PoolGate::learn(Duration latency, double stretch, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  smoothed_ = smoothed_.count() == 0
                  ? latency
                  : blend(smoothed_, latency, SmoothingShare);
  stretch_ = stretch_ * (1 - SmoothingShare) + stretch * SmoothingShare;
  if (stretch_ > options_.stretchTolerance)
    return shrink(now);
  // Grow only while the limit is what holds work back.
  if (static_cast<double>(inUse_) < limit_ - 1)
    return;
  const double high =
      hint_ > 0 ? std::min(options_.maxLimit, hint_) : options_.maxLimit;
  limit_ = std::min(high, limit_ + GrowthPerRound / std::max(limit_, 1.0));
}

void PoolGate::learnOverload(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  shrink(now);
}

Duration PoolGate::expectedWait(const std::string &organisation,
                                double weight) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.empty() && hasRoom())
    return Duration(0);
  double ownQueued = 1;
  double weights = weight;
  for (const auto &[name, turn] : turns_) {
    if (turn.queued == 0)
      continue;
    if (name == organisation)
      ownQueued += static_cast<double>(turn.queued);
    else
      weights += turn.weight;
  }
  const double slots = std::max(limit_, options_.minLimit);
  const double rounds = std::min(static_cast<double>(queue_.size() + 1) / slots,
                                 ownQueued / (slots * weight / weights));
  return Duration(static_cast<std::int64_t>(
      rounds * static_cast<double>(smoothed_.count())));
}

PoolGate::Reading PoolGate::read() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {limit_, inUse_, queue_.size(), smoothed_, stretch_};
}

} // namespace auburnspring
