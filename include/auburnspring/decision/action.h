#ifndef AUBURNSPRING_DECISION_ACTION_H
#define AUBURNSPRING_DECISION_ACTION_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/route.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/decision/ids.h"
#include "auburnspring/decision/key_value.h"
#include "auburnspring/decision/outcome.h"
#include "auburnspring/decision/peer_message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnspring {

/// Sends one part of one stage to one upstream; an AttemptSucceeded or
/// AttemptFailed follows.
struct StartAttempt {
  AttemptId attempt;
  std::string upstream;
  Endpoint endpoint;
  StageKind kind = StageKind::Call;
  std::string route;
  std::string organisation;
  std::string model;
  /// The caller's body.
  std::string input;
  /// Result of the previous stage; empty for the first stage.
  std::string context;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::int64_t priority = 5;
  std::int64_t maxTokens = 0;
  /// Generate only: text already received; the engine continues after it.
  std::string resumeText;
  /// The attempt fails if it has not ended by then.
  TimePoint deadline;
  /// At-most-once delivery: nothing on the path may resend the attempt.
  bool atMostOnce = false;
  /// The caller's Idempotency-Key; set for a non-retryable stage only.
  std::string key;
};

/// Requests cancellation of an attempt, which may still complete.
struct CancelAttempt {
  AttemptId attempt;
};

/// The single final response to a caller.
struct RespondToCaller {
  RequestId request = 0;
  Outcome outcome = Outcome::Unknown;
  std::string body;
  /// Human-readable reason, mostly for an outcome other than Complete.
  std::string reason;
  /// Delay before the caller retries; 0 if a retry does not help.
  Duration retryAfter{0};
  /// A retry can't succeed: the HTTP status is a 4xx other than 429.
  bool permanent = false;
};

/// Part of a streamed response.
struct StreamToCaller {
  RequestId request = 0;
  std::string text;
};

struct CallKeyValue {
  KvCallId call;
  KvPriority priority = KvPriority::Claim;
  KvOperation operation;
};

struct SendToPeer {
  std::string host;
  Endpoint endpoint;
  PeerMessage message;
};

enum class LogEntryLevel { Debug, Info, Warning };

struct LogEntryField {
  const char *key;
  std::string value;
};

/// Writes one log line.
struct WriteLogEntry {
  LogEntryLevel level = LogEntryLevel::Info;
  const char *event = "";
  std::vector<LogEntryField> fields;
};

using Action =
    std::variant<StartAttempt, CancelAttempt, RespondToCaller, StreamToCaller,
                 CallKeyValue, SendToPeer, WriteLogEntry>;
using Actions = std::vector<Action>;

} // namespace auburnspring

#endif
