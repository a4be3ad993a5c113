#ifndef AUBURNSPRING_REVIEW_CHANNEL_H
#define AUBURNSPRING_REVIEW_CHANNEL_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace review {

struct Answer {
  /// 0 if the channel closed, or the time ran out, before a whole head.
  int status = 0;
  /// The whole body has come.
  bool isComplete = false;
  /// The channel was closed before the answer was complete.
  bool isCut = false;
  /// With names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A consumer's channel, on which one request follows the other.
class Channel {
public:
  Channel() = default;
  ~Channel() { close(); }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// A new channel must be established within one second.
  bool open(const std::string &ip, std::uint16_t port);
  void close();
  bool isOpen() const { return fd_ >= 0; }
  /// Answers that have come on this channel.
  int answers() const { return answers_; }

  bool send(const std::string &bytes);
  /// Waits for the answer until the time is over; closes the channel unless it
  /// can be used again.
  Answer receive(std::chrono::milliseconds patience);

private:
  bool fill(std::chrono::steady_clock::time_point until);
  bool readLine(std::string *line, std::chrono::steady_clock::time_point until);
  bool readBytes(std::size_t count, std::string *out,
                 std::chrono::steady_clock::time_point until);

  int fd_ = -1;
  int answers_ = 0;
  bool isClosedByPeer_ = false;
  std::string buffer_;
};

} // namespace review

#endif
