// One of nine model workers is mute in a part of its runs: it sends the head of
// its response with its first token, and no event. The others are sound, but in
// some of their runs silent for a second after the first token. Checks that no
// request runs at two workers for longer than the rule allows.

#include "caller.h"
#include "deployment.h"
#include "record.h"
#include "worker.h"

#include "auburnspring/base/clock.h"

#include <fmt/format.h>

#include <iostream>
#include <set>

using namespace auburnspring;
using namespace auburnspring::review;

namespace {

constexpr std::size_t Hosts = 3;
constexpr std::size_t Workers = 9;
constexpr std::size_t Streams = 600;
constexpr Duration StreamInterval = std::chrono::milliseconds(40);
constexpr Duration Patience = std::chrono::seconds(15);
/// From the arrival of a request to its first token.
constexpr Duration FirstToken = std::chrono::milliseconds(100);
/// The mute worker is so in two of five runs, and a sound one silent in one of
/// two.
constexpr int MuteRuns = 2;
constexpr int MuteCycle = 5;
constexpr int SilentCycle = 2;
/// Silence of a sound worker, and the pause between events.
constexpr Duration SoundSilence = std::chrono::milliseconds(1000);
constexpr Duration EventPause = std::chrono::milliseconds(50);
constexpr int EventsPerStream = 5;
/// For how long the worker before may still work on a request.
constexpr Duration MaxOverlap = std::chrono::milliseconds(400);
/// SettleWindowMs.
constexpr Duration SettleTime = std::chrono::seconds(3);
constexpr Duration LongestRun = std::chrono::seconds(60);

const char *const Configuration = R"({"Version": 1,
 "Routes": [{"Name": "notes", "Host": "review.example",
   "PathPrefix": "/notes/", "Kind": "streaming", "TimeoutMs": 15000,
   "TargetLatencyMs": 1900, "Priority": 0, "Service": "models",
   "MaxAttempts": 2, "Public": true, "StickySessions": true,
   "Resumable": true, "GapAimMs": 250}],
 "Services": [{"Name": "models", "HealthPath": "/health",
   "ConnectionLimit": 370,
   "Engine": {"Slots": 64, "KvCacheTokens": 801974}}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": []})";

class HedgeCase {
public:
  HedgeCase(asio::io_context &io, Record *record)
      : io_(io), record_(record), store_(io),
        deployment_(io, record, Hosts, store_.endpoint()),
        caller_(io, record,
                [this](const Caller::Request &, const Caller::Result &result) {
                  complete_ += result.isComplete && result.status == 200;
                  ++ended_;
                }),
        timer_(io), endTimer_(io) {
    store_.keepsCopies = false;
    for (std::size_t i = 0; i < Workers; ++i)
      workers_.push_back(std::make_unique<Worker>(
          io, &store_,
          Worker::Options{fmt::format("i-{}", i + 1), "models",
                          fmt::format("zone-{}", i % Hosts + 1), 64},
          [this, i](const auto &exchange) { run(i, exchange); }));
  }

  int play() {
    store_.put("op/config", Configuration);
    for (const auto &worker : workers_)
      worker->beat();
    deployment_.startAll();
    deployment_.whenReady(std::chrono::seconds(10), [this](bool isReady) {
      if (!isReady)
        return stop(CouldNotRun);
      timer_.startAfter(SettleTime, [this] { sendNext(); });
    });
    endTimer_.startAfter(LongestRun, [this] { stop(CouldNotRun); });
    io_.run();
    return code_;
  }

private:
  /// A run of a request at a worker.
  struct Run {
    Worker *worker = nullptr;
    std::shared_ptr<http::Exchange> exchange;
    std::unique_ptr<http::Timer> timer;
    TimePoint begun;
    std::optional<TimePoint> ended;
    bool isMute = false;
    bool isSilent = false;
    int events = 0;
  };

  void run(std::size_t worker,
           const std::shared_ptr<http::Exchange> &exchange) {
    const std::string id = header(*exchange, "Attempt-Id");
    auto run = std::make_shared<Run>();
    run->worker = workers_[worker].get();
    record_->add(
        fmt::format("request={} arrives at={}", id, run->worker->id()));
    const int number = runCounts_[worker]++;
    run->isMute = worker == 0 && hasTrouble() && number % MuteCycle < MuteRuns;
    run->isSilent = worker != 0 && number % SilentCycle == 0;
    run->exchange = exchange;
    run->timer = std::make_unique<http::Timer>(io_);
    exchange->onDisconnect = [this, id, run] { endRun(id, run, "closed"); };
    run->timer->startAfter(FirstToken, [this, id, run] { begin(id, run); });
  }

  /// The request runs from its first token on.
  void begin(const std::string &id, const std::shared_ptr<Run> &run) {
    run->begun = steadyNow();
    record_->add(fmt::format("request={} runs at={} mute={} silent={}", id,
                             run->worker->id(), run->isMute, run->isSilent));
    runs_[id].push_back(run);
    http::ResponseHead head = run->worker->signedHead(*run->exchange);
    head.headers.add("Content-Type", "text/event-stream");
    run->exchange->begin(std::move(head));
    if (!run->isMute)
      run->timer->startAfter(run->isSilent ? SoundSilence : EventPause,
                             [this, id, run] { write(id, run); });
  }

  void write(const std::string &id, const std::shared_ptr<Run> &run) {
    ++run->events;
    run->exchange->write(
        fmt::format("id: {}\ndata: {}\n\n", run->events, run->events));
    if (run->events < EventsPerStream)
      return run->timer->startAfter(EventPause,
                                    [this, id, run] { write(id, run); });
    run->exchange->end();
    endRun(id, run, "complete");
  }

  void endRun(const std::string &id, const std::shared_ptr<Run> &run,
              const char *how) {
    run->timer->cancel();
    if (run->ended)
      return;
    run->ended = steadyNow();
    record_->add(fmt::format("request={} ends at={} {} events={}", id,
                             run->worker->id(), how, run->events));
  }

  void sendNext() {
    if (sent_ == Streams)
      return awaitEnd();
    Caller::Request request;
    request.host = deployment_.callers(sent_ % Hosts);
    request.id = fmt::format("stream-{:03}", sent_++);
    request.method = "POST";
    request.path = "/notes/x";
    request.patience = Patience;
    request.headers.add("Model", "m");
    request.headers.add("Token-Usage", "400,25");
    request.headers.add("Prompt-Prefix", fmt::format("a0:100,b{}:100,c{}:200",
                                                     sent_ % 7, sent_));
    request.body = "survey";
    caller_.send(request);
    timer_.startAfter(StreamInterval, [this] { sendNext(); });
  }

  void awaitEnd() {
    if (ended_ == Streams)
      return stop(judge());
    timer_.startAfter(std::chrono::milliseconds(100), [this] { awaitEnd(); });
  }

  /// Counts requests at whose first worker the run went on for too long after
  /// it had begun at the second one.
  int judge() {
    std::size_t broken = 0;
    double longest = 0;
    for (const auto &[id, runs] : runs_)
      for (std::size_t i = 1; i < runs.size(); ++i) {
        const TimePoint end = runs[i - 1]->ended.value_or(steadyNow());
        const Duration overlap = end - runs[i]->begun;
        longest = std::max(longest, toMillis(overlap));
        if (overlap <= MaxOverlap)
          continue;
        ++broken;
        record_->add(fmt::format("broken request={} first={} second={} "
                                 "overlap_ms={:.0f}",
                                 id, runs[i - 1]->worker->id(),
                                 runs[i]->worker->id(), toMillis(overlap)));
      }
    const std::string summary = fmt::format(
        "streams={} complete={} run_twice_at_once={} longest_overlap_ms={:.0f}",
        Streams, complete_, broken, longest);
    record_->add(summary);
    std::cout << summary << "\n";
    return broken > 0 ? RuleBroken : RuleHeld;
  }

  void stop(int code) {
    code_ = code;
    io_.stop();
  }

  asio::io_context &io_;
  Record *record_;
  platform::FakeStoreServer store_;
  Deployment deployment_;
  Caller caller_;
  http::Timer timer_;
  http::Timer endTimer_;
  std::map<std::string, std::vector<std::shared_ptr<Run>>> runs_;
  std::map<std::size_t, int> runCounts_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::size_t sent_ = 0;
  std::size_t ended_ = 0;
  std::size_t complete_ = 0;
  int code_ = CouldNotRun;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  asio::io_context io(1);
  Record record(argv[1]);
  HedgeCase hedge(io, &record);
  return hedge.play();
}
