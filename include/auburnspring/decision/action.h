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

/// Send one part of one stage to one upstream and report how it ends.
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
  /// Result of the stage before; empty for the first stage.
  std::string context;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::int64_t priority = 5;
  std::int64_t maxTokens = 0;
  /// Generate only: text already received, which the engine continues after.
  std::string resumeText;
  /// Give up and report a failure at this time.
  TimePoint deadline;
  /// The attempt must never pass through anything that may send it twice.
  bool once = false;
  /// The caller's key, passed on with a once-only stage.
  std::string key;
};

/// Ask an upstream to stop an attempt. It may finish all the same.
struct CancelAttempt {
  AttemptId attempt;
};

/// The one final answer to a caller.
struct AnswerCaller {
  RequestId request = 0;
  Outcome outcome = Outcome::Unknown;
  std::string body;
  /// Why the answer is not complete, for people.
  std::string reason;
  /// When to come back; 0 if coming back does not help.
  Duration retryAfter{0};
  /// True when a status in the 400s other than 429 fits.
  bool permanent = false;
};

/// Part of a streamed answer.
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

enum class NoteLevel { Debug, Info, Warning };

struct NoteField {
  const char *key;
  std::string value;
};

/// One line for the log.
struct WriteNote {
  NoteLevel level = NoteLevel::Info;
  const char *event = "";
  std::vector<NoteField> fields;
};

using Action =
    std::variant<StartAttempt, CancelAttempt, AnswerCaller, StreamToCaller,
                 CallKeyValue, SendToPeer, WriteNote>;
using Actions = std::vector<Action>;

} // namespace auburnspring

#endif
