#ifndef AUBURNSPRING_HTTP_CLIENT_CALL_H
#define AUBURNSPRING_HTTP_CLIENT_CALL_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/http/message.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspring::http {

/// Outcome of a call.
enum class CallStatus {
  /// The complete response was received.
  Complete,
  /// No byte of the request was sent.
  NotSent,
  /// The connection was lost, the response is malformed or a timeout expired;
  /// the upstream may have received the request.
  Failed,
};

struct CallOptions {
  Endpoint endpoint;
  Duration connectTimeout = std::chrono::milliseconds(400);
  std::size_t maxHeadBytes = 64 << 10;
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

  /// True once a byte of the request may have been sent.
  bool mayHaveBeenSent() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace auburnspring::http

#endif
