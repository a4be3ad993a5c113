#include "auburnspring/peer/peer_mesh.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

using namespace auburnspring;

namespace {

/// What two meshes tell of each other, from their own threads.
class Events {
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

std::unique_ptr<PeerMesh> mesh(const std::string &host, std::uint16_t port,
                               Events *events) {
  PeerMesh::Options options;
  options.host = host;
  options.listen = {"127.0.0.1", port};
  options.peerKey = "test";
  options.onLost = [=](const std::string &lost) {
    events->add(host + " lost " + lost);
  };
  return std::make_unique<PeerMesh>(
      options, [=](const std::string &from, const PeerMessage &) {
        events->add(host + " heard " + from);
      });
}

/// Starts a mesh on the first free port of a range below the system's own.
std::unique_ptr<PeerMesh> startedMesh(const std::string &host, Endpoint *at,
                                      Events *events) {
  for (std::uint16_t port = 21000; port < 22000; ++port) {
    std::unique_ptr<PeerMesh> started = mesh(host, port, events);
    *at = {"127.0.0.1", port};
    if (started->start().ok())
      return started;
  }
  return nullptr;
}

} // namespace

TEST_CASE("a mesh tells when a connection ends with its host") {
  Events events;
  Endpoint atA;
  Endpoint atB;
  const std::unique_ptr<PeerMesh> a = startedMesh("a", &atA, &events);
  std::unique_ptr<PeerMesh> b = startedMesh("b", &atB, &events);
  REQUIRE(a != nullptr);
  REQUIRE(b != nullptr);
  a->send("b", atB, GathererPing{false});
  events.await("b heard a");
  b.reset();
  events.await("a lost b");
}

TEST_CASE("a mesh tells when a host can't be reached") {
  Events events;
  Endpoint atA;
  const std::unique_ptr<PeerMesh> a = startedMesh("a", &atA, &events);
  REQUIRE(a != nullptr);
  a->send("nobody", {"127.0.0.1", 1}, GathererPing{false});
  events.await("a lost nobody");
}
