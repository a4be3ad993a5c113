#include "auburnspring/http/client_call.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace auburnspring;
using namespace auburnspring::http;

namespace {

using Tcp = asio::ip::tcp;

/// More than the sockets hold.
constexpr std::size_t UploadBytes = 16 << 20;
constexpr std::size_t BlockBytes = 64 << 10;
const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\npart";

/// Reads `blocks` times from the upload, or until its end.
void readBlocks(Tcp::socket *socket, std::size_t blocks) {
  std::vector<char> block(BlockBytes);
  asio::error_code error;
  for (std::size_t i = 0; i < blocks && !error; ++i)
    socket->read_some(asio::buffer(block), error);
}

void reset(Tcp::socket *socket) {
  socket->set_option(asio::socket_base::linger(true, 0));
  socket->close();
}

struct UploadResult {
  CallStatus status = CallStatus::NotSent;
  std::string body;
};

/// Sends a long request to an upstream that runs on a thread of its own, since
/// its reset has to arrive at any moment of the writing.
UploadResult upload(const std::function<void(Tcp::socket *)> &serve) {
  asio::io_context upstreamIo;
  Tcp::acceptor acceptor(upstreamIo, {asio::ip::make_address("127.0.0.1"), 0});
  std::thread upstream([&] {
    Tcp::socket socket(upstreamIo);
    acceptor.accept(socket);
    serve(&socket);
  });
  asio::io_context io;
  UploadResult result;
  std::optional<CallStatus> end;
  CallOptions options;
  options.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
  ClientCall call(io, options,
                  {nullptr,
                   [&](std::string_view bytes) { result.body.append(bytes); },
                   [&](CallStatus status, std::string_view) { end = status; }});
  RequestHead head{"POST", "/", {}};
  head.headers.add("Content-Length", std::to_string(UploadBytes));
  call.start(head, std::string(UploadBytes, 'u'));
  while (!end)
    io.run_one();
  upstream.join();
  result.status = *end;
  return result;
}

} // namespace

// Guards against a part of a response that is taken for the whole one, since
// the write of the request met the reset first (MIXED).
TEST_CASE("a response without length is not whole if the upload is reset") {
  const bool isOrderlyClose = GENERATE(false, true);
  for (std::size_t blocks = 0; blocks < 40; ++blocks) {
    const UploadResult result = upload([&](Tcp::socket *socket) {
      readBlocks(socket, 1);
      asio::write(*socket, asio::buffer(Unframed));
      readBlocks(socket, blocks);
      // The system resets a connection that is closed with bytes unread.
      isOrderlyClose ? socket->close() : reset(socket);
    });
    CHECK(result.status == CallStatus::Failed);
  }
}

TEST_CASE("a response without length may end before the upload does") {
  const UploadResult result = upload([](Tcp::socket *socket) {
    readBlocks(socket, 1);
    asio::write(*socket, asio::buffer(Unframed));
    socket->shutdown(Tcp::socket::shutdown_send);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    readBlocks(socket, UploadBytes);
  });
  CHECK(result.status == CallStatus::Complete);
  CHECK(result.body == "part");
}

TEST_CASE("a response that states its length is whole before the upload is") {
  const UploadResult result = upload([](Tcp::socket *socket) {
    readBlocks(socket, 1);
    asio::write(*socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")));
    readBlocks(socket, UploadBytes);
  });
  CHECK(result.status == CallStatus::Complete);
  CHECK(result.body == "whole");
}
