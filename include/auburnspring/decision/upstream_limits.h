#ifndef AUBURNSPRING_DECISION_UPSTREAM_LIMITS_H
#define AUBURNSPRING_DECISION_UPSTREAM_LIMITS_H

#include "auburnspring/decision/cold_terms.h"
#include "auburnspring/decision/denial_spread.h"
#include "auburnspring/decision/shared_limit.h"
#include "auburnspring/decision/upstream_statement.h"

#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace auburnspring {

/// What the limits of an upstream depend on beside its statements.
struct LimitTerms {
  /// Requests that it processes at a time, by its entry.
  double slots = 1;
  /// Requests in progress that were found to have room at the upstreams of its
  /// pool, for each slot.
  double roomPerSlot = 1;
  ColdTerms cold;
};

/// The limits that all hosts keep together at one incarnation of an upstream,
/// for each reason that there is. A request needs a permit under all of them.
class UpstreamLimits {
public:
  static constexpr std::size_t ReasonCount = 3;
  /// The kinds of statement that limit requests.
  static const std::array<StatementKind, ReasonCount> &kinds();
  static std::string_view reasonName(StatementKind kind);
  /// Unit in which its statements are logged.
  static std::string_view unitName(StatementKind kind);
  static bool isLimit(StatementKind kind);

  /// Notes a statement; true if it changes what holds.
  bool onStatement(StatementKind kind, std::optional<double> value,
                   TimePoint statedAt, const LimitTerms &terms, TimePoint now);
  /// The limit for one reason; null if nothing was stated.
  const SharedLimit *find(StatementKind kind) const;
  bool isLimited(StatementKind kind, TimePoint now) const;
  /// Limited for any reason.
  bool isLimited(TimePoint now) const;

  /// Notes for how long this host has been the one that gives the permits, in
  /// touch with most hosts; 0 if it is not.
  void setGivingFor(Duration span, TimePoint now);
  /// Time until a permit can be given; 0 without a limit.
  Duration timeToPermit(TimePoint now) const;
  /// Gives a permit under all limits; false if there is none yet.
  bool takePermit(std::uint64_t lease, Duration holdFor, TimePoint now);
  /// When a host that was denied a permit is to ask again. `uniform` is drawn
  /// from 0 to 1.
  Duration retryAfterDenial(TimePoint now, double uniform);
  void release(std::uint64_t lease, PermitEnd end, TimePoint now);

private:
  /// By the order of kinds(); null where nothing was stated.
  std::array<std::unique_ptr<SharedLimit>, ReasonCount> limits_;
  DenialSpread spread_;
};

} // namespace auburnspring

#endif
