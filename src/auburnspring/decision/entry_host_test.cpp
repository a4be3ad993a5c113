#include "auburnspring/decision/entry_host.h"

#include "auburnspring/base/digest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace auburnspring;

namespace {

constexpr const char *RouteText =
    R"({"name":"r","owner":"o","deadline_ms":60000,"repeat":"always",)"
    R"("stages":[{"kind":"encode","pool":"p","expected_ms":5},)"
    R"({"kind":"retrieve","pool":"p","parts":2,"expected_ms":5}]})";

ConfigurationBundle bundleOf(std::uint64_t generation) {
  ConfigurationBundle bundle;
  bundle.head.generation = generation;
  bundle.head.fileDigests["r"] = digestHex(RouteText);
  bundle.fileContents[digestHex(RouteText)] = RouteText;
  return bundle;
}

HostList listOf(std::uint64_t version) {
  HostList list;
  list.version = version;
  for (std::uint64_t i = 0; i < 6; ++i) {
    ListedUpstream upstream;
    upstream.name = fmt::format("p-{}", i);
    upstream.pool = "p";
    upstream.slots = 64;
    // One upstream has a new incarnation in each list.
    upstream.incarnation = i == 0 ? std::to_string(version) : "1";
    list.upstreams.push_back(upstream);
  }
  return list;
}

Instant at(std::int64_t micros) {
  return {TimePoint(std::chrono::hours(1)) + Duration(micros), WallTime(1000)};
}

// Submits the requests of one thread and completes every attempt immediately.
class Driver {
public:
  Driver(EntryHost *host, std::atomic<std::int64_t> *clock)
      : host_(host), clock_(clock) {}

  void run(RequestId first, RequestId count) {
    for (RequestId id = first; id < first + count; ++id) {
      RequestArrived arrived;
      arrived.request = id;
      arrived.organisation = fmt::format("org-{}", id % 7);
      arrived.route = "r";
      arrived.body = "body";
      perform(host_->handle(arrived, at(++*clock_)));
    }
  }

  int responses = 0;
  int complete = 0;

private:
  // A slot released by one thread may start another thread's request here.
  void perform(Actions actions) {
    while (!actions.empty()) {
      Actions next;
      for (const Action &action : actions) {
        if (const auto *response = std::get_if<RespondToCaller>(&action)) {
          ++responses;
          complete += response->outcome == Outcome::Complete;
        }
        const auto *start = std::get_if<StartAttempt>(&action);
        if (start == nullptr)
          continue;
        Actions more = host_->handle(
            AttemptSucceeded{start->attempt, "text", Usage()}, at(++*clock_));
        std::move(more.begin(), more.end(), std::back_inserter(next));
      }
      actions = std::move(next);
    }
  }

  EntryHost *host_;
  std::atomic<std::int64_t> *clock_;
};

} // namespace

TEST_CASE("concurrent threads get exactly one response per request") {
  EntryHost::Options options;
  options.host = "entry-1";
  options.maxRequests = 10000;
  EntryHost host(options);
  std::atomic<std::int64_t> clock{0};
  host.handle(PeerMessageReceived{"entry-2", BundleReply{bundleOf(1)}},
              at(++clock));
  host.handle(HostListRead{listOf(1)}, at(++clock));
  constexpr int ThreadCount = 4;
  constexpr RequestId RequestsPerThread = 2000;
  std::vector<Driver> drivers(ThreadCount, Driver(&host, &clock));
  std::atomic<bool> stop{false};
  std::thread control([&] {
    for (std::uint64_t round = 2; !stop; ++round) {
      host.handle(HostListRead{listOf(round)}, at(++clock));
      host.handle(PeerMessageReceived{"entry-2", BundleReply{bundleOf(round)}},
                  at(++clock));
      host.handle(Tick{}, at(++clock));
      host.dump(at(++clock));
    }
  });
  std::vector<std::thread> threads;
  for (int i = 0; i < ThreadCount; ++i)
    threads.emplace_back([&drivers, i] {
      drivers[static_cast<std::size_t>(i)].run(
          1 + static_cast<RequestId>(i) * RequestsPerThread, RequestsPerThread);
    });
  for (std::thread &thread : threads)
    thread.join();
  stop = true;
  control.join();
  int responses = 0;
  int complete = 0;
  for (const Driver &driver : drivers) {
    responses += driver.responses;
    complete += driver.complete;
  }
  CHECK(responses == ThreadCount * static_cast<int>(RequestsPerThread));
  CHECK(complete == responses);
  CHECK(host.openRequests() == 0);
}

TEST_CASE("a host rejects unknown routes and refuses while unconfigured or "
          "stopping") {
  EntryHost::Options options;
  options.host = "entry-1";
  EntryHost host(options);
  RequestArrived arrived;
  arrived.request = 1;
  arrived.route = "r";
  Actions actions = host.handle(arrived, at(1));
  CHECK(std::get<RespondToCaller>(actions.front()).outcome == Outcome::NotRun);
  host.handle(PeerMessageReceived{"entry-2", BundleReply{bundleOf(1)}}, at(2));
  CHECK(host.isReady());
  arrived.route = "other";
  actions = host.handle(arrived, at(3));
  CHECK(std::get<RespondToCaller>(actions.front()).outcome ==
        Outcome::Rejected);
  host.handle(StopRequested{}, at(4));
  CHECK_FALSE(host.isReady());
  arrived.key = "a key that may have run before";
  actions = host.handle(arrived, at(5));
  CHECK(std::get<RespondToCaller>(actions.front()).outcome == Outcome::Unknown);
}

TEST_CASE("a host does not return to a lower generation") {
  EntryHost::Options options;
  options.host = "entry-1";
  EntryHost host(options);
  const auto generation = [&host] {
    return host.dump(at(9)).at("configuration").at("generation").dump();
  };
  host.handle(PeerMessageReceived{"entry-2", BundleReply{bundleOf(5)}}, at(1));
  host.handle(PeerMessageReceived{"entry-2", BundleReply{bundleOf(4)}}, at(2));
  CHECK(generation() == "5");
  ConfigurationBundle damaged = bundleOf(6);
  damaged.fileContents.begin()->second += " ";
  host.handle(PeerMessageReceived{"entry-2", BundleReply{damaged}}, at(3));
  CHECK(generation() == "5");
}
