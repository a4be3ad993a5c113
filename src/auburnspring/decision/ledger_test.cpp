#include "auburnspring/decision/ledger.h"

#include "auburnspring/base/digest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace auburnspring;

namespace {

const TimePoint Start{std::chrono::hours(1)};

// In-memory key-value service.
class FakeService {
public:
  KvReply apply(const KvOperation &operation) {
    auto &[text, revision] = values[operation.key];
    KvReply reply;
    if (operation.verb == KvVerb::Delete) {
      values.erase(operation.key);
      reply.status = KvStatus::Ok;
      return reply;
    }
    const bool write = operation.verb == KvVerb::PutIf;
    const bool revisionMatches = revision == operation.expectedRevision;
    if (write && revisionMatches) {
      text = operation.value;
      revision = ++lastRevision;
    }
    reply.status =
        write && !revisionMatches ? KvStatus::Conflict : KvStatus::Ok;
    reply.value = text;
    reply.revision = revision;
    return reply;
  }

  std::map<std::string, std::pair<std::string, std::int64_t>> values;
  std::int64_t lastRevision = 0;
};

Ledger::Options smallOptions(const std::string &host) {
  Ledger::Options options;
  options.host = host;
  options.shards = 1;
  options.shard.recordDelay = Duration(0);
  options.shard.sealBytes = 400;
  return options;
}

// Runs one ledger against a service until no call is left.
struct Harness {
  explicit Harness(Ledger::Options options, FakeService *kv)
      : ledger(std::move(options)), service(kv) {}

  Step step() const {
    Step result;
    result.now = {now, WallTime(1000)};
    return result;
  }

  // Executes the calls of a step and all calls that result from them.
  void runCalls(Step *first) {
    std::vector<Action> pending = std::move(first->actions);
    collect(*first);
    while (!pending.empty()) {
      Step next = step();
      for (const Action &action : pending)
        if (const auto *call = std::get_if<CallKeyValue>(&action))
          ledger.onReply(call->call, service->apply(call->operation), &next);
      collect(next);
      pending = std::move(next.actions);
    }
  }

  void collect(const Step &from) {
    for (const Event &event : from.followUpEvents)
      verdicts.push_back(std::get<ClaimDecided>(event));
  }

  ClaimDecided claim(RequestId request, const std::string &key,
                     const std::string &body = "b") {
    Step requested = step();
    ledger.claim({request, key, body, now + std::chrono::seconds(1), false},
                 &requested);
    runCalls(&requested);
    return verdicts.empty() ? ClaimDecided() : verdicts.back();
  }

  void record(const std::string &key, const std::string &nonce) {
    Step requested = step();
    ledger.record(key, nonce, "b", Outcome::Complete, "answer", &requested);
    runCalls(&requested);
  }

  void tickAfter(Duration span) {
    now += span;
    Step ticked = step();
    ledger.onTick(&ticked);
    runCalls(&ticked);
  }

  Ledger ledger;
  FakeService *service;
  TimePoint now = Start;
  std::vector<ClaimDecided> verdicts;
};

} // namespace

TEST_CASE(
    "a key is granted once and its response is relayed afterwards, also from a "
    "sealed page") {
  FakeService service;
  Harness first(smallOptions("a"), &service);
  for (int i = 0; i < 20; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const ClaimDecided granted = first.claim(100 + i, key);
    REQUIRE(granted.verdict == ClaimVerdict::Granted);
    first.record(key, granted.nonce);
    first.tickAfter(std::chrono::milliseconds(200));
  }
  CHECK(first.ledger.counters().sealedPages > 2);
  // The second host starts from the service's data alone.
  Harness second(smallOptions("b"), &service);
  for (int i = 0; i < 20; ++i) {
    const ClaimDecided taken = second.claim(i, "key-" + std::to_string(i));
    REQUIRE(taken.verdict == ClaimVerdict::Taken);
    CHECK(taken.outcome == Outcome::Complete);
    CHECK(taken.response == "answer");
  }
  CHECK(second.claim(50, "key-3", "other").verdict == ClaimVerdict::Mismatch);
}

TEST_CASE("a released key can be claimed again") {
  FakeService service;
  Harness harness(smallOptions("a"), &service);
  const ClaimDecided granted = harness.claim(1, "key");
  Step step = harness.step();
  harness.ledger.release("key", granted.nonce, &step);
  harness.runCalls(&step);
  CHECK(harness.claim(2, "key").verdict == ClaimVerdict::Granted);
}

TEST_CASE("a damaged page is never treated as empty or overwritten") {
  FakeService service;
  service.values["auburnspring/ledger/0"] = {"not a page", 5};
  Harness harness(smallOptions("a"), &service);
  harness.claim(1, "key");
  CHECK(harness.verdicts.empty());
  harness.tickAfter(std::chrono::seconds(2));
  REQUIRE(harness.verdicts.size() == 1);
  CHECK(harness.verdicts.front().verdict == ClaimVerdict::Unavailable);
  CHECK(service.values["auburnspring/ledger/0"].first == "not a page");
}

TEST_CASE("a tombstone rejects a claim that an unresponsive host writes late") {
  FakeService service;
  Harness local(smallOptions("a"), &service);
  local.ledger.setHosts({{"b", Endpoint()}});
  Step step = local.step();
  local.ledger.claim(
      {1, "key", "b", local.now + std::chrono::seconds(1), false}, &step);
  REQUIRE(step.actions.size() == 1);
  const auto forward =
      std::get<LedgerForward>(std::get<SendToPeer>(step.actions[0]).message);
  // The preferred host does not respond; the claim is retried locally.
  local.tickAfter(std::chrono::milliseconds(200));
  REQUIRE(local.verdicts.size() == 1);
  CHECK(local.verdicts.front().verdict == ClaimVerdict::Granted);
  Step released = local.step();
  local.ledger.setHosts({{"a", Endpoint()}});
  local.ledger.release("key", local.verdicts.front().nonce, &released);
  local.runCalls(&released);
  // The preferred host handles the forwarded claim only now.
  Harness late(smallOptions("b"), &service);
  Step lateStep = late.step();
  late.ledger.onForward("a", Endpoint(), forward, &lateStep);
  late.runCalls(&lateStep);
  const auto page = decodePage(service.values["auburnspring/ledger/0"].first);
  REQUIRE(page.ok());
  CHECK(page->records.empty());
  CHECK(local.claim(2, "key").verdict == ClaimVerdict::Granted);
}

TEST_CASE("an outcome is not dropped because of a stale head page") {
  FakeService service;
  // The preferred host has read the first claim of the key and nothing later.
  Harness preferred(smallOptions("p"), &service);
  const ClaimDecided old = preferred.claim(1, "key");
  Harness other(smallOptions("a"), &service);
  Step step = other.step();
  other.ledger.release("key", old.nonce, &step);
  other.runCalls(&step);
  const ClaimDecided granted = other.claim(2, "key");
  REQUIRE(granted.verdict == ClaimVerdict::Granted);
  preferred.now += std::chrono::seconds(1);
  preferred.record("key", granted.nonce);
  const auto page = decodePage(service.values["auburnspring/ledger/0"].first);
  REQUIRE(page.ok());
  CHECK(page->records.at("key").outcome == Outcome::Complete);
}

TEST_CASE(
    "records older than the retention are deleted with their sealed pages") {
  FakeService service;
  Ledger::Options options = smallOptions("a");
  options.shard.retention = WallTime(10);
  Harness harness(options, &service);
  for (int i = 0; i < 12; ++i) {
    const std::string key = "key-" + std::to_string(i);
    harness.record(key, harness.claim(1 + i, key).nonce);
    harness.tickAfter(std::chrono::milliseconds(200));
  }
  const std::size_t before = service.values.size();
  Step step;
  step.now = {harness.now, WallTime(2000)};
  harness.ledger.claim(
      {99, "new", "b", harness.now + std::chrono::seconds(1), false}, &step);
  for (int i = 0; i < 30; ++i) {
    harness.runCalls(&step);
    harness.tickAfter(std::chrono::milliseconds(200));
  }
  CHECK(before > 2);
  CHECK(service.values.size() == 1);
}

TEST_CASE("any page is unchanged by encoding and decoding") {
  CHECK(
      rc::check("page", [](const std::map<std::string, std::string> &responses,
                           const std::vector<std::uint32_t> &times) {
        LedgerPage page;
        for (const auto &[key, response] : responses) {
          LedgerRecord record;
          record.nonce = digestHex(key);
          record.outcome = Outcome::Complete;
          record.response = digestHex(response);
          record.responseStored = true;
          page.records[digestHex(key)] = record;
        }
        for (const std::uint32_t time : times) {
          page.sealed.push_back({std::to_string(time), WallTime(time)});
          page.tombstones[std::to_string(time)] = WallTime(time);
        }
        const auto decoded = decodePage(encodePage(page));
        RC_ASSERT(decoded.ok());
        RC_ASSERT(encodePage(*decoded) == encodePage(page));
      }));
}
