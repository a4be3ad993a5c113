// One prompt part crashes each model worker that begins to write an answer on
// it: within the first event of streams that come with neither a length nor
// chunks, or, as "late", 0.6 s later in streams that come in chunks. Checks
// that few requests with the part reach workers once it has crashed five.

#include "caller.h"
#include "deployment.h"
#include "raw_worker.h"
#include "record.h"

#include "auburnspring/base/clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <vector>

using namespace auburnspring;
using namespace auburnspring::review;

namespace {

constexpr std::size_t Hosts = 3;
constexpr std::size_t Workers = 9;
constexpr Duration Patience = std::chrono::seconds(15);
constexpr Duration SoundInterval = std::chrono::milliseconds(60);
constexpr Duration CrashingInterval = std::chrono::milliseconds(700);
constexpr const char *CrashingPart = "dead";
/// Events are 40 ms apart.
constexpr int EventsPerStream = 30;
constexpr int LateEvent = 16;
/// When requests with the part begin and end to come, from the first request
/// on.
constexpr Duration TroubleFrom = std::chrono::seconds(4);
constexpr Duration LoadTime = std::chrono::seconds(30);
/// The rule: SettleWindowMs, the crash from which it counts, and the requests
/// that may reach workers after it.
constexpr Duration SettleTime = std::chrono::seconds(3);
constexpr std::size_t CountedCrash = 5;
constexpr int Allowed = 3;
constexpr Duration LongestRun = std::chrono::seconds(100);

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

class CrashCase {
public:
  CrashCase(asio::io_context &io, Record *record, bool isLate)
      : io_(io), record_(record), store_(io),
        deployment_(io, record, Hosts, store_.endpoint()),
        caller_(io, record,
                [this](const Caller::Request &request,
                       const Caller::Result &result) {
                  onAnswer(request, result);
                }),
        timer_(io), soundTimer_(io), crashingTimer_(io), endTimer_(io) {
    store_.keepsCopies = false;
    for (std::size_t i = 0; i < Workers; ++i) {
      RawWorker::Options options;
      options.name = fmt::format("i-{}", static_cast<char>('a' + i));
      options.service = "models";
      options.zone = fmt::format("zone-{}", i % Hosts + 1);
      options.usesChunks = isLate || std::getenv("CHUNKS") != nullptr;
      options.events = EventsPerStream;
      options.crashAtEvent = isLate ? LateEvent : 1;
      if (hasTrouble())
        options.crashingPart = CrashingPart;
      workers_.push_back(std::make_unique<RawWorker>(
          io, record, &store_, options,
          RawWorker::Events{[this](const std::string &, const std::string &p) {
                              onArrival(p);
                            },
                            [this] { crashes_.push_back(steadyNow()); }}));
    }
  }

  int play() {
    store_.put("op/config", Configuration);
    for (const auto &worker : workers_)
      worker->start();
    deployment_.startAll();
    deployment_.whenReady(std::chrono::seconds(10), [this](bool isReady) {
      if (!isReady)
        return stop(CouldNotRun);
      timer_.startAfter(SettleTime, [this] { begin(); });
    });
    endTimer_.startAfter(LongestRun, [this] { stop(CouldNotRun); });
    io_.run();
    return code_;
  }

private:
  void begin() {
    endsAt_ = steadyNow() + LoadTime;
    sendSound();
    crashingTimer_.startAfter(TroubleFrom, [this] { sendCrashing(); });
    timer_.startAfter(LoadTime + std::chrono::seconds(2),
                      [this] { stop(judge()); });
  }

  void send(const std::string &id, const std::string &parts) {
    Caller::Request request;
    request.host = deployment_.callers(sent_++ % Hosts);
    request.id = id;
    request.method = "POST";
    request.path = "/notes/x";
    request.patience = Patience;
    request.headers.add("Model", "m");
    request.headers.add("Token-Usage", "400,25");
    request.headers.add("Prompt-Prefix", parts);
    request.body = id;
    caller_.send(request);
  }

  void sendSound() {
    if (steadyNow() > endsAt_)
      return;
    ++sound_;
    send(fmt::format("sound-{:04}", sound_),
         fmt::format("a{}:100,b{}:100,c{}:200", sound_ % 3, sound_ % 20,
                     sound_));
    soundTimer_.startAfter(SoundInterval, [this] { sendSound(); });
  }

  void sendCrashing() {
    if (steadyNow() > endsAt_)
      return;
    ++crashing_;
    send(fmt::format("crashing-{:03}", crashing_),
         fmt::format("a{}:100,{}:100,d{}:200", crashing_ % 3, CrashingPart,
                     crashing_));
    crashingTimer_.startAfter(CrashingInterval, [this] { sendCrashing(); });
  }

  void onArrival(const std::string &parts) {
    if (parts.find(CrashingPart) != std::string::npos)
      arrivals_.push_back(steadyNow());
  }

  void onAnswer(const Caller::Request &request, const Caller::Result &result) {
    const bool isServed = result.isComplete && result.status == 200;
    if (request.id.front() == 's')
      isServed ? ++soundServed_ : ++soundFailed_;
  }

  int judge() {
    int late = 0;
    if (crashes_.size() >= CountedCrash) {
      const TimePoint from = crashes_[CountedCrash - 1] + SettleTime;
      late = static_cast<int>(
          std::count_if(arrivals_.begin(), arrivals_.end(),
                        [from](TimePoint at) { return at > from; }));
    }
    const std::string summary = fmt::format(
        "crashes={} with_part={} reached_after_fifth_crash={} allowed={} "
        "sound_served={} sound_failed={}",
        crashes_.size(), crashing_, late, Allowed, soundServed_, soundFailed_);
    record_->add(summary);
    std::cout << summary << "\n";
    return late > Allowed ? RuleBroken : RuleHeld;
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
  http::Timer soundTimer_;
  http::Timer crashingTimer_;
  http::Timer endTimer_;
  std::vector<std::unique_ptr<RawWorker>> workers_;
  std::vector<TimePoint> crashes_;
  /// Of requests with the part, at any worker.
  std::vector<TimePoint> arrivals_;
  TimePoint endsAt_;
  std::size_t sent_ = 0;
  int sound_ = 0;
  int crashing_ = 0;
  int soundServed_ = 0;
  int soundFailed_ = 0;
  int code_ = CouldNotRun;
};

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return CouldNotRun;
  asio::io_context io(1);
  Record record(argv[1]);
  const bool isLate = argc > 2 && std::string(argv[2]) == "late";
  CrashCase crash(io, &record, isLate);
  return crash.play();
}
