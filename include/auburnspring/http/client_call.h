#ifndef AUBURNSPRING_HTTP_CLIENT_CALL_H
#define AUBURNSPRING_HTTP_CLIENT_CALL_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/http/message.h"

#include <asio/io_context.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspring::http {

/// A body may come in chunks of one byte, with long chunk sizes.
constexpr std::size_t FramingBytesPerBodyByte = 16;

/// Outcome of a call.
enum class CallStatus {
  /// The complete response was received.
  Complete,
  /// No byte of the request was sent.
  NotSent,
  /// The connection was lost, the response is malformed or exceeds a limit, or
  /// a timeout expired; the upstream may have received the request.
  Failed,
};

/// Limits in bytes. A response that exceeds one ends the call as Failed.
struct CallOptions {
  Endpoint endpoint;
  /// Names the upstream in log lines; its address if empty.
  std::string upstream;
  Duration connectTimeout = std::chrono::milliseconds(400);
  /// Limit on what is no body: the heads of interim responses and of the
  /// response, its chunk framing and its trailer. Each byte of the body adds
  /// FramingBytesPerBodyByte.
  std::size_t maxHeadBytes = 64 << 10;
  /// Limit on the body.
  std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
  /// Limit on all skipped responses together.
  std::size_t maxSkippedBytes = 8 << 20;
  /// Returns whether a response belongs to this request. Other responses are
  /// skipped, and the next one on the connection is read.
  std::function<bool(const ResponseHead &)> matchesRequest;
};

struct ClientCallbacks {
  /// Response head. Interim responses (1xx) are skipped.
  std::function<void(ResponseHead)> onHead;
  std::function<void(std::string_view)> onBody;
  /// Called once, last. The text is the reason unless the call completed.
  std::function<void(CallStatus, std::string_view)> onEnd;
};

/// One request to an upstream on its own connection, written at most once.
/// Not thread-safe: runs entirely on the thread of the io context.
class ClientCall {
public:
  ClientCall(asio::io_context &io, CallOptions options,
             ClientCallbacks callbacks);
  /// Cancels the call; no further callback runs.
  ~ClientCall();
  ClientCall(const ClientCall &) = delete;
  ClientCall &operator=(const ClientCall &) = delete;

  void start(const RequestHead &head, std::string_view body);

  /// Closes the connection; no further callback runs.
  void cancel();

  /// Closes the connection and ends the call as Failed, since `part` of the
  /// response has no end within `bytes`. Writes a log line.
  void endUnbounded(std::string_view part, std::size_t bytes);

  /// True if the response has neither a length nor chunks, so that it ends with
  /// its connection. Known from its head on.
  bool isCloseDelimited() const;

  /// True once a byte of the request may have been sent.
  bool mayHaveBeenSent() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace auburnspring::http

#endif
