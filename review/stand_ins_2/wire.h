#ifndef AUBURNSPRING_REVIEW_WIRE_H
#define AUBURNSPRING_REVIEW_WIRE_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Small blocking HTTP/1.1 over loopback sockets, for the stand-ins of the
/// review's scripts.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Seconds since the start of the program.
double elapsedSeconds();

/// Head of a request or a response.
struct Head {
  /// Request line or status line.
  std::string firstLine;
  std::vector<std::pair<std::string, std::string>> fields;

  /// Value of a field; empty if there is none. Names are case-insensitive.
  std::string field(const std::string &name) const;
  bool hasField(const std::string &name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// How the reading of a message ended.
enum class ReadEnd { Complete, Closed, TimedOut };

/// One connection. Not thread-safe.
class Connection {
public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  int fd() const { return fd_; }
  bool write(const std::string &bytes);
  /// Bytes of a body read at a time, and the pause after each; no pause if 0.
  void setReadPace(std::size_t bytes, Millis pause);

  ReadEnd readHead(Head *head, Millis timeout);
  /// Reads the body of the message, by its length or its chunks. `onBytes` gets
  /// each part as it comes; it may be null.
  ReadEnd readBody(const Head &head, std::string *body, Millis timeout,
                   const std::function<void(const std::string &)> &onBytes);
  /// True if the peer has closed the connection or sent something.
  bool hasInput(Millis wait);

private:
  ReadEnd fill(Clock::time_point until);

  int fd_;
  std::string buffer_;
  std::size_t paceBytes_ = 0;
  Millis pacePause_{0};
};

/// Accepts connections and gives each one to a handler on a thread of its own.
class Listener {
public:
  using Handler = std::function<void(Connection *)>;

  explicit Listener(Handler handler) : handler_(std::move(handler)) {}
  ~Listener() { stop(); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Listens on an address of the loopback range; with port 0 on a free one.
  void start(const std::string &ip, int port);
  /// Closes the listener and resets all connections, as a crash does, and waits
  /// for the handlers.
  void stop();
  int port() const { return port_; }
  bool isRunning() const { return isRunning_; }

private:
  void acceptLoop();

  Handler handler_;
  std::atomic<bool> isRunning_{false};
  int fd_ = -1;
  int port_ = 0;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> active_{0};
};

/// Connects within `timeout`; -1 on failure.
int connectTo(const std::string &ip, int port, Millis timeout);
/// A port that is free on the loopback address.
int freePort(const std::string &ip);

/// Formats a response with a length.
std::string
response(int status,
         const std::vector<std::pair<std::string, std::string>> &fields,
         const std::string &body);

} // namespace review

#endif
