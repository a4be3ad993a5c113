#ifndef AUBURNSPRING_SOAK_STREAM_BODY_H
#define AUBURNSPRING_SOAK_STREAM_BODY_H

#include <functional>
#include <string>
#include <string_view>

namespace auburnspring::soak {

/// Reads the events of a stream's response as its bytes arrive.
class StreamBody {
public:
  /// The events are those after `lastEventId`, for the request with this id.
  StreamBody(std::string id, int lastEventId);

  /// Calls `onEvent` for each event that `body`, the response up to now, has
  /// beyond those read before. Reads no further from bytes that are no event.
  void read(
      std::string_view body,
      const std::function<void(int number, std::string_view version)> &onEvent);

  int lastEventId() const { return lastEventId_; }
  /// True if the body has only events of consecutive numbers, up to the last.
  bool isWhole(std::string_view body, int eventsPerStream) const {
    return isInOrder_ && readBytes_ == body.size() &&
           lastEventId_ == eventsPerStream;
  }

private:
  std::string id_;
  int lastEventId_;
  bool isInOrder_ = true;
  std::size_t readBytes_ = 0;
};

} // namespace auburnspring::soak

#endif
