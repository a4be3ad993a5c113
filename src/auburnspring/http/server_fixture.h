#ifndef AUBURNSPRING_HTTP_SERVER_FIXTURE_H
#define AUBURNSPRING_HTTP_SERVER_FIXTURE_H

#include "auburnspring/http/server.h"

#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace auburnspring::http {

using Tcp = asio::ip::tcp;

/// A server with a replaceable handler, run by the test's event loop.
struct ServerFixture {
  asio::io_context io;
  Server::Handler handler;
  Server server{io, [this](std::shared_ptr<Exchange> exchange) {
                  handler(std::move(exchange));
                }};
  ServerFixture() { REQUIRE(server.listen({"127.0.0.1", 0}).ok()); }

  Tcp::socket connect() {
    Tcp::socket socket(io);
    const Endpoint endpoint = server.endpoint();
    socket.connect({asio::ip::make_address(endpoint.ip), endpoint.port});
    return socket;
  }

  /// Runs the event loop until the condition holds.
  template <typename Condition> void runUntil(Condition condition) {
    while (!condition()) {
      // The loop stops when it runs out of work, as after the last connection.
      if (io.stopped())
        io.restart();
      io.run_one();
    }
  }

  /// Runs the event loop for a fixed time.
  void runFor(std::chrono::milliseconds span) {
    asio::steady_timer timer(io, span);
    bool expired = false;
    timer.async_wait([&](asio::error_code) { expired = true; });
    runUntil([&] { return expired; });
  }

  /// Returns everything the server sends until it closes the connection.
  std::string readAll(Tcp::socket *socket) {
    std::string received;
    bool closed = false;
    asio::async_read(*socket, asio::dynamic_buffer(received),
                     [&](asio::error_code, std::size_t) { closed = true; });
    runUntil([&] { return closed; });
    return received;
  }
};

} // namespace auburnspring::http

#endif
