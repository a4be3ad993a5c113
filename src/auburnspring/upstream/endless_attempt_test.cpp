#include "auburnspring/upstream/attempt_runner.h"

#include "auburnspring/base/clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace auburnspring;

namespace {

/// More than an attempt reads at most, in bytes.
constexpr std::size_t MaxSentBytes = 32 << 20;
constexpr Duration MaxTrickleTime = std::chrono::seconds(4);

const std::string Head = "HTTP/1.1 200 OK\r\n\r\n";

/// Sends a beginning, then the same bytes again and again to one connection
/// until its peer closes it, or too much has been sent.
class EndlessPeer {
public:
  EndlessPeer(std::string first, std::string repeated, Duration pause = {})
      : server_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        first_(std::move(first)), repeated_(std::move(repeated)), pause_(pause),
        thread_([this] { serve(); }) {}
  ~EndlessPeer() { thread_.join(); }

  Endpoint endpoint() const { return {"127.0.0.1", server_.address().port()}; }
  bool sentAll() const { return sentAll_; }

private:
  void serve() {
    Poco::Net::StreamSocket socket = server_.acceptConnection();
    const TimePoint start = steadyNow();
    std::string block = repeated_;
    while (pause_ == Duration(0) && block.size() < (64 << 10))
      block += repeated_;
    try {
      send(&socket, first_);
      for (std::size_t sent = 0; sent < MaxSentBytes; sent += block.size()) {
        if (steadyNow() - start > MaxTrickleTime)
          break;
        send(&socket, block);
        std::this_thread::sleep_for(pause_);
      }
      sentAll_ = true;
    } catch (const Poco::Exception &) {
      // The peer has closed the connection.
    }
  }

  static void send(Poco::Net::StreamSocket *socket, const std::string &bytes) {
    for (std::size_t sent = 0; sent < bytes.size();)
      sent += static_cast<std::size_t>(socket->sendBytes(
          bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
  }

  Poco::Net::ServerSocket server_;
  std::string first_;
  std::string repeated_;
  Duration pause_;
  std::atomic<bool> sentAll_{false};
  std::thread thread_;
};

/// Runs one attempt at the peer and returns how it failed.
FailureKind failureAt(const EndlessPeer &peer, StageKind kind,
                      Duration timeLeft) {
  std::promise<FailureKind> failure;
  AttemptRunner runner({}, [&](const Event &event) {
    if (const auto *failed = std::get_if<AttemptFailed>(&event))
      failure.set_value(failed->kind);
  });
  StartAttempt attempt;
  attempt.endpoint = peer.endpoint();
  attempt.kind = kind;
  attempt.deadline = steadyNow() + timeLeft;
  runner.start(attempt);
  const FailureKind kindOfFailure = failure.get_future().get();
  runner.join();
  return kindOfFailure;
}

} // namespace

// Each guards against upstreams that keep an attempt's thread and memory with
// bytes that don't end.

TEST_CASE("an attempt ends if what its upstream sends has no end") {
  StageKind kind = StageKind::Generate;
  std::string first = Head;
  std::string repeated;
  SECTION("a line of a stream") {
    first += "data: ";
    repeated = "x";
  }
  SECTION("comments in a stream") { repeated = ": wait\n\n"; }
  SECTION("the body of a call") {
    kind = StageKind::Call;
    repeated = "x";
  }
  EndlessPeer peer(first, repeated);
  CHECK(failureAt(peer, kind, std::chrono::seconds(20)) ==
        FailureKind::ResponseLost);
  CHECK_FALSE(peer.sentAll());
}

TEST_CASE("an attempt ends at its deadline although bytes trickle") {
  StageKind kind = StageKind::Call;
  std::string first = Head;
  std::string repeated = "x";
  SECTION("in a head") { first = "HTTP/1.1 200 OK\r\nA: "; }
  SECTION("in interim responses") {
    first = "";
    repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SECTION("in the body of a call") {}
  SECTION("in a stream") {
    kind = StageKind::Generate;
    repeated = ": wait\n\n";
  }
  EndlessPeer peer(first, repeated, std::chrono::milliseconds(20));
  const TimePoint start = steadyNow();
  CHECK(failureAt(peer, kind, std::chrono::milliseconds(300)) ==
        FailureKind::ResponseLost);
  CHECK(steadyNow() - start < std::chrono::seconds(2));
  CHECK_FALSE(peer.sentAll());
}
