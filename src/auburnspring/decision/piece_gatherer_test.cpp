#include "auburnspring/decision/piece_gatherer.h"

#include <catch2/catch.hpp>

#include <set>

using namespace auburnspring;

namespace {

constexpr Duration Milli = std::chrono::milliseconds(1);

TimePoint at(std::int64_t millis) { return TimePoint() + Milli * millis; }

BatchLimits limits() {
  BatchLimits limits;
  limits.slots = 1;
  limits.queue = 2;
  limits.batch = 18;
  limits.callTime = 240 * Milli;
  limits.itemTime = 11 * Milli;
  limits.roomBytes = 22000000;
  limits.resultLife = 4000 * Milli;
  return limits;
}

std::vector<ServedUpstreamPtr> upstreams(int count) {
  std::vector<ServedUpstreamPtr> list;
  for (int i = 0; i < count; ++i) {
    auto upstream = std::make_shared<ServedUpstream>();
    upstream->entry.id = "u" + std::to_string(i);
    list.push_back(upstream);
  }
  return list;
}

PieceJob job(const std::string &id, std::uint32_t pieces,
             std::int64_t goalMillis = 2000, double density = 1) {
  PieceJob job;
  job.host = "h";
  job.requestId = id;
  job.pool = "stock";
  job.pieces = pieces;
  job.key = "key";
  job.goalAt = at(goalMillis);
  job.deadline = at(12000);
  job.density = density;
  return job;
}

std::vector<PieceResult> done(const PieceBatch &batch) {
  std::vector<PieceResult> results;
  for (const BatchItem &item : batch.items)
    results.push_back({PieceResult::Kind::Result,
                       item.requestId + "." + std::to_string(item.piece)});
  return results;
}

PieceGatherer gatherer(int workers) {
  PieceGatherer gatherer("stock");
  gatherer.setLimits(limits());
  gatherer.setUpstreams(upstreams(workers));
  return gatherer;
}

PieceJob chainedJob(const std::string &id, std::uint32_t pieces) {
  PieceJob chained = job(id, pieces, 9000);
  chained.inputs = {id + ".x", id + ".y"};
  chained.ownsInputs = true;
  return chained;
}

/// Every upstream has answered a call, so that no other host's calls wait
/// there.
PieceGatherer knownGatherer(int workers) {
  PieceGatherer pool = gatherer(workers);
  std::vector<PieceBatch> sent;
  for (int i = 0; i < workers; ++i) {
    pool.submit(job("first" + std::to_string(i), 15), at(200 + 250 * i));
    for (PieceBatch &batch : pool.dispatch(at(200 + 250 * i)))
      sent.push_back(std::move(batch));
  }
  for (std::size_t i = 0; i < sent.size(); ++i)
    pool.onBatchEnd(sent[i].number, BatchEnd::Answered, done(sent[i]),
                    at(605 + 250 * static_cast<std::int64_t>(i)));
  pool.takeOutcomes();
  return pool;
}

} // namespace

TEST_CASE("a lone job leaves at once and comes back whole") {
  PieceGatherer pool = gatherer(5);
  pool.submit(job("r", 3), at(1000));
  auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 3);
  CHECK(batches[0].items[0].key == "key");
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(1273));
  const auto outcomes = pool.takeOutcomes();
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].verdict == PieceVerdict::Done);
  CHECK(outcomes[0].results == std::vector<std::string>{"r.0", "r.1", "r.2"});
}

TEST_CASE("steady arrivals: calls are spread over the upstreams' cycle") {
  PieceGatherer pool = gatherer(5);
  std::vector<std::int64_t> sentAt;
  for (std::int64_t now = 1000; now < 1200; now += 5) {
    pool.submit(job("r" + std::to_string(now), 1), at(now));
    for (std::size_t i = 0; i < pool.dispatch(at(now)).size(); ++i)
      sentAt.push_back(now);
  }
  REQUIRE(sentAt.size() >= 3);
  CHECK(sentAt.size() <= 5);
  for (std::size_t i = 1; i < sentAt.size(); ++i)
    CHECK(sentAt[i] - sentAt[i - 1] >= 45);
}

TEST_CASE("a full batch does not wait for its turn") {
  PieceGatherer pool = gatherer(2);
  for (int i = 0; i < 12; ++i)
    pool.submit(job("r" + std::to_string(i), 3), at(1000));
  const auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 2);
  CHECK(batches[0].items.size() == 18);
  CHECK(batches[1].items.size() == 18);
  CHECK(batches[0].upstream != batches[1].upstream);
}

TEST_CASE("no call waits at an upstream: one each at a time") {
  PieceGatherer pool = gatherer(1);
  pool.submit(job("a", 18), at(1000));
  REQUIRE(pool.dispatch(at(1000)).size() == 1);
  pool.submit(job("b", 18), at(1100));
  CHECK(pool.dispatch(at(1100)).empty());
}

TEST_CASE("overload: dear work in time goes first, a share to the oldest") {
  PieceGatherer pool = gatherer(1);
  for (int i = 0; i < 10; ++i) {
    pool.submit(job("cheap" + std::to_string(i), 3, 4000, 1), at(900));
    pool.submit(job("late" + std::to_string(i), 3, 1000, 50), at(990));
    pool.submit(job("dear" + std::to_string(i), 3, 5000, 10), at(1000));
  }
  const auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  std::map<std::string, int> taken;
  for (const BatchItem &item : batches[0].items)
    ++taken[item.requestId.substr(0, item.requestId.size() - 1)];
  CHECK(taken["dear"] == 15);
  CHECK(taken["cheap"] == 3);
}

TEST_CASE("results fill an upstream's room until they are released") {
  PieceGatherer pool = gatherer(1);
  PieceJob big = job("a", 18);
  big.resultBytes = 2000000;
  pool.submit(big, at(1000));
  auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 10);
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(1350));
  CHECK(pool.dispatch(at(1350)).empty());
  std::vector<std::string> held;
  for (int i = 8; i < 18; ++i)
    held.push_back("a." + std::to_string(i));
  pool.release(held);
  batches = pool.dispatch(at(1700));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 8);
}

TEST_CASE("a slow upstream's pieces go elsewhere, the first result counts") {
  PieceGatherer pool = gatherer(2);
  pool.submit(job("r", 2), at(1000));
  const auto first = pool.dispatch(at(1000));
  REQUIRE(first.size() == 1);
  CHECK(pool.dispatch(at(1400)).empty());
  const auto second = pool.dispatch(at(1600));
  REQUIRE(second.size() == 1);
  CHECK(second[0].upstream != first[0].upstream);
  pool.onBatchEnd(second[0].number, BatchEnd::Answered, done(second[0]),
                  at(1862));
  REQUIRE(pool.takeOutcomes().size() == 1);
  pool.onBatchEnd(first[0].number, BatchEnd::Answered, done(first[0]),
                  at(2200));
  CHECK(pool.takeOutcomes().empty());
  CHECK(pool.takeOrphans().size() == 2);
}

TEST_CASE("an upstream that has been slow is tried with a single piece") {
  PieceGatherer pool = gatherer(1);
  pool.submit(job("a", 1), at(1000));
  auto batches = pool.dispatch(at(1000));
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(2500));
  pool.takeOutcomes();
  pool.submit(job("b", 18, 9000), at(2500));
  batches = pool.dispatch(at(2500));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 1);
}

TEST_CASE("refused and broken calls lose no piece") {
  PieceGatherer pool = gatherer(2);
  pool.submit(job("r", 4, 5000), at(1000));
  auto batches = pool.dispatch(at(1000));
  pool.onBatchEnd(batches[0].number, BatchEnd::NotRun, {}, at(1002));
  batches = pool.dispatch(at(1300));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 4);
  pool.onBatchEnd(batches[0].number, BatchEnd::Broken, {}, at(1310));
  batches = pool.dispatch(at(2300));
  REQUIRE(batches.size() == 1);
  std::set<std::uint32_t> pieces;
  for (const BatchItem &item : batches[0].items)
    pieces.insert(item.piece);
  CHECK(pieces == std::set<std::uint32_t>{0, 1, 2, 3});
}

TEST_CASE("what can't be done in time is told at once") {
  PieceGatherer pool = gatherer(1);
  PieceJob hopeless = job("r", 1);
  hopeless.deadline = at(1200);
  pool.submit(hopeless, at(1000));
  CHECK(pool.dispatch(at(1000)).empty());
  const auto outcomes = pool.takeOutcomes();
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].verdict == PieceVerdict::Hopeless);
}

TEST_CASE("a job handed over twice runs once, a withdrawn one not at all") {
  PieceGatherer pool = gatherer(5);
  pool.submit(job("r", 2), at(1000));
  pool.submit(job("r", 2), at(1000));
  const auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 2);
  pool.withdraw("h", "r");
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(1270));
  CHECK(pool.takeOutcomes().empty());
  CHECK(pool.takeOrphans().size() == 2);
  pool.submit(job("s", 1), at(1300));
  pool.withdraw("h", "s");
  CHECK(pool.dispatch(at(1300)).empty());
}

TEST_CASE("inputs that are gone end the job") {
  PieceGatherer pool = gatherer(1);
  pool.submit(job("r", 2), at(1000));
  const auto batches = pool.dispatch(at(1000));
  pool.onBatchEnd(
      batches[0].number, BatchEnd::Answered,
      {{PieceResult::Kind::Result, "x"}, {PieceResult::Kind::InputsGone, ""}},
      at(1270));
  const auto outcomes = pool.takeOutcomes();
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].verdict == PieceVerdict::InputsGone);
  CHECK(pool.takeOrphans() == std::vector<std::string>{"x"});
}

TEST_CASE("overload: jobs go whole, and a begun one goes before a new one") {
  PieceGatherer pool = gatherer(1);
  pool.submit(job("a", 7), at(1000));
  pool.submit(job("b", 7), at(1000));
  pool.submit(job("c", 7), at(1000));
  auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 14);
  std::vector<PieceResult> results = done(batches[0]);
  results[0] = {PieceResult::Kind::Error, ""};
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, results, at(1394));
  pool.submit(job("d", 18), at(1394));
  batches = pool.dispatch(at(1394));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items[0].requestId == "a");
}

TEST_CASE("overload: a job that stays late is told soon, with the backlog") {
  PieceGatherer pool = gatherer(1);
  for (int i = 0; i < 40; ++i)
    pool.submit(job("r" + std::to_string(i), 18, 1500), at(1000));
  REQUIRE(pool.dispatch(at(1000)).size() == 1);
  CHECK(pool.takeOutcomes().empty());
  pool.dispatch(at(2000));
  const auto outcomes = pool.takeOutcomes();
  CHECK(outcomes.size() == 39);
  CHECK(outcomes[0].verdict == PieceVerdict::Hopeless);
  CHECK(outcomes[0].backlog > 10000 * Milli);
}

TEST_CASE("a piece that found no room waits again and sets nobody aside") {
  PieceGatherer pool = gatherer(1);
  pool.submit(job("r", 3, 5000), at(1000));
  auto batches = pool.dispatch(at(1000));
  std::vector<PieceResult> results = done(batches[0]);
  results[1] = {PieceResult::Kind::NoRoom, ""};
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, results, at(1273));
  batches = pool.dispatch(at(1273));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].items.size() == 1);
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(1524));
  REQUIRE(pool.takeOutcomes().size() == 1);
}

TEST_CASE("a host that stops hands over what no call works on") {
  PieceGatherer old = gatherer(2);
  old.submit(job("a", 2), at(1000));
  REQUIRE(old.dispatch(at(1000)).size() == 1);
  old.submit(job("b", 2), at(1010));
  const auto idle = old.takeIdleJobs();
  REQUIRE(idle.size() == 1);
  CHECK(idle[0].requestId == "b");
  PieceGatherer next = gatherer(2);
  next.adopt(old.upstreamStates(at(1010)), at(1012));
  next.submit(idle[0], at(1012));
  const auto batches = next.dispatch(at(1012));
  REQUIRE(batches.size() == 1);
  // The other upstream is busy with the old host's call.
  CHECK(batches[0].upstream->entry.id == "u1");
  next.submit(job("c", 18), at(1013));
  CHECK(next.dispatch(at(1020)).empty());
}

TEST_CASE("inputs are freed once fetched, so that their makers have room") {
  PieceGatherer pool = knownGatherer(2);
  pool.submit(chainedJob("r", 2), at(1000));
  const auto batches = pool.dispatch(at(1000));
  CHECK(pool.takeFetchedInputs(at(1040)).empty());
  CHECK(pool.takeFetchedInputs(at(1060)) ==
        std::vector<std::string>{"r.x", "r.y"});
  CHECK(pool.takeFetchedInputs(at(1200)).empty());
  // A slow call's pieces can't go elsewhere any more.
  CHECK(pool.dispatch(at(1800)).empty());
  pool.onBatchEnd(batches[0].number, BatchEnd::Broken, {}, at(1900));
  const auto outcomes = pool.takeOutcomes();
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].verdict == PieceVerdict::InputsGone);
}

TEST_CASE("two hosts gather at once: inputs are kept where a call may wait") {
  // After a change of hosts calls of both meet in the upstreams' own queues,
  // and a call that waits there has not fetched its inputs yet.
  PieceGatherer pool = gatherer(1);
  pool.submit(chainedJob("unknown", 2), at(1000));
  auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  CHECK(pool.takeFetchedInputs(at(1200)).empty());
  // It took as long as two calls.
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(1500));
  pool.submit(chainedJob("delayed", 2), at(2000));
  batches = pool.dispatch(at(2000));
  CHECK(pool.takeFetchedInputs(at(2200)).empty());
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered,
                  {{PieceResult::Kind::InputsGone, ""},
                   {PieceResult::Kind::InputsGone, ""}},
                  at(2262));
  pool.submit(chainedJob("gone", 2), at(4000));
  batches = pool.dispatch(at(4000));
  CHECK(pool.takeFetchedInputs(at(4200)).empty());
  pool.onBatchEnd(batches[0].number, BatchEnd::Answered, done(batches[0]),
                  at(4262));
  pool.submit(chainedJob("calm", 2), at(5000));
  pool.dispatch(at(5000));
  CHECK(pool.takeFetchedInputs(at(5100)).size() == 2);
}

TEST_CASE("inputs that another stage needs are left alone") {
  PieceGatherer pool = gatherer(1);
  PieceJob chained = job("r", 2, 5000);
  chained.inputs = {"x"};
  pool.submit(chained, at(1000));
  pool.dispatch(at(1000));
  CHECK(pool.takeFetchedInputs(at(1300)).empty());
}

TEST_CASE("large results: a job waits a little for an upstream near them") {
  PieceGatherer pool("stock");
  pool.setLimits(limits());
  auto list = upstreams(2);
  list[0]->entry.dataCentre = "a";
  list[1]->entry.dataCentre = "b";
  pool.setUpstreams(list);
  PieceJob near = job("n", 2, 5000);
  near.nearDataCentre = "b";
  pool.submit(near, at(1000));
  auto batches = pool.dispatch(at(1000));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].upstream == list[1]);
  // While that one is busy the next waits, but not beyond its slack.
  near.requestId = "o";
  pool.submit(near, at(1100));
  CHECK(pool.dispatch(at(1200)).empty());
  batches = pool.dispatch(at(1400));
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].upstream == list[0]);
  PieceJob urgent = job("u", 2, 1800);
  urgent.nearDataCentre = "b";
  PieceGatherer other("stock");
  other.setLimits(limits());
  other.setUpstreams({list[0], list[1]});
  other.submit(job("x", 18, 9000), at(1000));
  other.submit(job("y", 18, 9000), at(1000));
  batches = other.dispatch(at(1000));
  REQUIRE(batches.size() == 2);
  const PieceBatch &atA =
      batches[0].upstream == list[0] ? batches[0] : batches[1];
  other.onBatchEnd(atA.number, BatchEnd::Answered, done(atA), at(1440));
  urgent.goalAt = at(1700);
  other.submit(urgent, at(1440));
  CHECK(other.dispatch(at(1500)).size() == 1);
}

TEST_CASE("large results: without an upstream near them a job goes anywhere") {
  PieceGatherer pool = gatherer(2);
  PieceJob near = job("n", 2, 5000);
  near.nearDataCentre = "elsewhere";
  pool.submit(near, at(1000));
  CHECK(pool.dispatch(at(1000)).size() == 1);
}

TEST_CASE("a long queue: each upstream takes the jobs that are near it") {
  PieceGatherer pool("fitter");
  pool.setLimits(limits());
  auto workers = upstreams(2);
  workers[0]->entry.dataCentre = "a";
  workers[1]->entry.dataCentre = "b";
  pool.setUpstreams(workers);
  for (int i = 0; i < 24; ++i) {
    PieceJob entry = job("r" + std::to_string(i), 3, 4000);
    entry.nearDataCentre = i < 12 ? "b" : "a";
    pool.submit(entry, at(1000));
  }
  // Each job has waited for as long as it may for an upstream near it.
  const auto batches = pool.dispatch(at(2500));
  REQUIRE(batches.size() == 2);
  for (const PieceBatch &batch : batches) {
    CHECK(batch.items.size() == 18);
    CHECK(batch.farPieces <= 3);
  }
}
