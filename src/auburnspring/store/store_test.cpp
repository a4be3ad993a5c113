#include "auburnspring/store/etcd_store.h"
#include "auburnspring/store/host_list_client.h"
#include "auburnspring/store/http_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>

using namespace auburnspring;

namespace {

// Accepts connections on a port that the system picks, reads each request and
// answers with fixed bytes, then closes.
class CannedServer {
public:
  explicit CannedServer(std::string answer)
      : answer_(std::move(answer)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this] { serve(); }) {}

  ~CannedServer() {
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
      if (!answer_.empty())
        peer.sendBytes(answer_.data(), static_cast<int>(answer_.size()));
      peer.shutdown();
    }
  }

  std::string answer_;
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> requests_{0};
  std::thread thread_;
};

std::string httpAnswer(const std::string &body) {
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

TEST_CASE("a call to a server that closes after reading is sent once") {
  CannedServer server("");
  const auto answer = callHttp(server.endpoint(), post("book"));
  REQUIRE_FALSE(answer.ok());
  CHECK_FALSE(wasNotSent(answer.status()));
  CHECK(server.requests() == 1);
}

TEST_CASE("a refused connection proves that nothing was sent") {
  Endpoint closed;
  {
    const Poco::Net::ServerSocket socket(
        Poco::Net::SocketAddress("127.0.0.1", 0));
    closed = {"127.0.0.1", socket.address().port()};
  }
  const auto answer = callHttp(closed, post("book"));
  REQUIRE_FALSE(answer.ok());
  CHECK(wasNotSent(answer.status()));
}

TEST_CASE("an answer that is cut short is no answer") {
  CannedServer server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  const auto answer = callHttp(server.endpoint(), post("x"));
  REQUIRE_FALSE(answer.ok());
  CHECK_FALSE(wasNotSent(answer.status()));
}

TEST_CASE("a write whose answer is lost is unknown") {
  CannedServer server("");
  EtcdStore store(server.endpoint());
  const KvReply reply = store.call({KvVerb::PutIf, "k", "v", 0});
  CHECK(reply.status == KvStatus::Unknown);
  CHECK(server.requests() == 1);
}

TEST_CASE("a conflicting write carries the present value") {
  CannedServer server(httpAnswer(
      R"({"header":{"revision":"9"},"responses":[{"response_range":)"
      R"({"kvs":[{"key":"aw==","value":"dg==","mod_revision":"4"}]}}]})"));
  EtcdStore store(server.endpoint());
  const KvReply reply = store.call({KvVerb::PutIf, "k", "v", 3});
  CHECK(reply.status == KvStatus::Conflict);
  CHECK(reply.value == "v");
  CHECK(reply.revision == 4);
}

TEST_CASE("a host list parses and a malformed one is an error") {
  const auto list = parseHostList(
      R"({"version":3,"hosts":[{"name":"e1","pool":"encoders",)"
      R"("address":"127.0.0.1:9","state":"leaving","slots":4}]})");
  REQUIRE(list.ok());
  CHECK(list->upstreams.front().leaving);
  CHECK(list->upstreams.front().slots == 4);
  CHECK_FALSE(parseHostList("{}").ok());
  CHECK_FALSE(parseHostList("").ok());
}
