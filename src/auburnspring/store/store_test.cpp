#include "auburnspring/store/etcd_store.h"
#include "auburnspring/store/host_list_client.h"
#include "auburnspring/store/http_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace auburnspring;

namespace {

// Listens on an ephemeral port, reads each request, sends a fixed response and
// closes the connection.
class FixedResponseServer {
public:
  explicit FixedResponseServer(std::string response)
      : response_(std::move(response)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this] { serve(); }) {}

  ~FixedResponseServer() {
    stopping_ = true;
    thread_.join();
  }

  Endpoint endpoint() const { return {"127.0.0.1", socket_.address().port()}; }
  int requests() const { return requests_; }

private:
  void serve() {
    while (!stopping_) {
      if (!socket_.poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ))
        continue;
      Poco::Net::StreamSocket peer = socket_.acceptConnection();
      char buffer[65536];
      if (peer.receiveBytes(buffer, sizeof buffer) > 0)
        ++requests_;
      if (!response_.empty())
        peer.sendBytes(response_.data(), static_cast<int>(response_.size()));
      peer.shutdown();
    }
  }

  std::string response_;
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> requests_{0};
  std::thread thread_;
};

std::string okResponse(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

HttpCall post(const std::string &body) {
  HttpCall call;
  call.method = "POST";
  call.body = body;
  return call;
}

} // namespace

TEST_CASE("a request is not resent if the server closes without a response") {
  FixedResponseServer server("");
  const auto response = callHttp(server.endpoint(), post("book"));
  REQUIRE_FALSE(response.ok());
  CHECK_FALSE(wasNotSent(response.status()));
  CHECK(server.requests() == 1);
}

TEST_CASE("a refused connection is reported as not sent") {
  Endpoint closed;
  {
    const Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress("127.0.0.1", 0));
    closed = {"127.0.0.1", socket.address().port()};
  }
  const auto response = callHttp(closed, post("book"));
  REQUIRE_FALSE(response.ok());
  CHECK(wasNotSent(response.status()));
}

TEST_CASE("a truncated response is an error") {
  FixedResponseServer server(
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  const auto response = callHttp(server.endpoint(), post("x"));
  REQUIRE_FALSE(response.ok());
  CHECK_FALSE(wasNotSent(response.status()));
}

// Guards against a damaged response that is used as an answer (MIXED).
TEST_CASE("a response with a malformed head is an error") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string sized = "Content-Length: 2\r\n\r\n{}";
  const std::string chunks = "2\r\n{}\r\n0\r\n\r\n";
  for (const std::string &malformed :
       {"HTTP/1.1 000 OK\r\n" + sized, "HTTP/1.1 0200 OK\r\n" + sized,
        "HTTP/9 200 OK\r\n" + sized, ok + "no field\r\n" + sized,
        ok + " folded\r\n" + sized, ok + "A: b\r\n folded\r\n" + sized,
        ok + "A B: c\r\n" + sized, ok + "A\x01: c\r\n" + sized,
        ok + "Content-Length:\r\n\r\n{}", ok + "Content-Length: 2x\r\n\r\n{}",
        ok + "Transfer-Encoding: chunkxd\r\n\r\n" + chunks,
        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks}) {
    INFO(malformed);
    FixedResponseServer server(malformed);
    const auto response = callHttp(server.endpoint(), post("x"));
    REQUIRE_FALSE(response.ok());
    CHECK_FALSE(wasNotSent(response.status()));
  }
  FixedResponseServer server(ok + "A: b\r\n" + sized);
  CHECK(callHttp(server.endpoint(), post("x")).ok());
}

// Guards against a part of a body that is taken for the whole one (MIXED).
TEST_CASE("a response without length is whole only at an orderly end") {
  const bool resets = GENERATE(false, true);
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread responder([&] {
    Poco::Net::StreamSocket peer = server.acceptConnection();
    char buffer[4096];
    peer.receiveBytes(buffer, sizeof buffer);
    const std::string part = "HTTP/1.1 200 OK\r\n\r\n{}";
    peer.sendBytes(part.data(), static_cast<int>(part.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    if (resets)
      peer.setLinger(true, 0);
    peer.close();
  });
  const auto response =
      callHttp({"127.0.0.1", server.address().port()}, post("x"));
  responder.join();
  CHECK(response.ok() == !resets);
}

// Guards against a part of a body that is taken for the whole one, since the
// write of the request met the reset first (MIXED).
TEST_CASE("a response without length is not whole if the upload is reset") {
  for (int blocks = 0; blocks < 40; ++blocks) {
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread responder([&] {
      Poco::Net::StreamSocket peer = server.acceptConnection();
      std::vector<char> buffer(64 << 10);
      const auto read = [&] {
        peer.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      };
      read();
      const std::string part = "HTTP/1.1 200 OK\r\n\r\n{}";
      peer.sendBytes(part.data(), static_cast<int>(part.size()));
      for (int i = 0; i < blocks; ++i)
        read();
      peer.setLinger(true, 0);
      peer.close();
    });
    const auto response = callHttp({"127.0.0.1", server.address().port()},
                                   post(std::string(16 << 20, 'u')));
    responder.join();
    CHECK_FALSE(response.ok());
  }
}

TEST_CASE("a write whose response is lost is reported as unknown") {
  FixedResponseServer server("");
  EtcdStore store(server.endpoint());
  const KvReply reply = store.call({KvVerb::PutIf, "k", "v", 0});
  CHECK(reply.status == KvStatus::Unknown);
  CHECK(server.requests() == 1);
}

TEST_CASE("a conflicting write returns the current value and revision") {
  FixedResponseServer server(okResponse(
      R"({"header":{"revision":"9"},"responses":[{"response_range":)"
      R"({"kvs":[{"key":"aw==","value":"dg==","mod_revision":"4"}]}}]})"));
  EtcdStore store(server.endpoint());
  const KvReply reply = store.call({KvVerb::PutIf, "k", "v", 3});
  CHECK(reply.status == KvStatus::Conflict);
  CHECK(reply.value == "v");
  CHECK(reply.revision == 4);
}

TEST_CASE("a host list is parsed; a malformed one is an error") {
  const auto list = parseHostList(
      R"({"version":3,"hosts":[{"name":"e1","pool":"encoders",)"
      R"("address":"127.0.0.1:9","state":"leaving","slots":4}]})");
  REQUIRE(list.ok());
  CHECK(list->upstreams.front().leaving);
  CHECK(list->upstreams.front().slots == 4);
  CHECK(list->upstreams.front().version.empty());
  CHECK_FALSE(parseHostList("{}").ok());
  CHECK_FALSE(parseHostList("").ok());
}

TEST_CASE("an entry of the host list may carry a software version") {
  const auto list =
      parseHostList(R"({"version":3,"hosts":[{"name":"e1","pool":"engines",)"
                    R"("address":"127.0.0.1:9","version":"2.1"}]})");
  REQUIRE(list.ok());
  CHECK(list->upstreams.front().version == "2.1");
  CHECK_FALSE(
      parseHostList(R"({"version":3,"hosts":[{"name":"e1","pool":"engines",)"
                    R"("address":"127.0.0.1:9","version":2}]})")
          .ok());
}

// Guards against calls that wait for good for a server that accepts connections
// and never responds.
TEST_CASE("a call without a response ends at its timeout") {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  HttpCall call;
  call.responseTimeout = std::chrono::milliseconds(200);
  const auto begin = std::chrono::steady_clock::now();
  const auto response = callHttp({"127.0.0.1", server.address().port()}, call);
  CHECK(response.status().code() == absl::StatusCode::kDataLoss);
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(1));
}
