#include "auburnspring/decision/stream_origin_reads.h"

#include <algorithm>

namespace auburnspring {

std::uint64_t StreamOriginReads::hold(const std::string &id, TimePoint now) {
  held_.push_back({nextNumber_, id, now});
  return nextNumber_++;
}

bool StreamOriginReads::mustStart(std::size_t hosts, TimePoint now) {
  const Duration interval = std::max<Duration>(
      MinInterval, IntervalPerHost * static_cast<std::int64_t>(hosts));
  if (held_.empty() || isReading_ || now < startedAt_ + interval)
    return false;
  isReading_ = true;
  startedAt_ = now;
  return true;
}

std::vector<StreamOriginReads::Decision>
StreamOriginReads::onEnd(bool succeeded, const StreamOrigins &origins,
                         TimePoint now) {
  isReading_ = false;
  std::vector<Decision> decisions;
  std::vector<Held> stillHeld;
  for (Held &held : held_) {
    const auto found = origins.find(held.id, now);
    const bool isKnown = found && found->isSettled();
    // The read may have missed what was written after it began.
    if (!isKnown && succeeded && held.since > startedAt_) {
      stillHeld.push_back(std::move(held));
      continue;
    }
    const Outcome outcome = isKnown     ? Outcome::Known
                            : succeeded ? Outcome::Unknown
                                        : Outcome::Unread;
    decisions.push_back({held.number, std::move(held.id), outcome});
  }
  held_ = std::move(stillHeld);
  return decisions;
}

} // namespace auburnspring
