#include "auburnspring/peer/peer_mesh.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

using namespace auburnspring;

namespace {

/// Thread-safe log of the callbacks of several meshes.
class EventLog {
public:
  void add(const std::string &event) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(event);
    changed_.notify_all();
  }

  void await(const std::string &event) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] {
      return std::find(events_.begin(), events_.end(), event) != events_.end();
    });
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
};

std::unique_ptr<PeerMesh> makeMesh(const std::string &host, std::uint16_t port,
                                   EventLog *events) {
  PeerMesh::Options options;
  options.host = host;
  options.listen = {"127.0.0.1", port};
  options.peerKey = "test";
  options.onConnectionLost = [=](const std::string &lostHost) {
    events->add(host + " lost " + lostHost);
  };
  return std::make_unique<PeerMesh>(
      options, [=](const std::string &from, const PeerMessage &) {
        events->add(host + " received from " + from);
      });
}

/// Starts a mesh on the first free port of a range below the system's ephemeral
/// ports.
std::unique_ptr<PeerMesh> startMesh(const std::string &host, Endpoint *endpoint,
                                    EventLog *events) {
  for (std::uint16_t port = 21000; port < 22000; ++port) {
    std::unique_ptr<PeerMesh> candidate = makeMesh(host, port, events);
    *endpoint = {"127.0.0.1", port};
    if (candidate->start().ok())
      return candidate;
  }
  return nullptr;
}

} // namespace

TEST_CASE("a lost connection is reported when its host stops") {
  EventLog events;
  Endpoint endpointA;
  Endpoint endpointB;
  const std::unique_ptr<PeerMesh> a = startMesh("a", &endpointA, &events);
  std::unique_ptr<PeerMesh> b = startMesh("b", &endpointB, &events);
  REQUIRE(a != nullptr);
  REQUIRE(b != nullptr);
  a->send("b", endpointB, BatcherProbe{false});
  events.await("b received from a");
  b.reset();
  events.await("a lost b");
}

TEST_CASE("an unreachable host is reported as lost") {
  EventLog events;
  Endpoint endpointA;
  const std::unique_ptr<PeerMesh> a = startMesh("a", &endpointA, &events);
  REQUIRE(a != nullptr);
  a->send("nobody", {"127.0.0.1", 1}, BatcherProbe{false});
  events.await("a lost nobody");
}

// Guards against a wait for a reply from a host whose address can't be used.
TEST_CASE("a host without a usable address is reported as lost") {
  EventLog events;
  Endpoint endpointA;
  const std::unique_ptr<PeerMesh> a = startMesh("a", &endpointA, &events);
  REQUIRE(a != nullptr);
  a->send("nowhere", {"127.0.0.1", 0}, BatcherProbe{false});
  events.await("a lost nowhere");
  CHECK(a->counters().messagesDropped == 1);
}
