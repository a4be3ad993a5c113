#include "auburnspring/decision/attempt_verdict.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace auburnspring;

namespace {

using Verdict = AttemptVerdict;
using End = ResponseEnd;
using Content = ContentEnd;

AttemptEvidence received(End end, Content content, int status = 200) {
  AttemptEvidence evidence;
  evidence.end = end;
  evidence.content = content;
  evidence.status = status;
  evidence.isGenuine = true;
  return evidence;
}

AttemptEvidence anyEvidence() {
  AttemptEvidence evidence;
  evidence.end = *rc::gen::element(End::NotSent, End::Lost, End::TimedOut,
                                   End::Closed, End::Framed);
  evidence.content = *rc::gen::element(
      Content::Opaque, Content::AtBoundary, Content::InsideEvent,
      Content::NoEvent, Content::NoFurtherEvent, Content::Malformed);
  evidence.status = *rc::gen::element(0, 200, 204, 400, 409, 421, 500, 503);
  evidence.isNotRun = *rc::gen::arbitrary<bool>();
  evidence.isGenuine = *rc::gen::arbitrary<bool>();
  evidence.needsOk = *rc::gen::arbitrary<bool>();
  return evidence;
}

} // namespace

// Guards against BUDGET and MIXED: an end that the transport calls complete is
// taken for one although the content contradicts it.
TEST_CASE("verdict: what framing and content show together") {
  struct Row {
    Content content;
    Verdict closed;
    Verdict framed;
  };
  const std::vector<Row> rows = {
      {Content::Opaque, Verdict::Answered, Verdict::Answered},
      {Content::AtBoundary, Verdict::Answered, Verdict::Answered},
      {Content::InsideEvent, Verdict::Broken, Verdict::Broken},
      {Content::NoEvent, Verdict::Broken, Verdict::Unusable},
      {Content::NoFurtherEvent, Verdict::Broken, Verdict::Answered},
      {Content::Malformed, Verdict::Broken, Verdict::Unusable}};
  for (const Row &row : rows) {
    INFO(static_cast<int>(row.content));
    CHECK(judgeAttempt(received(End::Closed, row.content)) == row.closed);
    CHECK(judgeAttempt(received(End::Framed, row.content)) == row.framed);
    CHECK(judgeAttempt(received(End::Lost, row.content)) == Verdict::Broken);
    CHECK(judgeAttempt(received(End::TimedOut, row.content)) ==
          Verdict::TimedOut);
  }
}

TEST_CASE("verdict: what the head shows") {
  CHECK(judgeAttempt({}) == Verdict::NotSent);
  CHECK(judgeAttempt(received(End::Framed, Content::Opaque, 500)) ==
        Verdict::ServerError);
  CHECK(judgeAttempt(received(End::Framed, Content::Opaque, 404)) ==
        Verdict::Answered);
  AttemptEvidence evidence = received(End::Framed, Content::Opaque, 404);
  evidence.needsOk = true;
  CHECK(judgeAttempt(evidence) == Verdict::Unusable);
  evidence = received(End::Framed, Content::Opaque);
  evidence.isGenuine = false;
  CHECK(judgeAttempt(evidence) == Verdict::Unusable);
  // The statement is in the head, whatever becomes of the body.
  evidence = received(End::Lost, Content::Opaque, 503);
  evidence.isNotRun = true;
  CHECK(judgeAttempt(evidence) == Verdict::NotRun);
}

TEST_CASE("verdict: an attempt that was sent may have run unless its upstream "
          "says otherwise") {
  CHECK(rc::check([] {
    const AttemptEvidence evidence = anyEvidence();
    const Verdict verdict = judgeAttempt(evidence);
    const bool saysNotRun = evidence.status != 0 && evidence.isNotRun;
    const bool isUnsent = evidence.end == End::NotSent && evidence.status == 0;
    RC_ASSERT(mayHaveRun(verdict) == !(saysNotRun || isUnsent));
  }));
}

TEST_CASE("verdict: only what is complete and genuine is answered") {
  CHECK(rc::check([] {
    const AttemptEvidence evidence = anyEvidence();
    if (judgeAttempt(evidence) != Verdict::Answered)
      return;
    RC_ASSERT(evidence.end == End::Closed || evidence.end == End::Framed);
    RC_ASSERT(evidence.content != Content::InsideEvent);
    RC_ASSERT(evidence.isGenuine && !(evidence.isNotRun && evidence.status));
    RC_ASSERT(evidence.status < 500);
    RC_ASSERT(!evidence.needsOk || evidence.status == 200);
  }));
}

TEST_CASE("verdict: a permit is held until its upstream notices a lost call") {
  CHECK(permitEnd(Verdict::Broken, false) == PermitEnd::Cancelled);
  CHECK(permitEnd(Verdict::NotSent, false) == PermitEnd::Cancelled);
  CHECK(permitEnd(std::nullopt, false) == PermitEnd::Cancelled);
  CHECK(permitEnd(Verdict::Answered, false) == PermitEnd::Done);
  CHECK(permitEnd(Verdict::ServerError, false) == PermitEnd::Done);
  CHECK(permitEnd(Verdict::NotRun, false) == PermitEnd::Done);
  CHECK(permitEnd(Verdict::NotRun, true) == PermitEnd::Rejected);
}
