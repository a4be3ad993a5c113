// Store writes per request and added latency of claims at rising load, for
// three ways to claim a key: a write for each claim and outcome, shards written
// by any host that has a request, and shards written by one preferred host.
#include "auburnspring/decision/ledger.h"
#include "auburnspring/model/event_queue.h"
#include "auburnspring/model/fake_key_value.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>

namespace {

using namespace auburnspring;

constexpr Duration HopLatency = std::chrono::milliseconds(1);
constexpr Duration CallDuration = std::chrono::milliseconds(50);
constexpr Duration LoadDuration = std::chrono::seconds(20);
constexpr Duration StoreTimeout = std::chrono::milliseconds(800);
// Writes a second that the key-value service accepts; it refuses further ones.
constexpr double WritesPerSecond = 400;

enum class ClaimStrategy { PerRequest, AnyHost, PreferredHost };

struct Row {
  double writesPerRequest = 0;
  double writesPerSecond = 0;
  double bytesPerWrite = 0;
  double conflictShare = 0;
  double refusedShare = 0;
  Duration median{0};
  Duration p95{0};
};

class LoadRun {
public:
  LoadRun(ClaimStrategy strategy, std::size_t hosts, std::size_t shards,
          double rate, double writes)
      : hosts_(hosts), rate_(rate), keyValue_(&queue_, 1), random_(7) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Ledger::Options options;
      options.host = fmt::format("entry-{}", i);
      options.shards = strategy == ClaimStrategy::PerRequest ? 100003 : shards;
      options.seed = i + 1;
      options.shard.retention = WallTime(60);
      // Only the budget cases set this low enough to limit the writes.
      options.writesPerSecond = writes;
      ledgers_.push_back(std::make_unique<Ledger>(options));
    }
    std::vector<Ledger::Host> all;
    for (std::size_t i = 0; i < hosts; ++i)
      all.push_back({fmt::format("entry-{}", i), Endpoint()});
    if (strategy == ClaimStrategy::PreferredHost)
      for (const auto &ledger : ledgers_)
        ledger->setHosts(all);
  }

  Row measure() {
    const auto count = static_cast<std::uint64_t>(
        rate_ * static_cast<double>(LoadDuration.count()) / 1e6);
    std::uniform_real_distribution<double> arrivalMicros(
        0, static_cast<double>(LoadDuration.count()));
    for (std::uint64_t i = 0; i < count; ++i)
      queue_.after(Duration(static_cast<std::int64_t>(arrivalMicros(random_))),
                   [this, i] { claim(i + 1); });
    queue_.after(Duration(1000), [this] { tick(); });
    queue_.runUntil(queue_.now() + LoadDuration + std::chrono::seconds(3));
    return makeRow(count);
  }

private:
  Instant now() const {
    return {queue_.now(), std::chrono::duration_cast<WallTime>(
                              queue_.now().time_since_epoch())};
  }

  void claim(std::uint64_t number) {
    const std::string key = scopedKey("org", "booking", std::to_string(number));
    const std::size_t host = number % hosts_;
    sentAt_[number] = queue_.now();
    Step step;
    step.now = now();
    ledgers_[host]->claim({number, key, "digest",
                           queue_.now() + std::chrono::milliseconds(500),
                           false},
                          &step);
    perform(host, &step);
  }

  void deliver(std::size_t from, const SendToPeer &send) {
    const std::size_t to = std::stoul(send.host.substr(6));
    queue_.after(HopLatency, [this, from, to, message = send.message] {
      Step step;
      step.now = now();
      if (const auto *forward = std::get_if<LedgerForward>(&message))
        ledgers_[to]->onForward(fmt::format("entry-{}", from), Endpoint(),
                                *forward, &step);
      if (const auto *reply = std::get_if<LedgerForwardReply>(&message))
        ledgers_[to]->onForwardReply(*reply, &step);
      perform(to, &step);
    });
  }

  void perform(std::size_t host, Step *step) {
    for (const Action &action : step->actions) {
      if (const auto *call = std::get_if<CallKeyValue>(&action))
        send(host, *call);
      if (const auto *message = std::get_if<SendToPeer>(&action))
        deliver(host, *message);
    }
    for (const Event &event : step->followUpEvents)
      if (const auto *decided = std::get_if<ClaimDecided>(&event))
        onDecided(host, *decided);
  }

  bool tryTakeWriteToken() {
    const auto micros =
        static_cast<double>((queue_.now() - refilledAt_).count());
    refilledAt_ = queue_.now();
    tokens_ =
        std::min(WritesPerSecond / 4, tokens_ + micros * WritesPerSecond / 1e6);
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

  void send(std::size_t host, const CallKeyValue &call) {
    const auto onReply = [this, host, id = call.call](const KvReply &reply) {
      Step step;
      step.now = now();
      ledgers_[host]->onReply(id, reply, &step);
      perform(host, &step);
    };
    if (call.operation.verb == KvVerb::PutIf && !tryTakeWriteToken()) {
      queue_.after(Duration(1000), [onReply] { onReply(KvReply()); });
      return;
    }
    keyValue_.submit(call.operation, StoreTimeout, onReply);
  }

  void onDecided(std::size_t host, const ClaimDecided &decided) {
    if (decided.verdict != ClaimVerdict::Granted) {
      ++refused_;
      return;
    }
    latencies_.push_back(queue_.now() - sentAt_[decided.request]);
    const std::uint64_t number = decided.request;
    queue_.after(CallDuration, [this, host, number, nonce = decided.nonce] {
      Step step;
      step.now = now();
      ledgers_[host]->record(
          scopedKey("org", "booking", std::to_string(number)), nonce, "digest",
          Outcome::Complete, "booked for the ninth of May", &step);
      perform(host, &step);
    });
  }

  void tick() {
    for (std::size_t i = 0; i < hosts_; ++i) {
      if (ledgers_[i]->nextWake() > queue_.now())
        continue;
      Step step;
      step.now = now();
      ledgers_[i]->onTick(&step);
      perform(i, &step);
    }
    queue_.after(Duration(1000), [this] { tick(); });
  }

  Row makeRow(std::uint64_t count) {
    Row row;
    double conflicts = 0;
    double writes = 0;
    for (const auto &ledger : ledgers_) {
      conflicts += static_cast<double>(ledger->counters().conflicts);
      writes += static_cast<double>(ledger->counters().writes);
    }
    std::sort(latencies_.begin(), latencies_.end());
    row.writesPerRequest = writes / static_cast<double>(count);
    row.writesPerSecond =
        writes / (static_cast<double>(LoadDuration.count()) / 1e6);
    row.bytesPerWrite =
        static_cast<double>(keyValue_.bytesWritten) / std::max(writes, 1.0);
    row.conflictShare = conflicts / std::max(writes, 1.0);
    row.refusedShare =
        static_cast<double>(refused_) / static_cast<double>(count);
    if (!latencies_.empty()) {
      row.median = latencies_[latencies_.size() / 2];
      row.p95 = latencies_[latencies_.size() * 95 / 100];
    }
    return row;
  }

  std::size_t hosts_;
  double rate_;
  EventQueue queue_;
  FakeKeyValue keyValue_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Ledger>> ledgers_;
  std::map<std::uint64_t, TimePoint> sentAt_;
  std::vector<Duration> latencies_;
  std::uint64_t refused_ = 0;
  double tokens_ = WritesPerSecond / 4;
  TimePoint refilledAt_{std::chrono::hours(1)};
};

} // namespace

int main() {
  struct Case {
    const char *name;
    ClaimStrategy strategy;
    std::size_t shards;
    double writesPerHost;
  };
  const Case cases[] = {
      {"write per request", ClaimStrategy::PerRequest, 1, 1e6},
      {"64 shards, any host", ClaimStrategy::AnyHost, 64, 1e6},
      {"64 shards, preferred", ClaimStrategy::PreferredHost, 64, 1e6},
      {"64 shards, preferred, budget", ClaimStrategy::PreferredHost, 64, 150},
      {"16 shards, preferred, budget", ClaimStrategy::PreferredHost, 16, 150},
  };
  fmt::print("{:<30} {:>6} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8}\n", "way",
             "req/s", "writes/r", "writes/s", "bytes/w", "conflict", "refused",
             "p50 ms", "p95 ms");
  for (const Case &testCase : cases) {
    for (const double rate : {10.0, 40.0, 80.0, 160.0, 320.0, 640.0}) {
      const Row row = LoadRun(testCase.strategy, 9, testCase.shards, rate,
                              testCase.writesPerHost)
                          .measure();
      fmt::print("{:<30} {:>6} {:>9.2f} {:>9.1f} {:>9.0f} {:>8.1f}% {:>7.1f}% "
                 "{:>8.1f} {:>8.1f}\n",
                 testCase.name, rate, row.writesPerRequest, row.writesPerSecond,
                 row.bytesPerWrite, 100 * row.conflictShare,
                 100 * row.refusedShare, toMillis(row.median),
                 toMillis(row.p95));
    }
  }
  return EXIT_SUCCESS;
}
