#ifndef AUBURNSPRING_HTTP_RAW_UPSTREAM_H
#define AUBURNSPRING_HTTP_RAW_UPSTREAM_H

#include "auburnspring/http/client_call.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <optional>
#include <string>
#include <utility>

namespace auburnspring::http {

/// An upstream that responds with raw bytes.
struct RawUpstream {
  explicit RawUpstream(asio::io_context &io)
      : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}), socket(io) {}

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor.local_endpoint().port()};
  }

  /// Responds to the next connection with `bytes`, then closes or resets it.
  void respondOnce(std::string bytes, bool reset = false) {
    acceptor.async_accept(socket, [this, bytes, reset](asio::error_code) {
      socket.async_read_some(
          asio::buffer(buffer),
          [this, bytes, reset](asio::error_code, std::size_t) {
            asio::error_code ignored;
            asio::write(socket, asio::buffer(bytes), ignored);
            if (reset)
              socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
          });
    });
  }

  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket socket;
  std::array<char, 4096> buffer{};
};

struct CallResult {
  ResponseHead head;
  std::string body;
  std::optional<CallStatus> status;
};

inline CallResult callOnce(const std::string &response, bool reset = false,
                           const std::string &id = "") {
  asio::io_context io;
  RawUpstream upstream(io);
  upstream.respondOnce(response, reset);
  CallResult result;
  CallOptions options;
  options.endpoint = upstream.endpoint();
  if (!id.empty())
    options.matchesRequest = [id](const ResponseHead &head) {
      const std::string *found = head.headers.find("Id");
      return found != nullptr && *found == id;
    };
  ClientCall call(
      io, options,
      {[&](ResponseHead head) { result.head = std::move(head); },
       [&](std::string_view bytes) { result.body.append(bytes); },
       [&](CallStatus status, std::string_view) { result.status = status; }});
  call.start({"GET", "/", {}}, "");
  while (!result.status)
    io.run_one();
  return result;
}

} // namespace auburnspring::http

#endif
