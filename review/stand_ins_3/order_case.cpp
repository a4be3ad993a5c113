// The last worker of an old software version is cut from the store, ends behind
// the cut and starts again, under its id, with the new version. Clients take up
// the streams that this broke off. Checks that no more than two streams hold
// events of both versions.

#include "caller.h"
#include "deployment.h"
#include "raw_worker.h"
#include "record.h"

#include "auburnspring/base/clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <iostream>
#include <optional>
#include <set>
#include <vector>

using namespace auburnspring;
using namespace auburnspring::review;

namespace {

constexpr std::size_t Hosts = 3;
/// The first runs the old version, the others the new one.
constexpr std::size_t Workers = 5;
constexpr int EventsPerStream = 30;
constexpr Duration EventPause = std::chrono::milliseconds(100);
constexpr Duration Patience = std::chrono::seconds(15);
constexpr Duration StreamInterval = std::chrono::milliseconds(60);
/// A client tries so often in all, and waits so long after a channel that broke
/// off and an answer that names no time.
constexpr int MaxTries = 4;
constexpr Duration RetryPause = std::chrono::milliseconds(300);
/// srv_cut, reborn: how long the cut lasts, when the worker ends behind it, and
/// for how long it is down.
constexpr Duration CutTime = std::chrono::seconds(5);
constexpr Duration CrashAfter = std::chrono::milliseconds(300);
constexpr Duration DownTime = std::chrono::milliseconds(400);
constexpr Duration TroubleFrom = std::chrono::seconds(4);
constexpr Duration LoadTime = std::chrono::seconds(10);
/// SettleWindowMs, and what the rule allows.
constexpr Duration SettleTime = std::chrono::seconds(3);
constexpr int Allowed = 2;
constexpr Duration LongestRun = std::chrono::seconds(90);

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

/// A stream as its client has it, over all its tries.
struct Stream {
  std::size_t number = 0;
  TimePoint until;
  int tries = 0;
  int lastEvent = 0;
  /// The try that brought the first event.
  std::string firstTry;
  std::set<std::string> versions;
  bool isComplete = false;
};

class OrderCase {
public:
  OrderCase(asio::io_context &io, Record *record)
      : io_(io), record_(record), store_(io),
        deployment_(io, record, Hosts, store_.endpoint(), Workers),
        caller_(io, record,
                [this](const Caller::Request &request,
                       const Caller::Result &result) {
                  onAnswer(request.id, result);
                }),
        timer_(io), loadTimer_(io), endTimer_(io) {
    store_.keepsCopies = false;
    for (std::size_t i = 0; i < Workers; ++i) {
      RawWorker::Options options;
      options.port = deployment_.sparePorts()[i];
      options.name = fmt::format("i-{}", static_cast<char>('a' + i));
      options.service = "models";
      options.zone = fmt::format("zone-{}", i % Hosts + 1);
      options.usesChunks = true;
      options.keepsId = true;
      options.version = i == 0 ? "v1" : "v2";
      options.downTime = DownTime;
      options.events = EventsPerStream;
      options.eventPause = EventPause;
      workers_.push_back(std::make_unique<RawWorker>(
          io, record, &store_, options,
          RawWorker::Events{[](const std::string &, const std::string &) {},
                            [] {}}));
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
    startStream();
    if (hasTrouble())
      timer_.startAfter(TroubleFrom, [this] { beginCut(); });
    else
      timer_.startAfter(LoadTime, [this] { awaitEnd(); });
  }

  void beginCut() {
    RawWorker &last = *workers_.front();
    last.setCut(true);
    timer_.startAfter(CrashAfter, [this, &last] {
      last.setVersion("v2");
      last.crash();
      timer_.startAfter(CutTime - CrashAfter, [this, &last] {
        last.setCut(false);
        awaitEnd();
      });
    });
  }

  void startStream() {
    if (steadyNow() > endsAt_)
      return;
    Stream stream;
    stream.number = streams_.size();
    stream.until = steadyNow() + Patience;
    streams_.push_back(stream);
    send(stream.number);
    loadTimer_.startAfter(StreamInterval, [this] { startStream(); });
  }

  void send(std::size_t number) {
    Stream &stream = streams_[number];
    ++stream.tries;
    Caller::Request request;
    request.host = deployment_.callers((number + stream.tries) % Hosts);
    request.id = fmt::format("{:04}-{}", number, stream.tries);
    request.method = "POST";
    request.path = "/notes/x";
    request.patience = stream.until - steadyNow();
    request.headers.add("Model", "m");
    request.headers.add("Token-Usage", "400,150");
    request.headers.add("Prompt-Prefix",
                        fmt::format("a{}:100,b{}:100,c{}:200", number % 3,
                                    number % 20, number));
    if (stream.lastEvent > 0) {
      request.headers.add("Last-Event-Id", std::to_string(stream.lastEvent));
      request.headers.add("Resumes", stream.firstTry);
    }
    request.body = fmt::format("notes {}", number);
    ++open_;
    caller_.send(request);
  }

  void readEvents(const std::string &id, const std::string &body,
                  Stream *stream) {
    const std::vector<std::string> events = absl::StrSplit(body, "\n\n");
    // The last part is empty, or an event that broke off.
    for (std::size_t i = 0; i + 1 < events.size(); ++i) {
      const std::vector<std::string> lines = absl::StrSplit(events[i], '\n');
      int event = 0;
      if (lines.size() != 2 ||
          !absl::SimpleAtoi(lines[0].substr(std::string("id: ").size()),
                            &event) ||
          event <= stream->lastEvent)
        continue;
      if (stream->lastEvent == 0)
        stream->firstTry = id;
      stream->lastEvent = event;
      stream->versions.insert(lines[1].substr(std::string("data: ").size()));
    }
  }

  void onAnswer(const std::string &id, const Caller::Result &result) {
    --open_;
    Stream &stream =
        streams_[static_cast<std::size_t>(std::stoul(id.substr(0, 4)))];
    const bool isStream = result.status == 200;
    if (isStream)
      readEvents(id, result.body, &stream);
    stream.isComplete = isStream && result.isComplete;
    if (stream.isComplete || stream.tries >= MaxTries)
      return;
    const Duration pause = result.retryAfter.value_or(RetryPause);
    if (steadyNow() + pause >= stream.until)
      return;
    ++open_;
    const auto timer = std::make_shared<http::Timer>(io_);
    timer->startAfter(pause, [this, timer, number = stream.number] {
      --open_;
      send(number);
    });
  }

  void awaitEnd() {
    if (open_ == 0 && steadyNow() > endsAt_)
      return stop(judge());
    timer_.startAfter(std::chrono::milliseconds(100), [this] { awaitEnd(); });
  }

  int judge() {
    int complete = 0;
    int resumed = 0;
    int joined = 0;
    for (const Stream &stream : streams_) {
      complete += stream.isComplete ? 1 : 0;
      resumed += stream.tries > 1 ? 1 : 0;
      if (stream.versions.size() < 2)
        continue;
      ++joined;
      record_->add(fmt::format("broken stream={:04} tries={} events={}",
                               stream.number, stream.tries, stream.lastEvent));
    }
    const std::string summary =
        fmt::format("streams={} complete={} tried_again={} of_two_versions={} "
                    "allowed={}",
                    streams_.size(), complete, resumed, joined, Allowed);
    record_->add(summary);
    std::cout << summary << std::endl;
    return joined > Allowed ? RuleBroken : RuleHeld;
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
  http::Timer loadTimer_;
  http::Timer endTimer_;
  std::vector<std::unique_ptr<RawWorker>> workers_;
  std::vector<Stream> streams_;
  TimePoint endsAt_;
  int open_ = 0;
  int code_ = CouldNotRun;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  asio::io_context io(1);
  Record record(argv[1]);
  OrderCase order(io, &record);
  return order.play();
}
