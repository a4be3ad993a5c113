#include "soak/promise_book.h"

#include <catch2/catch.hpp>

using namespace auburnspring;
using namespace auburnspring::soak;

namespace {

TimePoint at(std::int64_t millis) {
  return TimePoint(std::chrono::milliseconds(100000 + millis));
}

SentCall call(const std::string &id, CallKind kind, std::int64_t sentAt) {
  SentCall sent;
  sent.id = id;
  sent.kind = kind;
  sent.host = "h";
  sent.sentAt = at(sentAt);
  sent.deadline = at(sentAt + 2500);
  return sent;
}

CallAnswer answer(int status) {
  CallAnswer given;
  given.status = status;
  given.isWhole = status != 0;
  given.isOwnBody = given.isSigned = status == 200;
  return given;
}

std::string firstBreach(const PromiseBook &book) {
  return book.breaches().empty()
             ? ""
             : book.breaches()[0].substr(0, book.breaches()[0].find(':'));
}

} // namespace

TEST_CASE("a once-only request that runs twice breaks a promise") {
  for (const CallKind kind : {CallKind::Once, CallKind::Repeatable}) {
    PromiseBook book{PromiseBounds()};
    book.onSent(call("a", kind, 0));
    book.onRun("a", "jobs", at(1));
    book.onRun("a", "jobs", at(2));
    CHECK(firstBreach(book) == (kind == CallKind::Once ? "TWICE" : ""));
  }
}

TEST_CASE("a refusal as not run is held against runs before and after it") {
  PromiseBook book{PromiseBounds()};
  book.onSent(call("a", CallKind::Once, 0));
  book.onAnswer("a", answer(503), at(5));
  CHECK(book.breaches().empty());
  book.onRun("a", "jobs", at(10));
  CHECK(firstBreach(book) == "REFUSED");
}

TEST_CASE("a success must be the worker's whole answer to this request") {
  PromiseBook book{PromiseBounds()};
  book.onSent(call("a", CallKind::Once, 0));
  CallAnswer other = answer(200);
  other.isOwnBody = false;
  book.onAnswer("a", other, at(5));
  CHECK(firstBreach(book) == "MIXED");
}

TEST_CASE("a planned stop cuts nothing that was taken, a kill may") {
  for (const bool isKilled : {false, true}) {
    PromiseBook book{PromiseBounds()};
    if (isKilled)
      book.calm().disturb("h", at(50));
    book.onStopAsked("h", at(0));
    book.onSent(call("a", CallKind::Once, 10));
    book.onRun("a", "jobs", at(20));
    book.onAnswer("a", answer(0), at(60));
    CHECK(firstBreach(book) == (isKilled ? "" : "LOST"));
  }
}

TEST_CASE("a request that crosses the close of its connection is not lost") {
  PromiseBook book{PromiseBounds()};
  book.onStopAsked("h", at(0));
  book.onSent(call("a", CallKind::Once, 10));
  book.onAnswer("a", answer(0), at(30));
  CHECK(book.breaches().empty());
}

TEST_CASE("a configuration must be in force in time and stay so") {
  PromiseBook book{PromiseBounds()};
  SentCall early = call("early", CallKind::Repeatable, 1000);
  early.version = 3;
  SentCall late = early;
  late.id = "late";
  late.sentAt = at(2100);
  book.onConfiguration(3, at(0));
  book.onSent(early);
  book.onAnswer("early", answer(404), at(1010));
  CHECK(book.breaches().empty());
  book.onSent(late);
  book.onAnswer("late", answer(404), at(2110));
  CHECK(firstBreach(book) == "CONFIG");
}

TEST_CASE("a host that has served a version does not go back") {
  PromiseBook book{PromiseBounds()};
  book.onConfiguration(3, at(0));
  book.onConfiguration(4, at(100));
  SentCall newer = call("newer", CallKind::Repeatable, 200);
  newer.version = 4;
  SentCall older = call("older", CallKind::Repeatable, 600);
  older.version = 3;
  book.onSent(newer);
  book.onRun("newer", "jobs", at(210));
  book.onSent(older);
  book.onRun("older", "jobs", at(610));
  CHECK(firstBreach(book) == "CONFIG");
}

TEST_CASE("bounds of time hold for hosts in touch only") {
  PromiseBook book{PromiseBounds()};
  book.calm().disturb("store", at(0));
  book.calm().settle("store", at(500));
  book.onWorkerLeaves("w", at(100));
  book.onSent(call("soon", CallKind::Once, 2500));
  book.onArrival("soon", "jobs", "w", at(2510));
  CHECK(book.breaches().empty());
  book.onWorkerLeaves("v", at(3600));
  book.onSent(call("late", CallKind::Once, 5700));
  book.onArrival("late", "jobs", "v", at(5710));
  CHECK(firstBreach(book) == "DRAIN");
}

TEST_CASE("repeats beyond the shared budget break a promise") {
  PromiseBounds bounds;
  bounds.retrySlack = 2;
  PromiseBook book{bounds};
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    book.onSent(call(id, CallKind::Repeatable, i));
    book.onArrival(id, "jobs", "w", at(i));
    book.onArrival(id, "jobs", "v", at(i));
    book.onAnswer(id, answer(200), at(i + 1));
  }
  book.close(at(0));
  CHECK(firstBreach(book) == "BUDGET");
}
