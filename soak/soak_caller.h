#ifndef AUBURNSPRING_SOAK_SOAK_CALLER_H
#define AUBURNSPRING_SOAK_SOAK_CALLER_H

#include "soak/load_generator.h"
#include "soak/stream_body.h"

#include "auburnspring/http/message_reader.h"

#include <array>
#include <optional>

namespace auburnspring::soak {

/// One caller with at most one connection and one request at a time.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
public:
  SoakCaller(LoadGenerator *generator, asio::io_context &io);

  /// Sends the next request after a random think time; connects first if
  /// there is no connection.
  void scheduleNext();
  bool isBusy() const { return call_.has_value(); }
  /// Closes the connection and cancels the timer.
  void close();

private:
  void connect();
  void send();
  void read();
  void onBytes(std::string_view bytes);
  void onMessage();
  void onClosed();
  void cancelCall();
  void finishCall(CallOutcome outcome);
  /// Draws whether the caller loses its connection in this stream.
  void drawDrop();
  void dropConnection();
  bool bodyMatchesRequest() const;
  void readEvents();
  /// Decides whether the stream of a call that has ended is taken up again.
  void updateResumption(const SentCall &call, const CallOutcome &outcome);
  /// The wait that the last response asked for, within the time left.
  Duration requestedDelay(Duration left) const;
  std::string encodeRequest() const;

  LoadGenerator *generator_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  SoakHost *host_ = nullptr;
  /// Incarnation of the host at the time of connecting.
  std::uint64_t incarnation_ = 0;
  std::unique_ptr<http::MessageReader> reader_;
  std::optional<SentCall> call_;
  std::string outgoing_;
  std::string body_;
  /// Events of the stream in flight, if any.
  std::optional<StreamBody> events_;
  /// Version of the first event of the stream that is read or resumed.
  std::string firstVersion_;
  /// The event after which the caller loses its connection; 0 for none.
  int dropAfterEvent_ = 0;
  /// The broken stream that the next request resumes.
  std::optional<StreamResumption> resumption_;
  bool messageEnded_ = false;
  std::array<char, 16 << 10> buffer_{};
  /// Distinguishes callbacks of earlier connections from those of this one.
  std::uint64_t connectionId_ = 0;
};

} // namespace auburnspring::soak

#endif
