#include "auburnspring/decision/piece_batcher.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

using namespace auburnspring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A pool on a virtual clock whose upstreams crash under the pieces of one
/// request, and are back at once.
struct Pool {
  PieceBatcher batcher{"stock"};
  std::vector<UpstreamStatePtr> upstreams;
  TimePoint now = TimePoint() + seconds(100);
  std::set<std::string> doneIds;
  std::set<std::string> failedIds;
  int crashes = 0;
  /// Most pieces of sound jobs in a batch that crashed, by crash.
  std::vector<std::size_t> company;

  Pool() {
    BatchLimits limits;
    limits.slots = 1;
    limits.batch = 18;
    limits.callTime = milliseconds(20);
    limits.itemTime = milliseconds(1);
    batcher.setLimits(limits);
    for (int i = 0; i < 5; ++i) {
      upstreams.push_back(std::make_shared<UpstreamState>());
      upstreams.back()->entry.id = "s" + std::to_string(i);
    }
    batcher.setUpstreams(upstreams);
  }

  void submit(const std::string &id, std::uint32_t pieces, bool isSuspected) {
    StageJob job;
    job.host = "h";
    job.requestId = id;
    job.name = "request-" + id + ".0";
    job.isSuspected = isSuspected;
    job.pieces = pieces;
    job.targetTime = now + seconds(20);
    job.deadline = now + seconds(30);
    batcher.submit(job, now);
  }

  void end(const PieceBatch &batch) {
    const auto bad = static_cast<std::size_t>(std::count_if(
        batch.items.begin(), batch.items.end(), [](const BatchItem &item) {
          return item.requestId.rfind("bad", 0) == 0;
        }));
    if (bad > 0) {
      ++crashes;
      company.push_back(batch.items.size() - bad);
      batcher.onBatchEnd(batch.number, BatchStatus::Broken, {}, now);
      return;
    }
    std::vector<PieceResult> results(batch.items.size());
    for (std::size_t i = 0; i < results.size(); ++i)
      results[i] = {PieceResult::Kind::Result,
                    batch.items[i].requestId + "/" + std::to_string(i)};
    batcher.onBatchEnd(batch.number, BatchStatus::Responded, results, now);
  }

  void runFor(Duration span) {
    std::vector<std::pair<TimePoint, PieceBatch>> running;
    for (const TimePoint until = now + span; now < until;
         now += milliseconds(2)) {
      for (PieceBatch &batch : batcher.dispatch(now))
        running.emplace_back(now + milliseconds(30), std::move(batch));
      const auto due = std::partition(
          running.begin(), running.end(),
          [this](const auto &entry) { return entry.first > now; });
      std::vector<std::pair<TimePoint, PieceBatch>> ended(
          std::make_move_iterator(due), std::make_move_iterator(running.end()));
      running.erase(due, running.end());
      for (const auto &entry : ended)
        end(entry.second);
      for (const JobOutcome &outcome : batcher.takeOutcomes())
        (outcome.status == JobStatus::Done ? doneIds : failedIds)
            .insert(outcome.requestId);
    }
  }
};

} // namespace

// Guards against blaming a batch for one of its pieces: the others are served
// while the pieces of one job end three upstreams at most.
TEST_CASE("the jobs beside one that crashes upstreams are served") {
  Pool pool;
  pool.submit("bad", 4, false);
  for (int i = 0; i < 12; ++i)
    pool.submit("sound" + std::to_string(i), 1 + i % 5, false);
  pool.runFor(seconds(8));
  CHECK(pool.doneIds.size() == 12);
  CHECK(pool.failedIds == std::set<std::string>{"bad"});
  CHECK(pool.crashes == 3);
  REQUIRE(pool.company.size() == 3);
  CHECK(pool.company[1] <= 18 / 4);
  CHECK(pool.company[2] <= 1);
}

TEST_CASE("a job that is suspected shares no batch") {
  Pool pool;
  pool.submit("bad", 4, true);
  for (int i = 0; i < 6; ++i)
    pool.submit("sound" + std::to_string(i), 2, false);
  pool.runFor(seconds(8));
  CHECK(pool.doneIds.size() == 6);
  for (const std::size_t company : pool.company)
    CHECK(company == 0);
}

TEST_CASE("every sound job ends beside jobs that crash upstreams",
          "[property]") {
  CHECK(rc::check([] {
    Pool pool;
    const int bad = *rc::gen::inRange(0, 3);
    const int sound = *rc::gen::inRange(1, 20);
    for (int i = 0; i < bad; ++i)
      pool.submit("bad" + std::to_string(i), *rc::gen::inRange(1U, 12U), false);
    for (int i = 0; i < sound; ++i)
      pool.submit("sound" + std::to_string(i), *rc::gen::inRange(1U, 12U),
                  false);
    pool.runFor(seconds(20));
    // A job may fail that shared the first batch with two that crash, or more.
    RC_ASSERT(pool.crashes <= 3 * bad);
    RC_ASSERT(pool.doneIds.size() + pool.failedIds.size() ==
              static_cast<std::size_t>(bad + sound));
    if (bad < 2)
      RC_ASSERT(pool.doneIds.size() == static_cast<std::size_t>(sound));
  }));
}
