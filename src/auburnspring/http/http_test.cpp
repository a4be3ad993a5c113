#include "auburnspring/base/log.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/http/message_reader.h"
#include "raw_upstream.h"
#include "server_fixture.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace auburnspring;
using namespace auburnspring::http;

TEST_CASE("the reader stops after each message") {
  int messages = 0;
  MessageReader reader(MessageKind::Request, 1000,
                       {nullptr, nullptr, [&] { ++messages; }});
  const std::string pipelined =
      "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
  const auto used = reader.feed(pipelined);
  REQUIRE(used.ok());
  CHECK(*used == pipelined.size() / 2);
  CHECK(messages == 1);
  CHECK(reader.takeRequest().target == "/a");
  REQUIRE(reader.feed(std::string_view(pipelined).substr(*used)).ok());
  CHECK(reader.takeRequest().target == "/b");
}

TEST_CASE("requests with ambiguous framing are rejected") {
  for (const char *text :
       {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\n",
        "GET / HTTP/1.1\r\nA : b\r\nTransfer-Encoding : chunked\r\n\r\n"}) {
    MessageReader reader(MessageKind::Request, 1000, {});
    CHECK_FALSE(reader.feed(text).ok());
  }
}

TEST_CASE("a head above the size limit is reported as too large") {
  MessageReader reader(MessageKind::Request, 100, {});
  const std::string text =
      "GET / HTTP/1.1\r\nA: " + std::string(200, 'x') + "\r\n\r\n";
  CHECK_FALSE(reader.feed(text).ok());
  CHECK(reader.isHeadTooLarge());
}

TEST_CASE("hop-by-hop headers are removed") {
  HeaderList headers;
  headers.add("Connection", "close, X-One");
  headers.add("x-one", "1");
  headers.add("Keep-Alive", "timeout=5");
  headers.add("TE", "trailers");
  headers.add("X-Two", "2");
  headers.removeHopByHop();
  REQUIRE(headers.all().size() == 1);
  CHECK(headers.all()[0].name == "X-Two");
}

TEST_CASE("pipelined requests are handled one at a time, in order") {
  ServerFixture fixture;
  std::vector<std::shared_ptr<Exchange>> pending;
  fixture.handler = [&](std::shared_ptr<Exchange> exchange) {
    pending.push_back(std::move(exchange));
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller,
              asio::buffer(std::string(
                  "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n0\r\n\r\n"
                  "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")));
  fixture.runUntil([&] { return pending.size() == 1; });
  CHECK(pending[0]->body == "abc");
  for (int i = 0; i < 3; ++i)
    fixture.io.poll();
  CHECK(pending.size() == 1);
  pending[0]->respond({200, {}}, "one");
  fixture.runUntil([&] { return pending.size() == 2; });
  pending[1]->respond({404, {}}, "two");
  CHECK(fixture.readAll(&caller) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
        "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n"
        "Connection: close\r\n\r\ntwo");
}

TEST_CASE("a caller's disconnect is detected while its response is pending") {
  ServerFixture fixture;
  std::shared_ptr<Exchange> pending;
  bool disconnected = false;
  fixture.handler = [&](std::shared_ptr<Exchange> exchange) {
    pending = std::move(exchange);
    pending->onDisconnect = [&] { disconnected = true; };
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  fixture.runUntil([&] { return pending != nullptr; });
  caller.close();
  fixture.runUntil([&] { return disconnected; });
  pending->respond({200, {}}, "unused");
  CHECK(pending->isDisconnected());
}

TEST_CASE("an aborted response is sent without the final chunk") {
  ServerFixture fixture;
  fixture.handler = [&](const std::shared_ptr<Exchange> &exchange) {
    exchange->begin({200, {}});
    exchange->write("part");
    asio::post(fixture.io, [exchange] { exchange->abort(); });
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  CHECK(fixture.readAll(&caller).find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("requests above the limits and malformed requests are rejected") {
  ServerFixture fixture;
  ServerLimits limits;
  limits.maxBodyBytes = 10;
  limits.maxHeadBytes = 200;
  fixture.server.setLimits(limits);
  fixture.handler = [](const std::shared_ptr<Exchange> &) { FAIL(); };
  Tcp::socket largeBody = fixture.connect();
  asio::write(largeBody,
              asio::buffer("POST / HTTP/1.1\r\nContent-Length: 20\r\n"
                           "\r\n" +
                           std::string(20, 'x')));
  CHECK(fixture.readAll(&largeBody).substr(0, 12) == "HTTP/1.1 413");
  Tcp::socket largeHead = fixture.connect();
  asio::write(largeHead, asio::buffer("GET / HTTP/1.1\r\nA: " +
                                      std::string(300, 'x') + "\r\n\r\n"));
  CHECK(fixture.readAll(&largeHead).substr(0, 12) == "HTTP/1.1 431");
  Tcp::socket malformed = fixture.connect();
  asio::write(malformed, asio::buffer(std::string("what is this\r\n\r\n")));
  CHECK(fixture.readAll(&malformed).substr(0, 12) == "HTTP/1.1 400");
}

TEST_CASE(
    "a draining server completes the request and sends Connection: close") {
  ServerFixture fixture;
  std::shared_ptr<Exchange> pending;
  fixture.handler = [&](std::shared_ptr<Exchange> exchange) {
    pending = std::move(exchange);
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  fixture.runUntil([&] { return pending != nullptr; });
  fixture.server.close();
  pending->respond({200, {}}, "x");
  CHECK(fixture.readAll(&caller) == "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                                    "Connection: close\r\n\r\nx");
}

// Guards against LOST: the next request was read and discarded.
TEST_CASE("a request after a response that announced no close is answered "
          "although the host drains") {
  ServerFixture fixture;
  std::vector<std::shared_ptr<Exchange>> pending;
  fixture.handler = [&](std::shared_ptr<Exchange> exchange) {
    pending.push_back(std::move(exchange));
    if (pending.size() == 2)
      pending[1]->respond({200, {}}, "two");
  };
  Tcp::socket caller = fixture.connect();
  asio::write(caller, asio::buffer(std::string("GET /1 HTTP/1.1\r\n\r\n")));
  fixture.runUntil([&] { return pending.size() == 1; });
  pending[0]->begin({200, {}});
  pending[0]->write("one");
  SECTION("within the linger time") {
    fixture.server.drain(std::chrono::seconds(2));
  }
  SECTION("after the linger time") { fixture.server.close(); }
  pending[0]->end();
  fixture.runFor(std::chrono::milliseconds(20));
  asio::write(caller, asio::buffer(std::string("GET /2 HTTP/1.1\r\n\r\n")));
  CHECK(fixture.readAll(&caller) ==
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\none\r\n0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
        "Connection: close\r\n\r\ntwo");
  CHECK(fixture.server.closedWithBytes() == 0);
}

// Guards against LOST: the connection was closed with the request unread.
TEST_CASE("a request that has arrived when the idle timer expires is read") {
  ServerFixture fixture;
  ServerLimits limits;
  limits.idleTimeout = std::chrono::milliseconds(30);
  fixture.server.setLimits(limits);
  fixture.handler = [](const std::shared_ptr<Exchange> &exchange) {
    exchange->respond({200, {}}, "one");
  };
  Tcp::socket caller = fixture.connect();
  // Its handler runs just before that of the idle timer.
  asio::steady_timer busy(fixture.io);
  fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
  busy.expires_after(std::chrono::milliseconds(20));
  busy.async_wait([&](asio::error_code) {
    asio::write(caller, asio::buffer(std::string("GET /1 HTTP/1.1\r\n\r\n")));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  CHECK(fixture.readAll(&caller) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
  CHECK(fixture.server.closedWithBytes() == 0);
}

// Guards against LOST: the connection was closed at the older, lower limit.
TEST_CASE("a raised idle timeout applies to connections that are idle") {
  ServerFixture fixture;
  ServerLimits limits;
  limits.idleTimeout = std::chrono::milliseconds(100);
  fixture.server.setLimits(limits);
  fixture.handler = [](const std::shared_ptr<Exchange> &exchange) {
    exchange->respond({200, {}}, "one");
  };
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  std::string expected;
  Tcp::socket caller = fixture.connect();
  SECTION("before the first request") {}
  SECTION("after a response") {
    asio::write(caller, asio::buffer(request));
    expected = response;
  }
  fixture.runFor(std::chrono::milliseconds(40));
  limits.idleTimeout = std::chrono::milliseconds(400);
  fixture.server.setLimits(limits);
  fixture.runFor(std::chrono::milliseconds(200));
  asio::write(caller, asio::buffer(request));
  CHECK(fixture.readAll(&caller) == expected + response);
}

TEST_CASE("a lowered idle timeout applies from the next response on") {
  ServerFixture fixture;
  ServerLimits limits;
  limits.idleTimeout = std::chrono::seconds(20);
  fixture.server.setLimits(limits);
  fixture.handler = [](const std::shared_ptr<Exchange> &exchange) {
    exchange->respond({200, {}}, "one");
  };
  Tcp::socket caller = fixture.connect();
  fixture.runFor(std::chrono::milliseconds(20));
  limits.idleTimeout = std::chrono::milliseconds(50);
  fixture.server.setLimits(limits);
  fixture.runFor(std::chrono::milliseconds(150));
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  CHECK(fixture.readAll(&caller) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
}

TEST_CASE("truncated, reset and malformed responses are not complete") {
  const auto complete =
      callOnce("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(complete.status == CallStatus::Complete);
  CHECK(complete.body == "abc");
  CHECK(callOnce("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc").status ==
        CallStatus::Failed);
  CHECK(callOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nabc\r\n")
            .status == CallStatus::Failed);
  CHECK(callOnce("HTTP/1.1 200 OK\r\n\r\nabc").status == CallStatus::Complete);
  CHECK(callOnce("HTTP/1.1 200 OK\r\n\r\nabc", true).status ==
        CallStatus::Failed);
  CHECK(callOnce("babble\r\n\r\n").status == CallStatus::Failed);
  CHECK(callOnce("").status == CallStatus::Failed);
}

TEST_CASE("a response to another request is skipped") {
  const auto result =
      callOnce("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
               "HTTP/1.1 201 Created\r\nId: mine\r\nContent-Length: 4\r\n\r\n"
               "mine",
               false, "mine");
  CHECK(result.status == CallStatus::Complete);
  CHECK(result.head.status == 201);
  CHECK(result.body == "mine");
}

TEST_CASE("interim responses and bytes after the response are ignored") {
  const auto result = callOnce("HTTP/1.1 100 Continue\r\n\r\n"
                               "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
                               "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
  CHECK(result.status == CallStatus::Complete);
  CHECK(result.body == "x");
}

TEST_CASE("a refused connection is reported as not sent") {
  asio::io_context io;
  Endpoint closed;
  {
    RawUpstream upstream(io);
    closed = upstream.endpoint();
  }
  std::optional<CallStatus> callStatus;
  CallOptions options;
  options.endpoint = closed;
  ClientCall call(io, options, {nullptr, nullptr, [&](CallStatus status, auto) {
                                  callStatus = status;
                                }});
  call.start({"GET", "/", {}}, "");
  while (!callStatus)
    io.run_one();
  CHECK(callStatus == CallStatus::NotSent);
  CHECK_FALSE(call.mayHaveBeenSent());
}

TEST_CASE(
    "a server that ran out of descriptors does not accept again once it is "
    "closed") {
  int failures = 0;
  setLogSink([&](absl::string_view event, const std::string &) {
    failures += event == "accept_failed" ? 1 : 0;
  });
  asio::io_context io;
  http::Server server(io, [](const std::shared_ptr<http::Exchange> &) {});
  REQUIRE(server.listen({"127.0.0.1", 0}).ok());
  asio::ip::tcp::socket caller(io, asio::ip::tcp::v4());
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  // No descriptor is left for the connection.
  const int next = dup(0);
  REQUIRE(next >= 0);
  close(next);
  const rlimit exhausted{static_cast<rlim_t>(next), before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
  asio::error_code ignored;
  caller.connect({asio::ip::make_address("127.0.0.1"), server.endpoint().port},
                 ignored);
  io.run_for(std::chrono::milliseconds(80));
  CHECK(failures >= 1);
  server.close();
  const int atClose = failures;
  io.restart();
  io.run_for(std::chrono::milliseconds(200));
  CHECK(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(failures == atClose);
  setLogSink(nullptr);
}
