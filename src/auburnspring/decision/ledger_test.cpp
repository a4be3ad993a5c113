#include "auburnspring/decision/ledger.h"

#include "auburnspring/base/digest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace auburnspring;

namespace {

const TimePoint Start{std::chrono::hours(1)};

// Answers a ledger's calls from memory, one by one.
class Service {
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
    const bool holds = revision == operation.expectedRevision;
    if (write && holds) {
      text = operation.value;
      revision = ++lastRevision;
    }
    reply.status = write && !holds ? KvStatus::Conflict : KvStatus::Ok;
    reply.value = text;
    reply.revision = revision;
    return reply;
  }

  std::map<std::string, std::pair<std::string, std::int64_t>> values;
  std::int64_t lastRevision = 0;
};

Ledger::Options small(const std::string &host) {
  Ledger::Options options;
  options.host = host;
  options.shards = 1;
  options.shard.recordDelay = Duration(0);
  options.shard.sealBytes = 400;
  return options;
}

// One ledger with its service, driven until nothing is left to do.
struct Bench {
  explicit Bench(Ledger::Options options, Service *kv)
      : ledger(std::move(options)), service(kv) {}

  Step step() const {
    Step made;
    made.now = {now, WallTime(1000)};
    return made;
  }

  // Carries out the calls of a step and those that follow from them.
  void perform(Step *first) {
    std::vector<Action> open = std::move(first->actions);
    take(*first);
    while (!open.empty()) {
      Step next = step();
      for (const Action &action : open)
        if (const auto *call = std::get_if<CallKeyValue>(&action))
          ledger.onReply(call->call, service->apply(call->operation), &next);
      take(next);
      open = std::move(next.actions);
    }
  }

  void take(const Step &from) {
    for (const Event &event : from.followUps)
      verdicts.push_back(std::get<ClaimDecided>(event));
  }

  ClaimDecided claim(RequestId request, const std::string &key,
                     const std::string &body = "b") {
    Step asked = step();
    ledger.claim({request, key, body, now + std::chrono::seconds(1), false},
                 &asked);
    perform(&asked);
    return verdicts.empty() ? ClaimDecided() : verdicts.back();
  }

  void record(const std::string &key, const std::string &nonce) {
    Step asked = step();
    ledger.record(key, nonce, "b", Outcome::Complete, "answer", &asked);
    perform(&asked);
  }

  void tickAfter(Duration span) {
    now += span;
    Step ticked = step();
    ledger.onTick(&ticked);
    perform(&ticked);
  }

  Ledger ledger;
  Service *service;
  TimePoint now = Start;
  std::vector<ClaimDecided> verdicts;
};

} // namespace

TEST_CASE("a key is granted once and relayed after, also from a sealed page") {
  Service service;
  Bench first(small("a"), &service);
  for (int i = 0; i < 20; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const ClaimDecided granted = first.claim(100 + i, key);
    REQUIRE(granted.verdict == ClaimVerdict::Granted);
    first.record(key, granted.nonce);
    first.tickAfter(std::chrono::milliseconds(200));
  }
  CHECK(first.ledger.counters().sealedPages > 2);
  // Another host knows nothing but what the service holds.
  Bench second(small("b"), &service);
  for (int i = 0; i < 20; ++i) {
    const ClaimDecided taken = second.claim(i, "key-" + std::to_string(i));
    REQUIRE(taken.verdict == ClaimVerdict::Taken);
    CHECK(taken.outcome == Outcome::Complete);
    CHECK(taken.answer == "answer");
  }
  CHECK(second.claim(50, "key-3", "other").verdict == ClaimVerdict::Mismatch);
}

TEST_CASE("a released key can be claimed again") {
  Service service;
  Bench bench(small("a"), &service);
  const ClaimDecided granted = bench.claim(1, "key");
  Step step = bench.step();
  bench.ledger.release("key", granted.nonce, &step);
  bench.perform(&step);
  CHECK(bench.claim(2, "key").verdict == ClaimVerdict::Granted);
}

TEST_CASE("a damaged page is never taken for an empty one") {
  Service service;
  service.values["auburnspring/ledger/0"] = {"not a page", 5};
  Bench bench(small("a"), &service);
  bench.claim(1, "key");
  CHECK(bench.verdicts.empty());
  bench.tickAfter(std::chrono::seconds(2));
  REQUIRE(bench.verdicts.size() == 1);
  CHECK(bench.verdicts.front().verdict == ClaimVerdict::Unavailable);
  CHECK(service.values["auburnspring/ledger/0"].first == "not a page");
}

TEST_CASE("a claim that a silent host may write later is refused by its mark") {
  Service service;
  Bench here(small("a"), &service);
  here.ledger.setHosts({{"b", Endpoint()}});
  Step step = here.step();
  here.ledger.claim({1, "key", "b", here.now + std::chrono::seconds(1), false},
                    &step);
  REQUIRE(step.actions.size() == 1);
  const auto forward =
      std::get<LedgerForward>(std::get<SendToPeer>(step.actions[0]).message);
  // The preferred host stays silent; the claim is made here.
  here.tickAfter(std::chrono::milliseconds(200));
  REQUIRE(here.verdicts.size() == 1);
  CHECK(here.verdicts.front().verdict == ClaimVerdict::Granted);
  Step released = here.step();
  here.ledger.setHosts({{"a", Endpoint()}});
  here.ledger.release("key", here.verdicts.front().nonce, &released);
  here.perform(&released);
  // The silent host thaws and handles the message only now.
  Bench late(small("b"), &service);
  Step thawed = late.step();
  late.ledger.onForward("a", Endpoint(), forward, &thawed);
  late.perform(&thawed);
  const auto page = decodePage(service.values["auburnspring/ledger/0"].first);
  REQUIRE(page.ok());
  CHECK(page->records.empty());
  CHECK(here.claim(2, "key").verdict == ClaimVerdict::Granted);
}

TEST_CASE(
    "an outcome is not dropped on the word of a page that is out of date") {
  Service service;
  // The preferred host knows the first claim of the key and nothing since.
  Bench preferred(small("p"), &service);
  const ClaimDecided old = preferred.claim(1, "key");
  Bench other(small("a"), &service);
  Step step = other.step();
  other.ledger.release("key", old.nonce, &step);
  other.perform(&step);
  const ClaimDecided granted = other.claim(2, "key");
  REQUIRE(granted.verdict == ClaimVerdict::Granted);
  preferred.now += std::chrono::seconds(1);
  preferred.record("key", granted.nonce);
  const auto page = decodePage(service.values["auburnspring/ledger/0"].first);
  REQUIRE(page.ok());
  CHECK(page->records.at("key").outcome == Outcome::Complete);
}

TEST_CASE("a retention ago is forgotten with its sealed pages") {
  Service service;
  Ledger::Options options = small("a");
  options.shard.retention = WallTime(10);
  Bench bench(options, &service);
  for (int i = 0; i < 12; ++i) {
    const std::string key = "key-" + std::to_string(i);
    bench.record(key, bench.claim(1 + i, key).nonce);
    bench.tickAfter(std::chrono::milliseconds(200));
  }
  const std::size_t before = service.values.size();
  Step step;
  step.now = {bench.now, WallTime(2000)};
  bench.ledger.claim(
      {99, "new", "b", bench.now + std::chrono::seconds(1), false}, &step);
  for (int i = 0; i < 30; ++i) {
    bench.perform(&step);
    bench.tickAfter(std::chrono::milliseconds(200));
  }
  CHECK(before > 2);
  CHECK(service.values.size() == 1);
}

TEST_CASE("a page survives encoding, whatever is in it") {
  rc::check("page", [](const std::map<std::string, std::string> &answers,
                       const std::vector<std::uint32_t> &times) {
    LedgerPage page;
    for (const auto &[key, answer] : answers) {
      LedgerRecord record;
      record.nonce = digestHex(key);
      record.outcome = Outcome::Complete;
      record.answer = digestHex(answer);
      record.answerKept = true;
      page.records[digestHex(key)] = record;
    }
    for (const std::uint32_t time : times) {
      page.sealed.push_back({std::to_string(time), WallTime(time)});
      page.withdrawn[std::to_string(time)] = WallTime(time);
    }
    const auto back = decodePage(encodePage(page));
    RC_ASSERT(back.ok());
    RC_ASSERT(encodePage(*back) == encodePage(page));
  });
}
