#include "auburnspring/http/server.h"

#include "auburnspring/base/log.h"
#include "server_connection.h"

#include <asio/post.hpp>

#include <utility>
#include <vector>

namespace auburnspring::http {

namespace {

/// Delay before accepting again after an error, such as running out of file
/// descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay(50);
constexpr int ListenBacklog = 1024;

} // namespace

Server::Server(asio::io_context &io, Handler handler)
    : acceptor_(io), acceptTimer_(io), handler_(std::move(handler)) {}

Server::~Server() {
  for (const auto &connection : std::exchange(connections_, {}))
    connection->close();
}

absl::Status Server::listen(const Endpoint &endpoint) {
  asio::error_code error;
  const asio::ip::tcp::endpoint address(
      asio::ip::make_address(endpoint.ip, error), endpoint.port);
  if (!error)
    acceptor_.open(address.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor_.bind(address, error);
  if (!error)
    acceptor_.listen(ListenBacklog, error);
  if (error)
    return absl::UnavailableError("can't listen on " + toString(endpoint) +
                                  ": " + error.message());
  accept();
  return absl::OkStatus();
}

Endpoint Server::endpoint() const {
  asio::error_code ignored;
  const asio::ip::tcp::endpoint local = acceptor_.local_endpoint(ignored);
  return {local.address().to_string(), local.port()};
}

void Server::accept() {
  acceptor_.async_accept(handlers_.bind(
      [this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (error) {
          logEvent(LogLevel::Warning, "accept_failed",
                   {{"error", error.message()}});
          acceptTimer_.startAfter(AcceptRetryDelay, [this] { accept(); });
          return;
        }
        auto connection =
            std::make_shared<ServerConnection>(this, std::move(socket));
        connections_.insert(connection);
        connection->start();
        if (draining_)
          connection->closeWhenIdle(linger_);
        if (acceptor_.is_open())
          accept();
      }));
}

void Server::remove(ServerConnection *connection) {
  connections_.erase(connection->shared_from_this());
}

void Server::reportClosedWithBytes(std::string_view when, std::size_t bytes) {
  ++closedWithBytes_;
  logEvent(LogLevel::Warning, "caller_bytes_discarded",
           {{"when", std::string(when)},
            {"bytes", static_cast<unsigned long>(bytes)},
            {"idle_timeout_ms", toMillis(limits_.idleTimeout)},
            {"draining", draining_}});
}

void Server::setLimits(const ServerLimits &limits) {
  limits_ = limits;
  for (const auto &connection : connections_)
    connection->onLimitsChanged();
}

void Server::drain(Duration linger) {
  draining_ = true;
  linger_ = linger;
  const std::vector<std::shared_ptr<ServerConnection>> open(
      connections_.begin(), connections_.end());
  for (const auto &connection : open)
    connection->closeWhenIdle(linger);
}

void Server::close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  acceptTimer_.cancel();
  drain(Duration(0));
}

} // namespace auburnspring::http
