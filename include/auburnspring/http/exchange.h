#ifndef AUBURNSPRING_HTTP_EXCHANGE_H
#define AUBURNSPRING_HTTP_EXCHANGE_H

#include "auburnspring/base/time.h"
#include "auburnspring/http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspring::http {

class ServerConnection;

/// One whole request of a caller and the way to answer it. Every call is safe
/// after the caller has left; it then does nothing.
class Exchange {
public:
  explicit Exchange(std::weak_ptr<ServerConnection> connection)
      : connection_(std::move(connection)) {}

  RequestHead head;
  std::string body;
  /// When the first byte of the request was read.
  TimePoint receivedAt;
  /// Called once if the caller closes its connection before the answer ends.
  std::function<void()> onGone;

  /// Answers in whole. Content-Length is set here.
  void respond(ResponseHead response, std::string_view content);

  /// Begins an answer whose length is not known.
  void begin(ResponseHead response);
  void write(std::string_view bytes);
  void end();

  /// Closes the connection so that the answer can't look complete.
  void abort();

  /// The same once everything that was written has been sent.
  void abortAfterFlush();

  /// Bytes of the answer that the connection has not taken yet.
  std::size_t pendingBytes() const;
  bool isGone() const { return gone_; }

private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection_;
  bool gone_ = false;
};

} // namespace auburnspring::http

#endif
