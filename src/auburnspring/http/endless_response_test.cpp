#include "auburnspring/base/log.h"
#include "auburnspring/http/client_call.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

using namespace auburnspring;
using namespace auburnspring::http;

namespace {

using Tcp = asio::ip::tcp;

/// No call reads more than this, in bytes: the largest limit and what the
/// sockets hold.
constexpr std::size_t MaxReadBytes = 24 << 20;
constexpr std::size_t BlockBytes = 64 << 10;

/// An upstream that sends a beginning, then the same bytes again and again
/// until its peer closes the connection.
class EndlessUpstream {
public:
  EndlessUpstream(asio::io_context &io, const std::string &first,
                  const std::string &repeated)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), socket_(io),
        outgoing_(first) {
    while (block_.size() < BlockBytes)
      block_ += repeated;
    acceptor_.async_accept(socket_, [this](asio::error_code) {
      socket_.async_read_some(
          asio::buffer(request_),
          [this](asio::error_code, std::size_t) { write(); });
    });
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::size_t bytesSent() const { return bytesSent_; }

private:
  void write() {
    if (outgoing_.empty())
      outgoing_ = block_;
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [this](asio::error_code error, std::size_t bytes) {
                        bytesSent_ += bytes;
                        outgoing_.clear();
                        if (!error)
                          write();
                      });
  }

  Tcp::acceptor acceptor_;
  Tcp::socket socket_;
  std::array<char, 4096> request_{};
  std::string outgoing_;
  std::string block_;
  std::size_t bytesSent_ = 0;
};

struct EndlessResult {
  std::optional<CallStatus> status;
  std::size_t bytesSent = 0;
  std::size_t bodyBytes = 0;
  std::vector<std::string> lines;
};

/// Calls an upstream that sends `first`, then `repeated` without end, until the
/// call ends or has read too much. Responses must have the id "mine".
EndlessResult callEndless(const std::string &first,
                          const std::string &repeated) {
  EndlessResult result;
  setLogSink([&](absl::string_view event, std::string line) {
    if (event == "response_unbounded")
      result.lines.push_back(std::move(line));
  });
  asio::io_context io;
  EndlessUpstream upstream(io, first, repeated);
  CallOptions options;
  options.endpoint = upstream.endpoint();
  options.matchesRequest = [](const ResponseHead &head) {
    const std::string *id = head.headers.find("Id");
    return id == nullptr || *id == "mine";
  };
  ClientCall call(
      io, options,
      {nullptr,
       [&](std::string_view bytes) { result.bodyBytes += bytes.size(); },
       [&](CallStatus status, std::string_view) { result.status = status; }});
  call.start({"GET", "/", {}}, "");
  while (!result.status && upstream.bytesSent() < MaxReadBytes)
    io.run_one();
  result.bytesSent = upstream.bytesSent();
  setLogSink(nullptr);
  return result;
}

void checkEnded(const EndlessResult &result, const std::string &part) {
  CHECK(result.status == CallStatus::Failed);
  CHECK(result.bytesSent < MaxReadBytes);
  REQUIRE(result.lines.size() == 1);
  CHECK(result.lines[0].find("in=" + part) != std::string::npos);
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Each guards against calls that an upstream keeps busy until the deadline, or
// without end, with bytes that are no response.

TEST_CASE("an endless header field ends the call") {
  checkEnded(callEndless(Ok + "A: ", "x"), "head");
}

TEST_CASE("endless header fields end the call") {
  checkEnded(callEndless(Ok, "A: x\r\n"), "head");
}

TEST_CASE("an endless status line ends the call") {
  checkEnded(callEndless("HTTP/1.1 200 ", "x"), "head");
}

TEST_CASE("endless empty lines before a status line end the call") {
  checkEnded(callEndless("", "\r\n"), "head");
}

TEST_CASE("endless bytes that are no HTTP end the call") {
  const EndlessResult result = callEndless("", "babble");
  CHECK(result.status == CallStatus::Failed);
  CHECK(result.bytesSent < MaxReadBytes);
}

TEST_CASE("endless interim responses end the call") {
  checkEnded(callEndless("", "HTTP/1.1 102 Processing\r\n\r\n"), "head");
}

TEST_CASE("endless responses to other requests end the call") {
  checkEnded(callEndless("", Ok + "Id: other\r\nContent-Length: 3\r\n\r\nold"),
             "skipped");
}

TEST_CASE("an endless response to another request ends the call") {
  checkEnded(callEndless(Ok + "Id: other\r\n\r\n", "old"), "skipped");
}

TEST_CASE("an endless chunk extension ends the call") {
  checkEnded(callEndless(Chunked + "1;", "x"), "head");
}

TEST_CASE("chunks with long extensions and hardly a body end the call") {
  checkEnded(callEndless(Chunked, "1;" + std::string(50000, 'x') + "\r\nb\r\n"),
             "head");
}

TEST_CASE("endless trailer fields end the call") {
  checkEnded(callEndless(Chunked + "1\r\nb\r\n0\r\n", "A: x\r\n"), "head");
}

TEST_CASE("a body in many small chunks is no endless head") {
  const EndlessResult result = callEndless(Chunked, "1\r\nb\r\n");
  CHECK_FALSE(result.status);
  CHECK(result.lines.empty());
  CHECK(result.bodyBytes > (1 << 20));
}
