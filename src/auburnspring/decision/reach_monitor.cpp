#include "auburnspring/decision/reach_monitor.h"

#include <algorithm>
#include <iterator>

namespace auburnspring {

void ReachMonitor::onConnected(TimePoint begunAt) {
  connectedAt_ = std::max(connectedAt_.value_or(begunAt), begunAt);
  for (auto it = failures_.begin(); it != failures_.end();)
    it = it->second <= begunAt ? failures_.erase(it) : std::next(it);
  // A cut ends by its probes alone, so that one connection among many failures
  // does not.
  if (state_ == State::Suspected && failures_.size() < SuspicionFailures)
    state_ = State::Reaching;
}

void ReachMonitor::onUnreachable(const std::string &upstream, TimePoint now) {
  for (auto it = failures_.begin(); it != failures_.end();)
    it = it->second + FailureRetention < now ? failures_.erase(it)
                                             : std::next(it);
  failures_[upstream] = now;
  if (state_ != State::Reaching || failures_.size() < SuspicionFailures)
    return;
  state_ = State::Suspected;
  nextRoundAt_ = now;
}

std::size_t ReachMonitor::beginProbes(std::size_t listedUpstreams,
                                      TimePoint now) {
  if (state_ == State::Reaching || pendingProbes_ > 0 || now < nextRoundAt_)
    return 0;
  nextRoundAt_ = now + ProbeInterval;
  roundProbes_ = std::min(
      listedUpstreams, state_ == State::Suspected ? ConfirmProbes : HealProbes);
  pendingProbes_ = roundProbes_;
  connectedProbes_ = 0;
  return roundProbes_;
}

void ReachMonitor::onProbeEnd(bool isConnected, TimePoint now) {
  if (pendingProbes_ == 0)
    return;
  connectedProbes_ += isConnected ? 1 : 0;
  if (isConnected)
    connectedAt_ = now;
  if (--pendingProbes_ == 0)
    endRound(now);
}

void ReachMonitor::endRound(TimePoint now) {
  if (state_ == State::Suspected && connectedProbes_ > 0) {
    state_ = State::Reaching;
    failures_.clear();
  } else if (state_ == State::Suspected) {
    state_ = State::Cut;
    cutSince_ = now;
    for (const auto &failure : failures_)
      cutSince_ = std::min(cutSince_, failure.second);
    healedRounds_ = 0;
  } else if (state_ == State::Cut) {
    healedRounds_ = connectedProbes_ == roundProbes_ ? healedRounds_ + 1 : 0;
    if (healedRounds_ < HealRounds)
      return;
    state_ = State::Reaching;
    failures_.clear();
  }
}

std::optional<Duration> ReachMonitor::connectionAge(TimePoint now) const {
  if (!connectedAt_)
    return std::nullopt;
  return now - *connectedAt_;
}

} // namespace auburnspring
