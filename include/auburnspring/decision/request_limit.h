#ifndef AUBURNSPRING_DECISION_REQUEST_LIMIT_H
#define AUBURNSPRING_DECISION_REQUEST_LIMIT_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspring {

/// The limit that one incarnation of an upstream has named for the requests of
/// all hosts together, and the permits that this host may give under it. One
/// host at a time gives the permits of an upstream.
class RequestLimit {
public:
  /// Permits that are saved up while none is asked for, in requests and in
  /// seconds of the limit; the larger one applies.
  static constexpr double MaxSavedRequests = 1;
  static constexpr double MaxSavedSeconds = 0.5;
  /// How far hosts that were denied a permit are spread in time.
  static constexpr Duration MinSpread = std::chrono::milliseconds(100);
  static constexpr Duration MaxSpread = std::chrono::seconds(3);

  /// Notes what the upstream stated, no limit if not set. Of two statements the
  /// later one holds. True if it changes the limit.
  bool onStatement(std::optional<double> perSecond, TimePoint statedAt,
                   TimePoint now);
  bool isLimited() const { return perSecond_.has_value(); }
  std::optional<double> perSecond() const { return perSecond_; }
  /// Time of the statement that holds; not set if there was none.
  std::optional<TimePoint> statedAt() const { return statedAt_; }

  /// Time until a permit can be given; 0 without a limit.
  Duration timeToPermit(TimePoint now) const;
  /// Gives a permit; false if there is none yet.
  bool takePermit(TimePoint now);
  /// When a host that was denied a permit is to ask again. `uniform` is drawn
  /// from 0 to 1: hosts that all came back at once would get one permit.
  Duration retryAfterDenial(TimePoint now, double uniform);

private:
  double savedAt(TimePoint now) const;
  double maxSaved() const;

  std::optional<double> perSecond_;
  std::optional<TimePoint> statedAt_;
  double saved_ = 0;
  TimePoint savedSince_;
  /// Denials in this second and the one before.
  std::int64_t denials_ = 0;
  std::int64_t denialsBefore_ = 0;
  TimePoint denialsSince_;
};

} // namespace auburnspring

#endif
