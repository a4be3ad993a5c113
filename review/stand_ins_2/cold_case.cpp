/// A worker that becomes cold again while its zone is evacuated: the hosts must
/// spare it when the zone is taken back.

#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace {

using namespace review;
using nlohmann::json;

constexpr double ColdPerSecond = 15;
constexpr int ColdStartMillis = 3000;
constexpr double ColdOvershoot = 1.5;
constexpr double ColdSlack = 5;
constexpr int EvacuationMillis = 5000;
constexpr Millis Heartbeat(1200);
/// Streams of all consumers come at this pace.
constexpr Millis RequestGap(8);

class Worker {
public:
  Worker(std::string id, std::string zone, Store *store, Record *record)
      : id_(std::move(id)), zone_(std::move(zone)), store_(store),
        record_(record), born_(unixMillis() - 60000),
        listener_([this](Connection *c) { serve(c); }) {
    listener_.start("127.0.0.1", 0);
    writeEntry();
    heartbeat_ = std::thread([this] {
      while (listener_.isRunning()) {
        for (Millis waited(0); waited < Heartbeat && listener_.isRunning();
             waited += Millis(20))
          std::this_thread::sleep_for(Millis(20));
        writeEntry();
      }
    });
  }
  ~Worker() {
    listener_.stop();
    heartbeat_.join();
  }

  /// Becomes cold again, in the same lifetime, and says so.
  void becomeCold() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      coldFrom_ = Clock::now();
      coldUntil_ = coldFrom_ + Millis(ColdStartMillis);
    }
    record_->line("worker " + id_ + " becomes cold for " +
                  std::to_string(ColdStartMillis) + " ms");
    writeEntry();
  }

  /// Most requests that it got within one second while it was cold.
  std::size_t mostWhileCold() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      if (*first < coldFrom_)
        continue;
      const auto end = std::upper_bound(
          first, arrivals_.end(), std::min(*first + Millis(1000), coldUntil_));
      most = std::max(most, static_cast<std::size_t>(
                                std::max<std::ptrdiff_t>(0, end - first)));
    }
    return coldFrom_ == Clock::time_point() ? 0 : most;
  }
  std::size_t count() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_.size();
  }

private:
  long coldRemaining() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::max<long>(
        0,
        std::chrono::duration_cast<Millis>(coldUntil_ - Clock::now()).count());
  }

  void writeEntry() {
    const json entry = {
        {"Service", "modelo"},
        {"Address", "127.0.0.1:" + std::to_string(listener_.port())},
        {"Zone", zone_},
        {"Version", "v1"},
        {"Slots", 32},
        {"State", "ready"},
        {"ColdRemainingMs", coldRemaining()},
        {"Sequence", ++sequence_},
        {"born", born_}};
    store_->put("servers/" + id_, entry.dump());
  }

  void serve(Connection *connection) {
    Head head;
    if (connection->readHead(&head, Millis(5000)) != ReadEnd::Complete ||
        connection->readBody(head, nullptr, Millis(5000), nullptr) !=
            ReadEnd::Complete)
      return;
    const std::string expected = head.field("Expected-Instance");
    if (!expected.empty() && expected != id_) {
      connection->write(response(421, {}, ""));
      return;
    }
    if (head.method() == "GET") {
      connection->write(
          response(200,
                   {{"Instance-Id", id_},
                    {"Cold-Remaining-Ms", std::to_string(coldRemaining())}},
                   ""));
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(Clock::now());
    }
    const std::string attempt = head.field("Attempt-Id");
    record_->line("worker " + id_ + " gets " + attempt +
                  (coldRemaining() > 0 ? " while it is cold" : ""));
    connection->write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                      "\r\nResponse-Signature: signed." + id_ +
                      "\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 2; ++event) {
      std::this_thread::sleep_for(Millis(30));
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: piece " + std::to_string(event) +
                               "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!connection->write(size + text + "\r\n"))
        return;
    }
    connection->write("0\r\n\r\n");
    while (listener_.isRunning() && !connection->hasInput(Millis(50))) {
    }
  }

  std::string id_;
  std::string zone_;
  Store *store_;
  Record *record_;
  std::int64_t born_;
  std::atomic<int> sequence_{0};
  std::mutex mutex_;
  Clock::time_point coldFrom_;
  Clock::time_point coldUntil_;
  std::vector<Clock::time_point> arrivals_;
  Listener listener_;
  std::thread heartbeat_;
};

json configuration() {
  return {
      {"Version", 7},
      {"Routes", json::array({{{"Name", "classif"},
                               {"Host", "ordens.example"},
                               {"PathPrefix", "/classif/"},
                               {"Kind", "streaming"},
                               {"Resumable", true},
                               {"Service", "modelo"},
                               {"MaxAttempts", 2},
                               {"TimeoutMs", 6000},
                               {"TargetLatencyMs", 4000},
                               {"GapAimMs", 400},
                               {"Public", true},
                               {"Priority", 2}}})},
      {"Services",
       json::array({{{"Name", "modelo"},
                     {"HealthPath", "/health"},
                     {"ConnectionLimit", 270},
                     {"ColdPerS", ColdPerSecond},
                     {"ColdStartS", ColdStartMillis / 1000},
                     {"Engine", {{"Slots", 32}, {"KvCacheTokens", 559053}}}}})},
      {"Limits",
       {{"MaxHeaderBytes", 16384},
        {"MaxBodyBytes", 4194304},
        {"HeaderTimeoutMs", 3000},
        {"IdleTimeoutMs", 15000}}}};
}

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
};

void consume(const Host &host, int number, Counts *counts) {
  ++counts->sent;
  const int fd = connectTo(host.ip(), host.callerPort(), Millis(1000));
  if (fd < 0) {
    ++counts->failed;
    return;
  }
  Connection connection(fd);
  char id[32];
  std::snprintf(id, sizeof(id), "c01d%012x", static_cast<unsigned>(number));
  connection.write("POST /classif/" + std::to_string(number) +
                   " HTTP/1.1\r\nHost: ordens.example\r\nAttempt-Id: " + id +
                   "\r\nModel: m\r\nToken-Usage: 600,24\r\nPrompt-Prefix: aa" +
                   std::to_string(number % 20) + ":340,bb" +
                   std::to_string(number) +
                   ":260\r\nTime-Remaining-Ms: 6000\r\n"
                   "Content-Length: 4\r\n\r\nnote");
  Head answer;
  const bool isComplete =
      connection.readHead(&answer, Millis(7000)) == ReadEnd::Complete &&
      connection.readBody(answer, nullptr, Millis(7000), nullptr) ==
          ReadEnd::Complete;
  ++(!isComplete              ? counts->failed
     : answer.status() == 200 ? counts->served
                              : counts->refused);
}

int run(const std::string &caseFolder, const std::string &folder) {
  Record record(caseFolder + "/record.txt");
  Store store;
  store.put("op/config", configuration().dump());
  Worker inA("i-7f3a91c2", "sul-pr-a", &store, &record);
  Worker inB("i-18ca9fba", "sul-pr-b", &store, &record);
  Worker inC("i-5e0d77aa", "sul-pr-c", &store, &record);
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 3; ++i) {
    hosts.push_back(std::make_unique<Host>(
        "frontend-sul-pr-" + std::to_string(i),
        "127.0.0." + std::to_string(10 + i), store.port(), folder,
        json{{"data_centre", "sul-pr-b"},
             {"cold_overshoot", ColdOvershoot},
             {"cold_slack", ColdSlack},
             {"evacuation_ms", EvacuationMillis}}));
    hosts.back()->start();
  }
  for (const auto &host : hosts)
    if (!host->waitUntilReady(Millis(8000)))
      return 2;
  // Traffic starts 14 seconds after the machines do; a bit less here.
  std::this_thread::sleep_for(Millis(8000));
  Counts counts;
  std::atomic<int> open{0};
  std::atomic<bool> isRunning{true};
  std::thread traffic([&] {
    auto next = Clock::now();
    for (int number = 0; isRunning; ++number) {
      next += RequestGap;
      std::this_thread::sleep_until(next);
      ++open;
      std::thread([&, number] {
        consume(*hosts[static_cast<std::size_t>(number) % hosts.size()], number,
                &counts);
        --open;
      }).detach();
    }
  });
  std::this_thread::sleep_for(Millis(3000));
  record.line("the operator evacuates sul-pr-a");
  store.put("op/evacuate/sul-pr-a", "{}");
  std::this_thread::sleep_for(Millis(EvacuationMillis + 1000));
  const std::size_t before = inA.count();
  if (hasTrouble())
    inA.becomeCold();
  std::this_thread::sleep_for(Millis(1000));
  const std::size_t during = inA.count() - before;
  store.remove("op/evacuate/sul-pr-a");
  record.line("the operator takes sul-pr-a back");
  std::this_thread::sleep_for(Millis(4000));
  isRunning = false;
  traffic.join();
  while (open > 0)
    std::this_thread::sleep_for(Millis(10));
  const auto most = static_cast<double>(inA.mostWhileCold());
  const double allowed = ColdPerSecond * ColdOvershoot + ColdSlack;
  const std::string result =
      "the cold worker got up to " + std::to_string(inA.mostWhileCold()) +
      " requests in a second, " + std::to_string(allowed) + " are allowed; " +
      std::to_string(during) + " in the last second of the evacuation; of " +
      std::to_string(counts.sent) + " streams " +
      std::to_string(counts.served) + " were served, " +
      std::to_string(counts.refused) + " refused, " +
      std::to_string(counts.failed) + " failed";
  record.line(result);
  std::puts(result.c_str());
  return most > allowed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argv[1], argv[2]);
  } catch (const std::exception &error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
