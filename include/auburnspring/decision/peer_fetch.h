#ifndef AUBURNSPRING_DECISION_PEER_FETCH_H
#define AUBURNSPRING_DECISION_PEER_FETCH_H

#include "auburnspring/base/time.h"

#include <algorithm>
#include <optional>
#include <string>

namespace auburnspring {

/// A fetch of something large from peers. One is in progress at a time: on a
/// slow link a second reply beside the first would delay both.
class PeerFetch {
public:
  /// Time after which a fetch without a sign of a reply has failed. Each
  /// failure in a row doubles the time, up to MaxTimeout.
  static constexpr Duration Timeout = std::chrono::seconds(1);
  /// Time for the rest of a large reply that has been announced.
  static constexpr Duration MaxTimeout = std::chrono::seconds(4);
  /// Least time between two fetches.
  static constexpr Duration Interval = std::chrono::milliseconds(150);

  /// True if a fetch may begin. One whose time is over fails.
  bool mayBegin(TimePoint now) {
    if (host_ && now >= failsAt_)
      fail();
    return !host_ && now >= startedAt_ + Interval;
  }

  void begin(const std::string &host, TimePoint now) {
    host_ = host;
    startedAt_ = now;
    failsAt_ = now + timeout();
  }

  /// Handles the announcement of a large reply.
  void onReplyAnnounced(const std::string &from, TimePoint now) {
    if (host_ == from)
      failsAt_ = now + MaxTimeout;
  }

  /// Handles a reply; `isNews` if it brought something new.
  void onReply(const std::string &from, bool isNews) {
    if (host_ != from)
      return;
    if (isNews)
      reset();
    else
      fail();
  }

  void onConnectionLost(const std::string &host) {
    if (host_ == host)
      fail();
  }

  /// Nothing is missing any more.
  void reset() {
    host_.reset();
    failedHost_.clear();
    failures_ = 0;
  }

  /// Failures in a row, and the host of the latest.
  int failures() const { return failures_; }
  const std::string &failedHost() const { return failedHost_; }

private:
  void fail() {
    failedHost_ = *host_;
    host_.reset();
    ++failures_;
  }

  Duration timeout() const {
    Duration timeout = Timeout;
    for (int i = 0; i < failures_ && timeout < MaxTimeout; ++i)
      timeout *= 2;
    return std::min(timeout, MaxTimeout);
  }

  /// Host of the fetch in progress.
  std::optional<std::string> host_;
  TimePoint startedAt_;
  TimePoint failsAt_;
  std::string failedHost_;
  int failures_ = 0;
};

} // namespace auburnspring

#endif
