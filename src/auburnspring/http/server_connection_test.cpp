#include "server_fixture.h"

#include <asio/write.hpp>

#include <thread>
#include <vector>

using namespace auburnspring;
using namespace auburnspring::http;

namespace {

/// More than the sockets hold, in bytes.
constexpr std::size_t LargeBodyBytes = 24 << 20;
const std::string Request = "GET / HTTP/1.1\r\n\r\n";

} // namespace

// Each guards against requests that are read and get no complete response.

TEST_CASE("an idle timer that expires as a request is read closes nothing") {
  ServerFixture fixture;
  ServerLimits limits;
  limits.idleTimeout = std::chrono::milliseconds(30);
  fixture.server.setLimits(limits);
  fixture.handler = [](const std::shared_ptr<Exchange> &exchange) {
    exchange->respond({200, {}}, std::string(LargeBodyBytes, 'x'));
  };
  Tcp::socket caller = fixture.connect();
  fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
  asio::write(caller, asio::buffer(Request));
  // Now both the request and the timer are due.
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  CHECK(fixture.readAll(&caller).size() > LargeBodyBytes);
}

TEST_CASE("a response that is being written survives the server's close") {
  ServerFixture fixture;
  fixture.handler = [](const std::shared_ptr<Exchange> &exchange) {
    exchange->respond({200, {}}, std::string(LargeBodyBytes, 'x'));
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer(Request));
  fixture.runFor(std::chrono::milliseconds(50));
  fixture.server.close();
  fixture.runFor(std::chrono::milliseconds(50));
  CHECK(fixture.readAll(&caller).size() > LargeBodyBytes);
}

TEST_CASE("a request after a HEAD request on a stream is answered") {
  ServerFixture fixture;
  std::vector<std::shared_ptr<Exchange>> pending;
  fixture.handler = [&](std::shared_ptr<Exchange> exchange) {
    pending.push_back(std::move(exchange));
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer("HEAD / HTTP/1.1\r\n\r\n" + Request));
  fixture.runUntil([&] { return pending.size() == 1; });
  pending[0]->begin({200, {}});
  fixture.runFor(std::chrono::milliseconds(20));
  pending[0]->end();
  fixture.runFor(std::chrono::milliseconds(20));
  CHECK(pending.size() == 2);
}

TEST_CASE("a pipelined request is answered although the host drains") {
  ServerFixture fixture;
  std::vector<std::shared_ptr<Exchange>> pending;
  fixture.handler = [&](std::shared_ptr<Exchange> exchange) {
    pending.push_back(std::move(exchange));
    if (pending.size() == 2)
      pending[1]->respond({200, {}}, "two");
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer(Request + Request));
  fixture.runUntil([&] { return pending.size() == 1; });
  fixture.runFor(std::chrono::milliseconds(20));
  fixture.server.drain(std::chrono::seconds(2));
  pending[0]->respond({200, {}}, "one");
  CHECK(fixture.readAll(&caller) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
        "Connection: close\r\n\r\ntwo");
}

TEST_CASE("a raised limit on heads applies to connections that are open") {
  ServerFixture fixture;
  ServerLimits limits;
  limits.maxHeadBytes = 200;
  fixture.server.setLimits(limits);
  fixture.handler = [](const std::shared_ptr<Exchange> &exchange) {
    exchange->respond({200, {}}, "one");
  };
  Tcp::socket caller = fixture.connect();
  fixture.runFor(std::chrono::milliseconds(20));
  limits.maxHeadBytes = 1000;
  fixture.server.setLimits(limits);
  asio::write(caller,
              asio::buffer("GET / HTTP/1.1\r\nConnection: close\r\nA: " +
                           std::string(300, 'x') + "\r\n\r\n"));
  CHECK(fixture.readAll(&caller).substr(0, 12) == "HTTP/1.1 200");
}
