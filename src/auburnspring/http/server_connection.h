#ifndef AUBURNSPRING_HTTP_SERVER_CONNECTION_H
#define AUBURNSPRING_HTTP_SERVER_CONNECTION_H

#include "auburnspring/http/message_reader.h"
#include "auburnspring/http/server.h"

#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>

namespace auburnspring::http {

/// One caller's connection: reads a request in whole, waits for its answer,
/// then reads the next one. It reads on meanwhile, to see the caller leave.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Server *server, asio::ip::tcp::socket socket);

  void start();
  void close();
  /// Closes at once if no request is in progress, else after its answer.
  void closeWhenIdle(Duration linger);

  void closeAfterFlush();

  void writeHead(ResponseHead response, bool chunked);
  void writeBody(std::string_view bytes);
  void finishAnswer();
  std::size_t pendingBytes() const { return outgoing_.size() + inFlight_; }

private:
  void read();
  void onRead(std::size_t bytes);
  void parse();
  void onHead();
  void onRequest();
  void refuse(int status);
  void write();
  void onWritten();
  void armTimer(Duration span);
  void onTimer();
  void callerGone();

  Server *server_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  MessageReader reader_;
  std::array<char, 16 << 10> buffer_{};
  /// Received and not parsed: what a caller sent ahead of its answer.
  std::string unread_;
  std::string body_;
  TimePoint receivedAt_;
  std::shared_ptr<Exchange> exchange_;
  std::string outgoing_;
  std::size_t inFlight_ = 0;
  std::string writing_;
  bool chunked_ = false;
  bool headOnly_ = false;
  bool closeAfterAnswer_ = false;
  bool answerEnded_ = false;
  bool reading_ = false;
  bool lingering_ = false;
  bool closed_ = false;
  bool closeAfterFlush_ = false;
  bool bodyTooLarge_ = false;
  /// The connection ends with this server's own refusal.
  bool refused_ = false;
};

} // namespace auburnspring::http

#endif
