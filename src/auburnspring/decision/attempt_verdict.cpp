#include "auburnspring/decision/attempt_verdict.h"

namespace auburnspring {

namespace {

constexpr int Ok = 200;
constexpr int FirstServerError = 500;

/// Whether the content contradicts the end that the transport shows.
bool endsEarly(const AttemptEvidence &evidence) {
  switch (evidence.content) {
  case ContentEnd::Opaque:
  case ContentEnd::AtBoundary:
    return false;
  case ContentEnd::InsideEvent:
    return true;
  case ContentEnd::NoEvent:
  case ContentEnd::NoFurtherEvent:
  case ContentEnd::Malformed:
    // With a length or chunks the upstream has said that there is no more.
    return evidence.end == ResponseEnd::Closed;
  }
  return false;
}

bool lacksContent(const AttemptEvidence &evidence) {
  return evidence.content == ContentEnd::NoEvent ||
         evidence.content == ContentEnd::Malformed;
}

} // namespace

AttemptVerdict judgeAttempt(const AttemptEvidence &evidence) {
  const bool hasHead = evidence.status != 0;
  if (hasHead && evidence.isNotRun)
    return AttemptVerdict::NotRun;
  if (evidence.end == ResponseEnd::NotSent)
    return hasHead ? AttemptVerdict::Broken : AttemptVerdict::NotSent;
  if (evidence.end == ResponseEnd::Lost)
    return AttemptVerdict::Broken;
  if (evidence.end == ResponseEnd::TimedOut)
    return AttemptVerdict::TimedOut;
  if (endsEarly(evidence))
    return AttemptVerdict::Broken;
  if (!evidence.isGenuine)
    return AttemptVerdict::Unusable;
  if (evidence.status >= FirstServerError)
    return AttemptVerdict::ServerError;
  if (lacksContent(evidence) || (evidence.needsOk && evidence.status != Ok))
    return AttemptVerdict::Unusable;
  return AttemptVerdict::Answered;
}

std::string_view describe(const AttemptEvidence &evidence) {
  if (!isReceived(evidence.end))
    return "";
  switch (evidence.content) {
  case ContentEnd::InsideEvent:
    return "ended inside an event";
  case ContentEnd::NoEvent:
  case ContentEnd::NoFurtherEvent:
    return "no event";
  case ContentEnd::Malformed:
    return "malformed response";
  case ContentEnd::Opaque:
  case ContentEnd::AtBoundary:
    return evidence.isGenuine || evidence.isNotRun ? "" : "unsigned";
  }
  return "";
}

bool mayHaveRun(AttemptVerdict verdict) {
  return verdict != AttemptVerdict::NotSent &&
         verdict != AttemptVerdict::NotRun;
}

bool isComplete(AttemptVerdict verdict) {
  return verdict == AttemptVerdict::Unusable ||
         verdict == AttemptVerdict::ServerError ||
         verdict == AttemptVerdict::Answered;
}

const char *verdictName(AttemptVerdict verdict) {
  switch (verdict) {
  case AttemptVerdict::NotSent:
    return "unreachable";
  case AttemptVerdict::NotRun:
    return "not_run";
  case AttemptVerdict::Broken:
    return "broken";
  case AttemptVerdict::TimedOut:
  case AttemptVerdict::Unusable:
  case AttemptVerdict::ServerError:
    return "failed";
  case AttemptVerdict::Answered:
    return "answered";
  }
  return "unknown";
}

PermitEnd permitEnd(std::optional<AttemptVerdict> verdict, bool isRejection) {
  if (isRejection)
    return PermitEnd::Rejected;
  if (!verdict)
    return PermitEnd::Cancelled;
  switch (*verdict) {
  case AttemptVerdict::NotSent:
  case AttemptVerdict::Broken:
    // An upstream that did not crash will notice that its client has gone.
    return PermitEnd::Cancelled;
  case AttemptVerdict::NotRun:
  case AttemptVerdict::TimedOut:
  case AttemptVerdict::Unusable:
  case AttemptVerdict::ServerError:
  case AttemptVerdict::Answered:
    return PermitEnd::Done;
  }
  return PermitEnd::Done;
}

} // namespace auburnspring
