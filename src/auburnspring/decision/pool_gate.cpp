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

// Start-time fair queueing: an organisation that was idle joins at the present
// pass, so that it can't save up turns.
void PoolGate::take(const SlotRequest &request) {
  ++inUse_;
  Turn &turn = turns_[request.organisation];
  turn.pass = std::max(turn.pass, lastPass_);
  lastPass_ = turn.pass;
  turn.pass += static_cast<double>(request.cost.count()) / request.weight;
  if (turns_.size() <= forgetAt_)
    return;
  absl::erase_if(turns_, [this](const auto &entry) {
    return entry.second.queued == 0 && entry.second.pass <= lastPass_;
  });
  // Looking again only after as many more have come keeps the price of a
  // request independent of the number of organisations.
  forgetAt_ = std::max(FirstForgetAt, turns_.size() * 2);
}

bool PoolGate::tryTake(const SlotRequest &request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!queue_.empty() || !hasRoom())
    return false;
  take(request);
  return true;
}

GateAnswer PoolGate::ask(const SlotRequest &request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.empty() && hasRoom()) {
    take(request);
    return GateAnswer::Granted;
  }
  if (queue_.size() >= options_.maxQueued)
    return GateAnswer::Full;
  queue_.push_back(request);
  Turn &turn = turns_[request.organisation];
  ++turn.queued;
  turn.weight = request.weight;
  return GateAnswer::Queued;
}

std::size_t PoolGate::pickNext() const {
  std::size_t best = 0;
  double bestPass = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const SlotRequest &candidate = queue_[i];
    const double pass =
        std::max(turns_.at(candidate.organisation).pass, lastPass_);
    const SlotRequest &leader = queue_[best];
    const bool sooner = candidate.priority != leader.priority
                            ? candidate.priority < leader.priority
                            : candidate.latestStart < leader.latestStart;
    if (pass > bestPass || (pass == bestPass && !sooner))
      continue;
    best = i;
    bestPass = pass;
  }
  return best;
}

void PoolGate::release(std::vector<SlotRequest> *granted) {
  const std::lock_guard<std::mutex> lock(mutex_);
  --inUse_;
  while (!queue_.empty() && hasRoom()) {
    const std::size_t next = pickNext();
    SlotRequest request = std::move(queue_[next]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(next));
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
