#ifndef AUBURNSPRING_SOAK_SENT_CALL_H
#define AUBURNSPRING_SOAK_SENT_CALL_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>

namespace auburnspring::soak {

/// Response form of a request, and whether it may be retried after it ran.
enum class CallKind { AtMostOnce, Retryable, Stream, AtMostOnceStream };

/// One request as its caller sent it.
struct SentCall {
  std::string id;
  CallKind kind = CallKind::AtMostOnce;
  std::string host;
  /// Start count of that host's process.
  std::uint64_t incarnation = 0;
  /// Configuration version whose route it names; 0 for a route that every
  /// version has.
  std::int64_t version = 0;
  TimePoint sentAt;
  /// Its host may try one upstream only.
  bool isSingleAttempt = false;
  /// Parts of its prompt; empty if it has none.
  std::string prompt;
  /// One of them crashes upstreams.
  bool hasCrashingPart = false;
  /// When it must have a final response.
  TimePoint deadline;

  /// Of a request that resumes a stream: the request that brought the stream's
  /// first event, and the last event that came.
  std::string resumedId;
  int lastEventId = 0;
  /// Serving upstreams of the resumed stream's software version, when sent.
  std::size_t upstreamsOfVersion = 0;

  /// Identifies the stream over all its requests.
  const std::string &streamId() const {
    return resumedId.empty() ? id : resumedId;
  }
};

} // namespace auburnspring::soak

#endif
