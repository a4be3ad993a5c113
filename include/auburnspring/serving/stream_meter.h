#ifndef AUBURNSPRING_SERVING_STREAM_METER_H
#define AUBURNSPRING_SERVING_STREAM_METER_H

#include "auburnspring/serving/event_splitter.h"

#include <cstddef>
#include <cstdint>

namespace auburnspring {

/// Bounds what an upstream may send in one stream.
class StreamMeter {
public:
  /// Limit in bytes on what is no event between two events: the part of an
  /// unfinished one, comments and empty lines.
  static constexpr std::size_t MaxIdleBytes = EventSplitter::MaxEventBytes;
  /// Limit in bytes on events that the caller already has.
  static constexpr std::size_t MaxRepeatedBytes = 8 << 20;
  /// Limit on the events of a stream for each output token of its request, and
  /// in addition to that.
  static constexpr std::int64_t MaxEventsPerToken = 2;
  static constexpr std::int64_t MaxExtraEvents = 64;

  /// Limits the number of events; without a call, or with 0 tokens, it is
  /// unlimited.
  void setOutputTokens(std::int64_t tokens) { outputTokens_ = tokens; }

  void addBytes(std::size_t bytes) { idleBytes_ += bytes; }
  /// Notes a complete event, whose bytes have been added.
  void addEvent(const StreamEvent &event, bool isRepeated);

  bool isExceeded() const;
  /// Events with data that the caller did not have.
  std::int64_t eventCount() const { return events_; }
  /// Bytes that count toward the limits.
  std::size_t bytes() const { return idleBytes_ + repeatedBytes_; }

private:
  std::int64_t outputTokens_ = 0;
  std::int64_t events_ = 0;
  std::size_t idleBytes_ = 0;
  std::size_t repeatedBytes_ = 0;
};

} // namespace auburnspring

#endif
