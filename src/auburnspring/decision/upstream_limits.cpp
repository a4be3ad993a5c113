#include "auburnspring/decision/upstream_limits.h"

#include "auburnspring/decision/cold_limit.h"
#include "auburnspring/decision/concurrency_limit.h"
#include "auburnspring/decision/request_limit.h"

#include <algorithm>

namespace auburnspring {

namespace {

using LimitPtr = std::unique_ptr<SharedLimit>;

struct Reason {
  StatementKind kind;
  std::string_view name;
  std::string_view unit;
  LimitPtr (*makeLimit)(const LimitTerms &terms);
  /// Least time over which hosts that were denied a permit are spread, and how
  /// many of them come back for each permit.
  Duration minSpread;
  double askersPerPermit;
};

/// The limit that can be given back stands first.
constexpr std::array<Reason, UpstreamLimits::ReasonCount> Reasons = {
    {{StatementKind::RejectionLimit, "rejections", "per_second",
      [](const LimitTerms &terms) -> LimitPtr {
        return std::make_unique<ConcurrencyLimit>(terms.slots,
                                                  terms.roomPerSlot);
      },
      std::chrono::milliseconds(10), 16},
     {StatementKind::Cold, "cold", "remaining_ms",
      [](const LimitTerms &terms) -> LimitPtr {
        return std::make_unique<ColdLimit>(terms.cold);
      },
      DenialSpread::Min, 4},
     {StatementKind::RequestLimit, "rate", "per_second",
      [](const LimitTerms &) -> LimitPtr {
        return std::make_unique<RequestLimit>();
      },
      DenialSpread::Min, 4}}};

const Reason *findReason(StatementKind kind) {
  const auto *found =
      std::find_if(Reasons.begin(), Reasons.end(),
                   [&](const Reason &reason) { return reason.kind == kind; });
  return found == Reasons.end() ? nullptr : found;
}

std::size_t indexOf(const Reason &reason) {
  return static_cast<std::size_t>(&reason - Reasons.data());
}

} // namespace

const std::array<StatementKind, UpstreamLimits::ReasonCount> &
UpstreamLimits::kinds() {
  static constexpr std::array<StatementKind, ReasonCount> Kinds = {
      Reasons[0].kind, Reasons[1].kind, Reasons[2].kind};
  return Kinds;
}

std::string_view UpstreamLimits::reasonName(StatementKind kind) {
  const Reason *reason = findReason(kind);
  return reason == nullptr ? std::string_view() : reason->name;
}

std::string_view UpstreamLimits::unitName(StatementKind kind) {
  const Reason *reason = findReason(kind);
  return reason == nullptr ? std::string_view() : reason->unit;
}

bool UpstreamLimits::isLimit(StatementKind kind) {
  return findReason(kind) != nullptr;
}

bool UpstreamLimits::onStatement(StatementKind kind,
                                 std::optional<double> value,
                                 TimePoint statedAt, const LimitTerms &terms,
                                 TimePoint now) {
  const Reason *reason = findReason(kind);
  if (reason == nullptr)
    return false;
  LimitPtr &limit = limits_[indexOf(*reason)];
  if (!limit)
    limit = reason->makeLimit(terms);
  return limit->onStatement(value, statedAt, now);
}

const SharedLimit *UpstreamLimits::find(StatementKind kind) const {
  const Reason *reason = findReason(kind);
  return reason == nullptr ? nullptr : limits_[indexOf(*reason)].get();
}

bool UpstreamLimits::isLimited(StatementKind kind, TimePoint now) const {
  const SharedLimit *limit = find(kind);
  return limit != nullptr && limit->isLimited(now);
}

bool UpstreamLimits::isLimited(TimePoint now) const {
  return std::any_of(limits_.begin(), limits_.end(), [&](const auto &limit) {
    return limit && limit->isLimited(now);
  });
}

void UpstreamLimits::setGivingFor(Duration span, TimePoint now) {
  for (const auto &limit : limits_)
    if (limit)
      limit->setGivingFor(span, now);
}

Duration UpstreamLimits::timeToPermit(TimePoint now) const {
  Duration longest{0};
  for (const auto &limit : limits_)
    if (limit)
      longest = std::max(longest, limit->timeToPermit(now));
  return longest;
}

bool UpstreamLimits::takePermit(std::uint64_t lease, Duration holdFor,
                                TimePoint now) {
  // The first can be given back; the others can't, so all of them must have
  // one.
  for (std::size_t i = 1; i < limits_.size(); ++i)
    if (limits_[i] && limits_[i]->timeToPermit(now) > Duration(0))
      return false;
  return std::all_of(limits_.begin(), limits_.end(), [&](const auto &limit) {
    return !limit || limit->takePermit(lease, holdFor, now);
  });
}

Duration UpstreamLimits::retryAfterDenial(TimePoint now, double uniform) {
  std::size_t slowest = 0;
  Duration longest{0};
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    const Duration wait =
        limits_[i] ? limits_[i]->timeToPermit(now) : Duration(0);
    if (wait > longest) {
      longest = wait;
      slowest = i;
    }
  }
  const double rate =
      limits_[slowest] ? limits_[slowest]->permitsPerSecond() : 1;
  return longest + spread_.next(rate * Reasons[slowest].askersPerPermit,
                                uniform, now, Reasons[slowest].minSpread);
}

void UpstreamLimits::release(std::uint64_t lease, PermitEnd end,
                             TimePoint now) {
  for (const auto &limit : limits_)
    if (limit)
      limit->release(lease, end, now);
}

} // namespace auburnspring
