#ifndef AUBURNSPRING_SERVING_EVENT_SPLITTER_H
#define AUBURNSPRING_SERVING_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// One whole event of a stream, with the empty line that ends it.
struct StreamEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
};

/// Cuts a text/event-stream into whole events.
class EventSplitter {
public:
  /// An event larger than this is no event of these upstreams, in bytes.
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// Events that these bytes complete.
  std::vector<StreamEvent> feed(std::string_view bytes);

  /// True if an event has begun and not ended.
  bool hasPartialEvent() const { return !partial_.empty(); }
  bool isTooLarge() const { return partial_.size() > MaxEventBytes; }

private:
  std::string partial_;
};

} // namespace auburnspring

#endif
