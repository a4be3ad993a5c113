#ifndef AUBURNSPRING_UPSTREAM_UPSTREAM_PROTOCOL_H
#define AUBURNSPRING_UPSTREAM_UPSTREAM_PROTOCOL_H

#include "auburnspring/decision/action.h"
#include "auburnspring/decision/event.h"

#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace auburnspring {

/// URL path for attempts of a stage.
std::string attemptPath(StageKind kind);

/// JSON request body of an attempt.
std::string attemptBody(const StartAttempt &attempt);

/// One server-sent event of a completion stream.
struct CompletionEvent {
  std::string attempt;
  std::uint64_t offset = 0;
  std::string text;
  bool done = false;
  Usage usage;
};

/// Parses the data of one server-sent event; nullopt if it is malformed.
std::optional<CompletionEvent> parseCompletionEvent(absl::string_view data);

/// Converts a complete non-streaming response to the attempt's event. A
/// response with another attempt's id is a failure.
Event parseStageResponse(const AttemptId &attempt, int status,
                         const std::string &body);

} // namespace auburnspring

#endif
