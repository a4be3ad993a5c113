#ifndef AUBURNSPRING_HTTP_SERVER_H
#define AUBURNSPRING_HTTP_SERVER_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/http/exchange.h"
#include "auburnspring/http/timer.h"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>

namespace auburnspring::http {

class ServerConnection;

/// Size limits and timeouts for requests.
struct ServerLimits {
  std::size_t maxHeadBytes = 16 << 10;
  std::size_t maxBodyBytes = 4 << 20;
  /// From the first byte of a request to the end of its head, and again from
  /// there to the end of its body.
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/// Accepts connections on one address and passes each complete request to a
/// handler. Not thread-safe: runs entirely on the thread of the io context.
class Server {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  Server(asio::io_context &io, Handler handler);
  /// Closes all connections.
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  absl::Status listen(const Endpoint &endpoint);

  /// Applies to open connections from their next request on; a raised idle
  /// timeout also to those that are idle.
  void setLimits(const ServerLimits &limits);
  const ServerLimits &limits() const { return limits_; }

  /// Sends "Connection: close" with all further responses. Connections without
  /// a request in progress, and those whose response began before this call,
  /// are closed after `linger` unless another request arrives.
  void drain(Duration linger);
  /// Stops accepting and closes connections without a request in progress.
  void close();

  /// The bound address; a requested port of 0 is replaced by the actual port.
  Endpoint endpoint() const;
  bool isDraining() const { return draining_; }
  std::size_t connectionCount() const { return connections_.size(); }
  /// Connections on which the caller sent bytes of a further request after a
  /// response that had announced the close.
  std::uint64_t closedWithBytes() const { return closedWithBytes_; }

private:
  friend class ServerConnection;
  void accept();
  void remove(ServerConnection *connection);
  /// Counts and logs a connection on which bytes of a request are discarded.
  void reportClosedWithBytes(std::string_view when, std::size_t bytes);

  asio::ip::tcp::acceptor acceptor_;
  /// Delays the next accept after an error.
  Timer acceptTimer_;
  Handler handler_;
  ServerLimits limits_;
  std::uint64_t closedWithBytes_ = 0;
  bool draining_ = false;
  Duration linger_{0};
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  HandlerScope handlers_;
};

} // namespace auburnspring::http

#endif
