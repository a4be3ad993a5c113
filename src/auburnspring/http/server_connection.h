#ifndef AUBURNSPRING_HTTP_SERVER_CONNECTION_H
#define AUBURNSPRING_HTTP_SERVER_CONNECTION_H

#include "auburnspring/http/message_reader.h"
#include "auburnspring/http/server.h"
#include "auburnspring/http/timer.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace auburnspring::http {

/// Server side of one connection. Handles one request at a time; it keeps
/// reading while a response is pending, to detect that the caller disconnects.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Server *server, asio::ip::tcp::socket socket);

  void start();
  void close();
  /// Closes after `linger` if no request is in progress, else after a response
  /// whose head announces it.
  void closeWhenIdle(Duration linger);

  /// Applies a raised idle timeout if the connection is idle.
  void onLimitsChanged();

  void closeAfterFlush();
  /// Closes once the response in progress is complete, which its head says.
  void closeAfterResponse() { closeAfterResponse_ = true; }

  void writeHead(ResponseHead response, bool chunked);
  void writeBody(std::string_view bytes);
  void finishResponse();
  std::size_t pendingBytes() const { return outgoing_.size() + inFlightBytes_; }

private:
  void read();
  void onRead(std::size_t bytes);
  void parse();
  void onHead();
  void onRequest();
  void reject(int status);
  /// Reports bytes that follow the last response, once.
  void reportDiscard(std::size_t bytes);
  void write();
  void onWritten();
  void armTimer(Duration span);
  void onTimer();
  /// Starts to wait for the next request.
  void beginIdle();
  /// True if no request is being received or responded to.
  bool isIdle() const;
  void notifyDisconnect();

  Server *server_;
  asio::ip::tcp::socket socket_;
  Timer timer_;
  MessageReader reader_;
  std::array<char, 16 << 10> buffer_{};
  /// Bytes received but not parsed yet: pipelined requests.
  std::string unparsed_;
  std::string body_;
  TimePoint receivedAt_;
  /// When the connection opened or the last response was written.
  TimePoint idleSince_;
  /// Limit on the idle time since then.
  Duration idleTimeout_{0};
  bool responded_ = false;
  std::shared_ptr<Exchange> exchange_;
  std::string outgoing_;
  std::size_t inFlightBytes_ = 0;
  std::string writeBuffer_;
  bool chunked_ = false;
  bool isHeadRequest_ = false;
  bool closeAfterResponse_ = false;
  bool responseEnded_ = false;
  bool reading_ = false;
  bool lingering_ = false;
  bool closed_ = false;
  bool closeAfterFlush_ = false;
  bool bodyTooLarge_ = false;
  bool reportedDiscard_ = false;
  /// True once a request was rejected with an error status; no further request
  /// is read.
  bool rejected_ = false;
};

} // namespace auburnspring::http

#endif
