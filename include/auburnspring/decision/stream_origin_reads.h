#ifndef AUBURNSPRING_DECISION_STREAM_ORIGIN_READS_H
#define AUBURNSPRING_DECISION_STREAM_ORIGIN_READS_H

#include "auburnspring/decision/stream_origins.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// Decides when a host reads the pages of streams' origins from the store, and
/// which resumed streams it holds meanwhile. A stream is unknown if a read that
/// began after it was asked for has not brought its origin.
class StreamOriginReads {
public:
  enum class Outcome {
    /// Its origin is settled.
    Known,
    /// Its origin is not in the store.
    Unknown,
    /// The store could not be read, so its origin may still come.
    Unread
  };
  struct Decision {
    std::uint64_t number = 0;
    std::string id;
    Outcome outcome = Outcome::Unknown;
  };

  /// Least time between two reads, and its share for each host of the fleet:
  /// what all hosts together may read in a second is bounded.
  static constexpr Duration MinInterval = std::chrono::milliseconds(300);
  static constexpr Duration IntervalPerHost = std::chrono::milliseconds(5);

  /// Holds a stream; returns its number.
  std::uint64_t hold(const std::string &id, TimePoint now);
  /// True if a read is to start now; the caller then does so.
  bool mustStart(std::size_t hosts, TimePoint now);
  /// The read has ended, and `origins` has what it brought. Returns what is
  /// decided by it.
  std::vector<Decision> onEnd(bool succeeded, const StreamOrigins &origins,
                              TimePoint now);
  std::size_t heldCount() const { return held_.size(); }

private:
  struct Held {
    std::uint64_t number = 0;
    std::string id;
    TimePoint since;
  };

  std::vector<Held> held_;
  std::uint64_t nextNumber_ = 1;
  TimePoint startedAt_;
  bool isReading_ = false;
};

} // namespace auburnspring

#endif
