#include "auburnspring/decision/piece_batcher.h"

#include <catch2/catch.hpp>

using namespace auburnspring;

// Guards against a slowdown ratio that is no number, which bars an upstream for
// good.
TEST_CASE("an upstream is usable again after calls without known limits") {
  std::vector<UpstreamStatePtr> states{std::make_shared<UpstreamState>()};
  states[0]->entry.id = "s1";
  states[0]->entry.pool = "stock";
  PieceBatcher batcher("stock");
  TimePoint now = TimePoint() + std::chrono::seconds(100);
  batcher.setUpstreams(states);
  const auto submit = [&](const std::string &id) {
    StageJob job;
    job.host = "h";
    job.requestId = id;
    job.pool = "stock";
    job.pieces = 1;
    job.targetTime = now + std::chrono::seconds(5);
    job.deadline = now + std::chrono::seconds(9);
    batcher.submit(job, now);
  };
  submit("a");
  std::vector<PieceBatch> batches = batcher.dispatch(now);
  REQUIRE(batches.size() == 1);
  now += std::chrono::milliseconds(240);
  PieceResult result;
  result.kind = PieceResult::Kind::Result;
  result.handle = "x/1";
  batcher.onBatchEnd(batches[0].number, BatchStatus::Responded, {result}, now);
  BatchLimits limits;
  limits.callTime = std::chrono::milliseconds(240);
  limits.batch = 10;
  batcher.setLimits(limits);
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    submit("b" + std::to_string(i));
    now += std::chrono::milliseconds(300);
    for (const PieceBatch &batch : batcher.dispatch(now)) {
      ++sent;
      const std::vector<PieceResult> results(batch.items.size(), result);
      now += std::chrono::milliseconds(240);
      batcher.onBatchEnd(batch.number, BatchStatus::Responded, results, now);
    }
  }
  CHECK(sent >= 9);
}
