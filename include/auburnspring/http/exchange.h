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

/// How the end of a body of unknown length shows.
enum class BodyFraming {
  Chunks,
  /// It ends with its connection, so that one that is cut may look whole.
  Connection,
};

/// One complete request and the means to respond to it. All methods may be
/// called after the caller has disconnected; they then have no effect.
class Exchange {
public:
  explicit Exchange(std::weak_ptr<ServerConnection> connection)
      : connection_(std::move(connection)) {}

  RequestHead head;
  std::string body;
  /// When the first byte of the request was read.
  TimePoint receivedAt;
  /// Called once if the caller disconnects before the response is complete.
  std::function<void()> onDisconnect;

  /// Sends a complete response and sets its Content-Length.
  void respond(ResponseHead response, std::string_view content);

  /// Starts a response with a body of unknown length.
  void begin(ResponseHead response, BodyFraming framing = BodyFraming::Chunks);
  void write(std::string_view bytes);
  void end();

  /// Closes the connection without the final chunk, so that the caller detects
  /// a response with chunks as truncated.
  void abort();

  /// Like abort(), once all data written so far has been sent.
  void abortAfterFlush();

  /// Response bytes not yet written to the socket.
  std::size_t pendingBytes() const;
  bool isDisconnected() const { return disconnected_; }

private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection_;
  bool disconnected_ = false;
};

} // namespace auburnspring::http

#endif
