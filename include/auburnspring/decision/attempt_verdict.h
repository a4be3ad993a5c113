#ifndef AUBURNSPRING_DECISION_ATTEMPT_VERDICT_H
#define AUBURNSPRING_DECISION_ATTEMPT_VERDICT_H

#include "auburnspring/decision/permit_end.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnspring {

/// How the transport ended the response to an attempt.
enum class ResponseEnd : std::uint8_t {
  /// No byte of the request was sent.
  NotSent,
  /// The connection was lost before the response was complete, or the response
  /// was malformed or exceeded a limit.
  Lost,
  /// This host stopped waiting.
  TimedOut,
  /// The upstream closed the connection in order, after a response with neither
  /// a length nor chunks: it may have been complete or not.
  Closed,
  /// The response was as long as its length or its chunks say.
  Framed,
};

/// True if the transport shows no fault: the rest is up to the content.
constexpr bool isReceived(ResponseEnd end) {
  return end == ResponseEnd::Closed || end == ResponseEnd::Framed;
}

/// What the content of a response shows about its end.
enum class ContentEnd : std::uint8_t {
  /// Nothing, since this host can't read the content.
  Opaque,
  /// It may end here, such as between two events.
  AtBoundary,
  /// It ends inside an event.
  InsideEvent,
  /// It has no event, and the caller has none either.
  NoEvent,
  /// It has no event for a caller that has the ones before.
  NoFurtherEvent,
  /// It can't be parsed.
  Malformed,
};

/// What is known of an attempt when it ends.
struct AttemptEvidence {
  ResponseEnd end = ResponseEnd::NotSent;
  ContentEnd content = ContentEnd::Opaque;
  /// Status of the response; 0 if no head was received.
  int status = 0;
  /// The upstream states that it did not run the request.
  bool isNotRun = false;
  /// The content is the upstream's own: signed and without an encoding, where
  /// that is asked for.
  bool isGenuine = false;
  /// No status but 200 is of use, as for a stream that goes on.
  bool needsOk = false;
};

/// How an attempt ended. judgeAttempt() alone decides it; whatever depends on
/// the end of an attempt goes by it.
enum class AttemptVerdict : std::uint8_t {
  /// The upstream has not received the request.
  NotSent,
  /// The upstream states that it did not run the request.
  NotRun,
  /// The response ended early: the upstream may have crashed.
  Broken,
  /// This host stopped waiting: the upstream may go on.
  TimedOut,
  /// The response is complete but not what was asked for.
  Unusable,
  /// The response is complete, the upstream's own, and a server error.
  ServerError,
  /// The response is complete, the upstream's own, and no server error.
  Answered,
};

AttemptVerdict judgeAttempt(const AttemptEvidence &evidence);

/// Why the verdict is not Answered, as far as the content or the head shows it;
/// empty if only the transport knows.
std::string_view describe(const AttemptEvidence &evidence);

/// True if the upstream may have run the request.
bool mayHaveRun(AttemptVerdict verdict);
/// True if a complete response was received.
bool isComplete(AttemptVerdict verdict);
/// The verdict as a label of metrics and in log lines.
const char *verdictName(AttemptVerdict verdict);
/// How the permit of an attempt ends; the verdict of one that was cancelled is
/// not set. A rejection is the upstream's statement that it has no room.
PermitEnd permitEnd(std::optional<AttemptVerdict> verdict, bool isRejection);

} // namespace auburnspring

#endif
