#include "auburnspring/serving/event_splitter.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <utility>

namespace auburnspring {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view DataField = "data:";

std::optional<std::int64_t> idOf(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    if (line.substr(0, IdField.size()) == IdField) {
      const std::string_view text = line.substr(IdField.size());
      std::int64_t id = 0;
      if (absl::SimpleAtoi(
              absl::StripAsciiWhitespace({text.data(), text.size()}), &id))
        return id;
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

bool hasDataField(std::string_view event) {
  for (std::size_t at = event.find(DataField); at != std::string_view::npos;
       at = event.find(DataField, at + 1))
    if (at == 0 || event[at - 1] == '\n')
      return true;
  return false;
}

/// Length of the first event with the empty line that ends it; 0 if the event
/// is incomplete.
std::size_t eventLength(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  // Many events in one read: the search ends where the first one does.
  const std::size_t crlf =
      text.substr(0, lf == std::string_view::npos ? lf : lf + 1).find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return 0;
  if (crlf == std::string_view::npos || lf < crlf)
    return lf + 2;
  return crlf + 3;
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes) {
  partial_.append(bytes);
  std::vector<StreamEvent> events;
  std::string_view rest = partial_;
  while (const std::size_t length = eventLength(rest)) {
    const std::string_view event = rest.substr(0, length);
    events.push_back({std::string(event), idOf(event), hasDataField(event)});
    rest.remove_prefix(length);
  }
  partial_.erase(0, partial_.size() - rest.size());
  return events;
}

} // namespace auburnspring
