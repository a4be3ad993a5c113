// The hosts are restarted in turn. The store answers none of one host's last
// write, the removal of its entry, and does it some seconds later, after the
// host has come back. Later the workers name a limit. Checks that the hosts
// together keep to it.

#include "caller.h"
#include "deployment.h"
#include "record.h"
#include "store_link.h"
#include "worker.h"

#include "auburnspring/base/clock.h"

#include <fmt/format.h>

#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <set>

using namespace auburnspring;
using namespace auburnspring::review;

namespace {

constexpr std::size_t Hosts = 3;
/// Requests a second at each host.
constexpr double RequestsPerSecond = 50;
/// Requests a second that each worker takes of all hosts together.
constexpr double Limit = 20;
constexpr Duration Patience = std::chrono::milliseconds(600);
constexpr Duration Work = std::chrono::milliseconds(15);
/// platform_lost: for how long answers are lost, and how late a write is done.
constexpr Duration LostTime = std::chrono::milliseconds(4500);
constexpr Duration LateBy = std::chrono::seconds(5);
/// From the start of a host to the stop of the next one.
constexpr Duration RestartGap = std::chrono::seconds(2);
/// From the last restart to the limit, and for how long it is named.
constexpr Duration CalmTime = std::chrono::seconds(12);
constexpr Duration LimitTime = std::chrono::seconds(20);
/// The rule: SettleWindowMs, its window, and what may come in it.
constexpr Duration SettleTime = std::chrono::seconds(3);
constexpr Duration Window = std::chrono::seconds(4);
constexpr double Allowed = 1.5 * 4 * Limit + 5;
/// A host counts from this time after it has passed on an answer with a limit.
constexpr Duration KnowTime = std::chrono::milliseconds(500);
constexpr Duration LongestRun = std::chrono::seconds(110);

const char *const Configuration = R"({"Version": 1,
 "Routes": [{"Name": "count", "Host": "review.example",
   "PathPrefix": "/count/", "Kind": "safe", "TimeoutMs": 600,
   "TargetLatencyMs": 100, "Priority": 2, "Service": "desk",
   "MaxAttempts": 2, "Public": true}],
 "Services": [{"Name": "desk", "HealthPath": "/health",
   "ConnectionLimit": 110}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": []})";

class LimitCase {
public:
  LimitCase(asio::io_context &io, Record *record)
      : io_(io), record_(record), store_(io),
        link_(io, record, store_.endpoint(),
              [this](const http::Exchange &call) { return lateness(call); }),
        deployment_(io, record, Hosts, link_.endpoint()),
        caller_(io, record,
                [this](const Caller::Request &, const Caller::Result &result) {
                  ++answers_[result.status];
                }),
        timer_(io), loadTimer_(io), endTimer_(io) {
    store_.keepsCopies = false;
    for (const char *id : {"i-one", "i-two"}) {
      const std::size_t index = workers_.size();
      workers_.push_back(std::make_unique<Worker>(
          io, &store_,
          Worker::Options{id, "desk", fmt::format("zone-{}", index + 1), 6},
          [this, index](const auto &exchange) { run(index, exchange); }));
    }
  }

  int play() {
    store_.put("op/config", Configuration);
    for (const auto &worker : workers_)
      worker->beat();
    deployment_.startAll();
    deployment_.whenReady(std::chrono::seconds(10), [this](bool isReady) {
      if (!isReady)
        return stop(CouldNotRun);
      sendNext();
      timer_.startAfter(SettleTime, [this] { restart(0); });
    });
    endTimer_.startAfter(LongestRun, [this] { stop(CouldNotRun); });
    io_.run();
    return code_;
  }

private:
  struct Arrival {
    TimePoint at;
    std::size_t host = 0;
  };

  /// The removal of the first host's entry, while answers of the store are
  /// lost, is done late.
  std::optional<Duration> lateness(const http::Exchange &call) {
    if (!hasTrouble() || !lostUntil_ || steadyNow() > *lostUntil_ ||
        call.head.target != "/api/kv-txn")
      return std::nullopt;
    ++writesInTrouble_;
    const std::string removal =
        fmt::format("\"Deletes\":[\"hosts/{}\"]", deployment_.name(0));
    if (call.body.find(removal) == std::string::npos)
      return std::nullopt;
    ++lateWrites_;
    return LateBy;
  }

  void restart(std::size_t host) {
    if (host == 0)
      lostUntil_ = steadyNow() + LostTime;
    deployment_.restart(host, [this, host] {
      if (host + 1 < Hosts)
        return timer_.startAfter(RestartGap,
                                 [this, host] { restart(host + 1); });
      timer_.startAfter(CalmTime, [this] { beginLimit(); });
    });
  }

  void beginLimit() {
    record_->add(fmt::format("writes while answers are lost: {}, late: {}",
                             writesInTrouble_, lateWrites_));
    record_->add(fmt::format("entries of hosts in the store: {}",
                             store_.countWithPrefix("hosts/")));
    record_->add(fmt::format("workers name a limit of {}", Limit));
    namesLimit_ = true;
    timer_.startAfter(LimitTime, [this] { stop(judge()); });
  }

  void sendNext() {
    const std::size_t host = sent_ % Hosts;
    Caller::Request request;
    request.host = deployment_.callers(host);
    request.id = fmt::format("h{}-{:05}", host, sent_++);
    request.path = "/count/x";
    request.patience = Patience;
    caller_.send(request);
    loadTimer_.startAfter(
        Duration(static_cast<std::int64_t>(1e6 / RequestsPerSecond / Hosts)),
        [this] { sendNext(); });
  }

  void run(std::size_t worker,
           const std::shared_ptr<http::Exchange> &exchange) {
    const std::string id = header(*exchange, "Attempt-Id");
    // The id names the host that the request was sent to.
    const auto host = static_cast<std::size_t>(id.at(1) - '0');
    record_->add(
        fmt::format("request={} runs at={}", id, workers_[worker]->id()));
    arrivals_[worker].push_back({steadyNow(), host});
    const auto timer = std::make_shared<http::Timer>(io_);
    timer->startAfter(Work, [this, worker, host, exchange, timer] {
      http::ResponseHead head = workers_[worker]->signedHead(*exchange);
      if (namesLimit_) {
        head.headers.add("Server-Limit", fmt::format("{:.1f}", Limit));
        named_[worker].try_emplace(host, steadyNow());
      }
      exchange->respond(std::move(head), "37 lots");
      running_.erase(timer);
    });
    running_.insert(timer);
  }

  /// The most arrivals in a window at one worker, of the hosts that know of the
  /// limit by then.
  std::size_t mostArrivals(std::size_t worker) {
    const std::map<std::size_t, TimePoint> &knownSince = named_[worker];
    if (knownSince.empty())
      return 0;
    TimePoint first = TimePoint::max();
    for (const auto &entry : knownSince)
      first = std::min(first, entry.second);
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const Arrival &arrival : arrivals_[worker]) {
      const auto known = knownSince.find(arrival.host);
      if (known == knownSince.end() || arrival.at < first + SettleTime ||
          arrival.at < known->second + KnowTime)
        continue;
      window.push_back(arrival.at);
      while (window.front() + Window < arrival.at)
        window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }

  int judge() {
    bool isBroken = false;
    for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
      const std::size_t most = mostArrivals(worker);
      isBroken = isBroken || static_cast<double>(most) > Allowed;
      const std::string line =
          fmt::format("worker={} limit={} most_in_4_s={} allowed={:.0f}",
                      workers_[worker]->id(), Limit, most, Allowed);
      record_->add(line);
      std::cout << line << "\n";
    }
    for (const auto &entry : answers_)
      record_->add(
          fmt::format("answers status={}: {}", entry.first, entry.second));
    return isBroken ? RuleBroken : RuleHeld;
  }

  void stop(int code) {
    code_ = code;
    io_.stop();
  }

  asio::io_context &io_;
  Record *record_;
  platform::FakeStoreServer store_;
  StoreLink link_;
  Deployment deployment_;
  Caller caller_;
  http::Timer timer_;
  http::Timer loadTimer_;
  http::Timer endTimer_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::set<std::shared_ptr<http::Timer>> running_;
  std::map<std::size_t, std::vector<Arrival>> arrivals_;
  /// By worker and host: when a response first named the limit.
  std::map<std::size_t, std::map<std::size_t, TimePoint>> named_;
  std::map<int, int> answers_;
  std::optional<TimePoint> lostUntil_;
  int writesInTrouble_ = 0;
  int lateWrites_ = 0;
  std::size_t sent_ = 0;
  bool namesLimit_ = false;
  int code_ = CouldNotRun;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CouldNotRun;
  asio::io_context io(1);
  Record record(argv[1]);
  LimitCase limit(io, &record);
  return limit.play();
}
