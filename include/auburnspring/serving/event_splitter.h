#ifndef AUBURNSPRING_SERVING_EVENT_SPLITTER_H
#define AUBURNSPRING_SERVING_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// One event of a stream, with the empty line that ends it.
struct StreamEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
  /// False for comments and empty lines.
  bool hasData = false;
};

/// Splits a text/event-stream into events.
class EventSplitter {
public:
  /// Upstreams send no event larger than this, in bytes.
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// Returns the events that these bytes complete.
  std::vector<StreamEvent> feed(std::string_view bytes);

  /// True if the last event is incomplete.
  bool hasPartialEvent() const { return !partial_.empty(); }
  /// Bytes of an incomplete event that are held.
  std::size_t partialBytes() const { return partial_.size(); }

private:
  std::string partial_;
};

} // namespace auburnspring

#endif
