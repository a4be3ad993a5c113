#ifndef AUBURNSPRING_DECISION_STREAM_ORIGIN_PAGES_H
#define AUBURNSPRING_DECISION_STREAM_ORIGIN_PAGES_H

#include "auburnspring/decision/stream_origin.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace auburnspring {

/// Decides when a host writes origins of streams to the store, where they
/// outlast all hosts. Each call writes one page of all that has come since the
/// last one, under a lease that ends when none of its streams can be resumed.
/// One call is under way at a time.
class StreamOriginPages {
public:
  /// Streams beyond this number go into the next page, to bound its size.
  static constexpr std::size_t MaxPageOrigins = 2000;
  /// Least time between two pages of a host, where one host writes for all, and
  /// in a fleet where several do.
  static constexpr Duration SmallFleetInterval = std::chrono::milliseconds(100);
  static constexpr Duration LargeFleetInterval = std::chrono::milliseconds(300);
  /// Pages that a host writes at most while a stream may be resumed, so that a
  /// read stays short where streams last long.
  static constexpr std::int64_t MaxPagesPerStream = 200;
  static constexpr Duration RetryInterval = std::chrono::milliseconds(500);
  /// Bounds of a lease.
  static constexpr Duration MinLease = std::chrono::seconds(5);
  static constexpr Duration MaxLease = std::chrono::minutes(10);

  enum class Step { None, CreateLease, Write };
  enum class Outcome { Stored, Failed, LeaseEnded };

  struct Page {
    /// Of this host, from 1.
    std::uint64_t number = 0;
    std::int64_t lease = 0;
    std::vector<StreamOrigin> origins;
  };

  void add(const std::vector<StreamOrigin> &origins, TimePoint now);
  /// The call to make now.
  Step nextStep(Duration interval, TimePoint now);

  /// Begins the creation of a lease; returns how long it is to last.
  Duration startLease(TimePoint now);
  /// Not set if the call failed.
  void onLease(std::optional<std::int64_t> lease, TimePoint now);

  /// Begins the writing of a page, which is valid until it has ended.
  const Page &startPage(TimePoint now);
  /// Ends it. What was not stored is written again.
  void onPageEnd(Outcome outcome, TimePoint now);

  /// The store has lost the lease.
  void dropLease() { lease_.reset(); }
  std::size_t waitingCount() const { return waiting_.size(); }

private:
  struct Waiting {
    StreamOrigin origin;
    TimePoint expiresAt;
  };

  /// Time from now on for which a page of all that waits has to last.
  Duration neededTime(TimePoint now) const;

  std::deque<Waiting> waiting_;
  Page page_;
  TimePoint pageTakenAt_;
  std::optional<std::int64_t> lease_;
  TimePoint leaseAskedAt_;
  Duration leaseTtl_{0};
  bool callPending_ = false;
  TimePoint lastCallAt_;
  TimePoint retryAt_;
};

} // namespace auburnspring

#endif
