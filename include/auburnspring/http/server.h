#ifndef AUBURNSPRING_HTTP_SERVER_H
#define AUBURNSPRING_HTTP_SERVER_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/http/exchange.h"

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace auburnspring::http {

class ServerConnection;

/// What a caller may send and how long it may take.
struct ServerLimits {
  std::size_t maxHeadBytes = 16 << 10;
  std::size_t maxBodyBytes = 4 << 20;
  /// From the first byte of a request to the end of its head, and once more to
  /// the end of its body.
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/// Accepts connections on one address and hands each whole request to a
/// handler. Everything runs on the thread of the io context.
class Server {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  Server(asio::io_context &io, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  absl::Status listen(const Endpoint &endpoint);

  /// Takes effect on open connections from their next request on.
  void setLimits(const ServerLimits &limits) { limits_ = limits; }
  const ServerLimits &limits() const { return limits_; }

  /// From now on answers carry "Connection: close" and connections without a
  /// request are closed after `linger`.
  void drain(Duration linger);
  /// Stops to accept and closes what has no request in progress.
  void close();

  /// Where it listens; a port of 0 was replaced by a free one.
  Endpoint endpoint() const;
  bool isDraining() const { return draining_; }
  std::size_t connectionCount() const { return connections_.size(); }

private:
  friend class ServerConnection;
  void accept();
  void remove(ServerConnection *connection);

  asio::io_context &io_;
  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  ServerLimits limits_;
  bool draining_ = false;
  Duration linger_{0};
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

} // namespace auburnspring::http

#endif
