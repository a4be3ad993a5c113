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

/// How a call ended.
enum class CallEnd {
  /// The whole answer has come.
  Complete,
  /// No byte of the request left this host.
  NotSent,
  /// The connection broke, the answer is malformed or a time ran out; the
  /// request may have been received.
  Broken,
};

struct CallOptions {
  Endpoint endpoint;
  Duration connectTimeout = std::chrono::milliseconds(400);
  std::size_t maxHeadBytes = 64 << 10;
  /// An answer for which this is false belongs to another request; it is
  /// skipped and the next one on the connection is awaited.
  std::function<bool(const ResponseHead &)> isMine;
};

struct CallEvents {
  /// Head of the answer. Interim answers (1xx) are skipped.
  std::function<void(ResponseHead)> onHead;
  std::function<void(std::string_view)> onBody;
  /// Called once, last. The text says why a call was not complete.
  std::function<void(CallEnd, std::string_view)> onEnd;
};

/// One request to an upstream on a connection of its own, written at most
/// once. Everything runs on the thread of the io context.
class ClientCall {
public:
  ClientCall(asio::io_context &io, CallOptions options, CallEvents events);
  /// Cancels the call; no event follows.
  ~ClientCall();
  ClientCall(const ClientCall &) = delete;
  ClientCall &operator=(const ClientCall &) = delete;

  void start(const RequestHead &head, std::string_view body);

  /// Closes the connection; no event follows.
  void cancel();

  /// True once a byte of the request may have left this host.
  bool mayBeSent() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace auburnspring::http

#endif
