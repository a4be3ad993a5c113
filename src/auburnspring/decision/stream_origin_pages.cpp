#include "auburnspring/decision/stream_origin_pages.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Of the time that a page has to last, so that later pages use its lease.
constexpr std::int64_t LeaseNumerator = 3;
constexpr std::int64_t LeaseDenominator = 2;

} // namespace

void StreamOriginPages::add(const std::vector<StreamOrigin> &origins,
                            TimePoint now) {
  for (const StreamOrigin &origin : origins)
    waiting_.push_back({origin, now + origin.expiresIn});
}

Duration StreamOriginPages::neededTime(TimePoint now) const {
  Duration longest{0};
  for (const Waiting &waiting : waiting_)
    longest = std::max(longest, waiting.expiresAt - now);
  return std::min(longest, MaxLease * LeaseDenominator / LeaseNumerator);
}

StreamOriginPages::Step StreamOriginPages::nextStep(Duration interval,
                                                    TimePoint now) {
  if (callPending_ || now < lastCallAt_ + interval || now < retryAt_)
    return Step::None;
  const auto expired = std::remove_if(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting &waiting) { return waiting.expiresAt <= now; });
  waiting_.erase(expired, waiting_.end());
  if (waiting_.empty() ||
      now < lastCallAt_ + neededTime(now) / MaxPagesPerStream)
    return Step::None;
  const bool isLeaseLongEnough =
      lease_ && leaseAskedAt_ + leaseTtl_ >= now + neededTime(now);
  return isLeaseLongEnough ? Step::Write : Step::CreateLease;
}

Duration StreamOriginPages::startLease(TimePoint now) {
  callPending_ = true;
  leaseAskedAt_ = now;
  leaseTtl_ = std::clamp<Duration>(
      neededTime(now) * LeaseNumerator / LeaseDenominator, MinLease, MaxLease);
  return leaseTtl_;
}

void StreamOriginPages::onLease(std::optional<std::int64_t> lease,
                                TimePoint now) {
  callPending_ = false;
  lease_ = lease;
  if (!lease)
    retryAt_ = now + RetryInterval;
}

const StreamOriginPages::Page &StreamOriginPages::startPage(TimePoint now) {
  callPending_ = true;
  lastCallAt_ = pageTakenAt_ = now;
  ++page_.number;
  page_.lease = lease_.value_or(0);
  page_.origins.clear();
  while (!waiting_.empty() && page_.origins.size() < MaxPageOrigins) {
    page_.origins.push_back(std::move(waiting_.front().origin));
    page_.origins.back().expiresIn = waiting_.front().expiresAt - now;
    waiting_.pop_front();
  }
  return page_;
}

void StreamOriginPages::onPageEnd(Outcome outcome, TimePoint now) {
  callPending_ = false;
  if (outcome == Outcome::Stored)
    return;
  // A page that was written all the same says nothing else.
  for (auto it = page_.origins.rbegin(); it != page_.origins.rend(); ++it)
    waiting_.push_front({*it, pageTakenAt_ + it->expiresIn});
  if (outcome == Outcome::LeaseEnded)
    lease_.reset();
  else
    retryAt_ = now + RetryInterval;
}

} // namespace auburnspring
