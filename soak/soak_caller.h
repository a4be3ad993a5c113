#ifndef AUBURNSPRING_SOAK_SOAK_CALLER_H
#define AUBURNSPRING_SOAK_SOAK_CALLER_H

#include "soak/caller_crowd.h"

#include "auburnspring/http/message_reader.h"

#include <array>
#include <optional>

namespace auburnspring::soak {

/// One caller with at most one connection and one request at a time.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
public:
  SoakCaller(CallerCrowd *crowd, asio::io_context &io);

  /// Sends a request after a pause.
  void rest();
  bool isBusy() const { return call_.has_value(); }
  /// Closes what is open; nothing follows.
  void close();

private:
  void connect();
  void send();
  void read();
  void onBytes(std::string_view bytes);
  void onMessage();
  void onClosed();
  void leave();
  void finish(CallAnswer answer);
  bool isOwnAnswer() const;
  std::string requestText() const;

  CallerCrowd *crowd_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  SoakHost *host_ = nullptr;
  /// Life of the host that the connection was made to.
  std::uint64_t life_ = 0;
  std::unique_ptr<http::MessageReader> reader_;
  std::optional<SentCall> call_;
  std::string outgoing_;
  std::string body_;
  bool messageEnded_ = false;
  std::array<char, 16 << 10> buffer_{};
  /// Tells callbacks of an earlier connection from those of this one.
  std::uint64_t connection_ = 0;
};

} // namespace auburnspring::soak

#endif
