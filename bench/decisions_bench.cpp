// Benchmarks of the decisions on a request's path, at rising numbers of
// upstreams, organisations and queued requests.
#include "auburnspring/base/digest.h"
#include "auburnspring/decision/entry_host.h"
#include "auburnspring/decision/upstream_selection.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <deque>

namespace {

using namespace auburnspring;

const TimePoint Now{std::chrono::hours(1)};

std::vector<TrackedUpstreamPtr> makeUpstreams(std::size_t count) {
  std::vector<TrackedUpstreamPtr> upstreams;
  for (std::size_t i = 0; i < count; ++i) {
    ListedUpstream upstream;
    upstream.name = fmt::format("engine-{}", i);
    upstream.slots = 8;
    upstream.models = {"writer"};
    upstream.dataCentre = fmt::format("dc-{}", i % 8);
    upstreams.push_back(std::make_shared<TrackedUpstream>(upstream));
    upstreams.back()->smoothedMicros = 20000;
  }
  return upstreams;
}

void chooseOfTwo(benchmark::State &state) {
  const auto upstreams =
      makeUpstreams(static_cast<std::size_t>(state.range(0)));
  std::mt19937_64 random(1);
  SelectionCriteria request;
  request.model = "writer";
  request.dataCentre = "dc-1";
  for (auto _ : state)
    benchmark::DoNotOptimize(chooseUpstream(upstreams, request, Now, &random));
}
BENCHMARK(chooseOfTwo)->Arg(5)->Arg(60)->Arg(600);

void chooseWithPrefix(benchmark::State &state) {
  const auto upstreams =
      makeUpstreams(static_cast<std::size_t>(state.range(0)));
  std::mt19937_64 random(1);
  const std::string prompt(400, 'p');
  SelectionCriteria request;
  request.model = "writer";
  request.prompt = prompt;
  request.dataCentre = "dc-1";
  for (auto _ : state)
    benchmark::DoNotOptimize(chooseUpstream(upstreams, request, Now, &random));
}
BENCHMARK(chooseWithPrefix)->Arg(5)->Arg(60)->Arg(600);

void admit(benchmark::State &state) {
  PoolLimiter::Options options;
  options.initialLimit = 64;
  PoolLimiter limiter(options);
  const auto organisations = static_cast<std::size_t>(state.range(0));
  std::vector<SlotRequest> requests(organisations);
  for (std::size_t i = 0; i < organisations; ++i)
    requests[i].organisation = fmt::format("organisation-{}", i);
  std::vector<SlotRequest> granted;
  std::size_t next = 0;
  for (auto _ : state) {
    limiter.acquire(requests[next]);
    granted.clear();
    limiter.release(requests[next].organisation, &granted);
    next = next + 1 == organisations ? 0 : next + 1;
  }
}
BENCHMARK(admit)->Arg(5)->Arg(300)->Arg(16000);

void admitBehindQueue(benchmark::State &state) {
  PoolLimiter::Options options;
  options.initialLimit = 8;
  PoolLimiter limiter(options);
  std::deque<std::size_t> running;
  std::vector<SlotRequest> requests(static_cast<std::size_t>(state.range(0)) +
                                    8);
  for (std::size_t i = 0; i < requests.size(); ++i) {
    requests[i].request = i;
    requests[i].organisation = fmt::format("organisation-{}", i % 50);
    if (limiter.acquire(requests[i]) == SlotResult::Granted)
      running.push_back(i);
  }
  std::vector<SlotRequest> granted;
  std::size_t next = 0;
  for (auto _ : state) {
    granted.clear();
    limiter.release(requests[running.front()].organisation, &granted);
    running.pop_front();
    for (const SlotRequest &slot : granted)
      running.push_back(slot.request);
    limiter.acquire(requests[next]);
    next = next + 1 == requests.size() ? 0 : next + 1;
    benchmark::DoNotOptimize(
        limiter.expectedWait(requests[next].organisation, 1));
  }
}
BENCHMARK(admitBehindQueue)->Arg(1)->Arg(30)->Arg(240);

// One single-stage request through the host: arrival, dispatch, response.
void wholeRequest(benchmark::State &state) {
  EntryHost::Options options;
  options.host = "entry-1";
  EntryHost host(options);
  Instant now{Now, WallTime(1000)};
  ConfigurationBundle bundle;
  const std::string text =
      R"({"name":"r","owner":"o","deadline_ms":2000,"repeat":"always",)"
      R"("stages":[{"kind":"encode","pool":"p","expected_ms":5}]})";
  bundle.head.generation = 1;
  bundle.head.fileDigests["r"] = digestHex(text);
  bundle.fileContents[digestHex(text)] = text;
  host.handle(PeerMessageReceived{"entry-2", BundleReply{bundle}}, now);
  HostList list;
  list.version = 1;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    ListedUpstream upstream;
    upstream.name = fmt::format("p-{}", i);
    upstream.pool = "p";
    upstream.slots = 8;
    list.upstreams.push_back(upstream);
  }
  host.handle(HostListRead{list}, now);
  RequestId request = 0;
  for (auto _ : state) {
    now.steady += Duration(100);
    RequestArrived arrived;
    arrived.request = ++request;
    arrived.organisation = "o";
    arrived.route = "r";
    arrived.body = "body";
    Actions actions = host.handle(arrived, now);
    const auto &start = std::get<StartAttempt>(actions.front());
    now.steady += Duration(5000);
    actions =
        host.handle(AttemptSucceeded{start.attempt, "text", Usage()}, now);
    benchmark::DoNotOptimize(actions);
  }
}
BENCHMARK(wholeRequest)->Arg(5)->Arg(60)->Arg(600);

} // namespace

BENCHMARK_MAIN();
