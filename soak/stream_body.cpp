#include "soak/stream_body.h"

#include <fmt/format.h>

#include <charconv>

namespace auburnspring::soak {

StreamBody::StreamBody(std::string id, int lastEventId)
    : id_(std::move(id)), lastEventId_(lastEventId) {}

void StreamBody::read(
    std::string_view body,
    const std::function<void(int number, std::string_view version)> &onEvent) {
  constexpr std::string_view NumberField = "id: ";
  constexpr std::string_view VersionField = " of ";
  constexpr std::string_view IdField = " to ";
  constexpr std::string_view EventEnd = "\n\n";
  for (;;) {
    const std::string_view rest = body.substr(readBytes_);
    const std::size_t end = rest.find(EventEnd);
    if (end == std::string_view::npos)
      return;
    const std::string_view event = rest.substr(0, end + EventEnd.size());
    const std::size_t version = event.find(VersionField);
    const std::size_t versionEnd = event.find(IdField);
    if (event.rfind(NumberField, 0) != 0 || version == std::string_view::npos ||
        versionEnd == std::string_view::npos ||
        versionEnd < version + VersionField.size())
      return;
    int number = 0;
    std::from_chars(event.data() + NumberField.size(),
                    event.data() + event.size(), number);
    const std::string_view name =
        event.substr(version + VersionField.size(),
                     versionEnd - version - VersionField.size());
    if (event != fmt::format("id: {}\ndata: piece {} of {} to {}\n\n", number,
                             number, name, id_))
      return;
    isInOrder_ = isInOrder_ && number == lastEventId_ + 1;
    lastEventId_ = number;
    readBytes_ += event.size();
    onEvent(number, name);
  }
}

} // namespace auburnspring::soak
