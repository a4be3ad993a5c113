#ifndef AUBURNSPRING_DECISION_SHARED_LIMIT_H
#define AUBURNSPRING_DECISION_SHARED_LIMIT_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/permit_end.h"

#include <cstdint>
#include <optional>

namespace auburnspring {

/// A limit that all hosts keep together for one reason, at one incarnation of
/// an upstream, and the permits that this host may give under it. One host at
/// a time gives the permits of an upstream.
class SharedLimit {
public:
  virtual ~SharedLimit() = default;

  /// Notes what the upstream stated, in the unit of the reason; no limit if not
  /// set. Of two statements the later one holds. True if it changes the limit.
  virtual bool onStatement(std::optional<double> value, TimePoint statedAt,
                           TimePoint now) = 0;
  virtual std::optional<double> value() const = 0;
  /// Time of the statement that holds; not set if there was none.
  virtual std::optional<TimePoint> statedAt() const = 0;
  virtual bool isLimited(TimePoint now) const = 0;

  /// Time until a permit can be given; 0 without a limit.
  virtual Duration timeToPermit(TimePoint now) const = 0;
  /// Gives a permit that is held until it is released, or for `holdFor` at
  /// most. False if there is none yet.
  virtual bool takePermit(std::uint64_t lease, Duration holdFor,
                          TimePoint now) = 0;
  /// Permits a second that it gives about now.
  virtual double permitsPerSecond() const = 0;
  /// Ends a lease.
  virtual void release(std::uint64_t /*lease*/, PermitEnd /*end*/,
                       TimePoint /*now*/) {}
  /// Notes for how long this host has been the one that gives the permits, in
  /// touch with most hosts; 0 if it is not. Matters to limits that must hold
  /// while hosts disagree on it.
  virtual void setGivingFor(Duration /*span*/, TimePoint /*now*/) {}
  /// Requests in progress that were found to have room, for each slot.
  virtual double roomPerSlot() const { return 1; }
};

} // namespace auburnspring

#endif
