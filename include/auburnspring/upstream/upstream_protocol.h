#ifndef AUBURNSPRING_UPSTREAM_UPSTREAM_PROTOCOL_H
#define AUBURNSPRING_UPSTREAM_UPSTREAM_PROTOCOL_H

#include "auburnspring/decision/action.h"
#include "auburnspring/decision/event.h"

#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace auburnspring {

/// Path that a stage's attempt is posted to.
std::string attemptPath(StageKind kind);

/// JSON body of an attempt.
std::string attemptBody(const StartAttempt &attempt);

/// One server-sent event of a completion stream.
struct CompletionEvent {
  std::string attempt;
  std::uint64_t offset = 0;
  std::string text;
  bool done = false;
  Usage usage;
};

/// Parses the data of one server-sent event; empty if it is malformed.
std::optional<CompletionEvent> parseCompletionEvent(absl::string_view data);

/// Turns a whole answer that is no stream into the attempt's event. An answer
/// that names another attempt is a failure.
Event readStageAnswer(const AttemptId &attempt, int status,
                      const std::string &body);

} // namespace auburnspring

#endif
