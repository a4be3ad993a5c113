#ifndef AUBURNSPRING_DECISION_EVACUATIONS_H
#define AUBURNSPRING_DECISION_EVACUATIONS_H

#include "auburnspring/base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace auburnspring {

/// The data centres whose upstreams the operator wants to take no request, and
/// how traffic leaves them: each upstream closes at a moment of its own, by its
/// draw, so that the others take over a growing share. Nothing is sent to a
/// closed upstream. The last one closes early enough that what was sent before
/// has arrived when the evacuation's time is over.
class Evacuations {
public:
  /// Share of the evacuation's time over which upstreams close, and the part of
  /// it that is left at least for requests that are being sent.
  static constexpr double LeavingShare = 0.7;
  static constexpr Duration SendingTime = std::chrono::milliseconds(1000);
  /// How long an evacuation holds that a store lacks since it was restored from
  /// a copy. The operator writes it again if it still applies.
  static constexpr Duration RestoreGrace = std::chrono::seconds(30);
  /// How long the end of an evacuation is remembered, and how many are. A copy
  /// of the store is seconds old.
  static constexpr Duration EndedRetention = std::chrono::minutes(10);
  static constexpr std::size_t MaxEnded = 64;

  enum class Change {
    None,
    Begun,
    Ended,
    /// Missing from a restored store, and kept for a time.
    Held,
    /// Named by a restored store although it has ended.
    Ignored
  };
  /// Whether the store says so now, or has come back from a copy that does.
  enum class Source { Written, RestoredCopy };

  /// Time from the operator's request until nothing may arrive any more.
  void setTime(Duration time) { time_ = time; }

  /// The store names the data centre; it did not at `notBefore`.
  Change begin(const std::string &dataCentre, Source source,
               TimePoint notBefore, TimePoint now);
  /// The store names it no longer.
  Change end(const std::string &dataCentre, Source source, TimePoint now);
  /// Ends those that a restored store has lacked for too long; returns them.
  std::vector<std::string> endHeld(TimePoint now);

  /// Moment from which an upstream of the data centre takes no request, by its
  /// draw of 0 to 1; the maximum if it is not evacuated.
  TimePoint closesAt(const std::string &dataCentre, double draw) const;
  std::size_t size() const { return evacuated_.size(); }

private:
  struct Evacuation {
    TimePoint since;
    /// When a restored store was found to lack it; the maximum if it does not.
    TimePoint heldSince = TimePoint::max();
  };

  Duration leavingTime() const;

  Duration time_ = std::chrono::seconds(5);
  std::map<std::string, Evacuation> evacuated_;
  std::map<std::string, TimePoint> ended_;
};

} // namespace auburnspring

#endif
