/// A worker names the requests a second that it takes of all machines together.
/// Writes by which hosts register were done late and not answered.

#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <deque>

namespace {

using namespace review;
using nlohmann::json;

/// Server-Limit of each worker.
constexpr double LimitPerSecond = 10;
constexpr int DeadlineMillis = 600;
constexpr Millis WorkTime(15);
/// Requests to each host.
constexpr Millis RequestGap(20);
/// How much later a lost write is done; the pages play 1 to 6 s.
constexpr Millis WriteDelay(3000);
/// SettleWindowMs, from which on a limit must be kept.
constexpr Millis SettleWindow(3000);
constexpr Millis TrafficTime(20000);

class Worker {
public:
  Worker(std::string id, Store *store, Record *record)
      : id_(std::move(id)), record_(record),
        listener_([this](Connection *c) { serve(c); }) {
    listener_.start("127.0.0.1", 0);
    store->put(
        "servers/" + id_,
        json{{"Service", "jobs"},
             {"Address", "127.0.0.1:" + std::to_string(listener_.port())},
             {"Zone", "ie-a"},
             {"Version", "v1"},
             {"Slots", 6},
             {"State", "ready"},
             {"ColdRemainingMs", 0},
             {"Sequence", 1},
             {"born", unixMillis()}}
            .dump());
  }

  /// Most arrivals in four seconds, from the time at which the limit binds.
  std::size_t mostInFourSeconds() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t most = 0;
    std::deque<Clock::time_point> window;
    for (const Clock::time_point at : arrivals_) {
      if (at < firstNamedAt_ + SettleWindow)
        continue;
      window.push_back(at);
      while (window.front() + Millis(4000) <= at)
        window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }
  const std::string &id() const { return id_; }

private:
  void serve(Connection *connection) {
    Head head;
    if (connection->readHead(&head, Millis(2000)) != ReadEnd::Complete ||
        connection->readBody(head, nullptr, Millis(2000), nullptr) !=
            ReadEnd::Complete)
      return;
    const std::string expected = head.field("Expected-Instance");
    if (!expected.empty() && expected != id_) {
      connection->write(response(421, {}, ""));
      return;
    }
    const std::string attempt = head.field("Attempt-Id");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(Clock::now());
    }
    record_->line("worker " + id_ + " runs " + attempt);
    std::this_thread::sleep_for(WorkTime);
    connection->write(
        response(200,
                 {{"Attempt-Id", attempt},
                  {"Response-Signature", "signed." + id_},
                  {"Server-Limit", std::to_string(LimitPerSecond)}},
                 "done"));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (firstNamedAt_ == Clock::time_point())
      firstNamedAt_ = Clock::now();
  }

  std::string id_;
  Record *record_;
  std::mutex mutex_;
  std::vector<Clock::time_point> arrivals_;
  Clock::time_point firstNamedAt_;
  Listener listener_;
};

json configuration() {
  return {{"Version", 7},
          {"Routes", json::array({{{"Name", "lookup"},
                                   {"Host", "jobs.example"},
                                   {"PathPrefix", "/lookup/"},
                                   {"Kind", "safe"},
                                   {"Service", "jobs"},
                                   {"MaxAttempts", 2},
                                   {"TimeoutMs", DeadlineMillis},
                                   {"TargetLatencyMs", 100},
                                   {"Public", true},
                                   {"Priority", 2}}})},
          {"Services", json::array({{{"Name", "jobs"},
                                     {"HealthPath", "/health"},
                                     {"ConnectionLimit", 52}}})},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}}};
}

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
};

void lookUp(const Host &host, int number, Counts *counts) {
  ++counts->sent;
  const int fd = connectTo(host.ip(), host.callerPort(), Millis(1000));
  if (fd < 0)
    return;
  Connection connection(fd);
  char id[32];
  std::snprintf(id, sizeof(id), "11a7%012x", static_cast<unsigned>(number));
  connection.write("GET /lookup/" + std::to_string(number) +
                   " HTTP/1.1\r\nHost: jobs.example\r\nAttempt-Id: " + id +
                   "\r\nTime-Remaining-Ms: " + std::to_string(DeadlineMillis) +
                   "\r\n\r\n");
  Head answer;
  if (connection.readHead(&answer, Millis(DeadlineMillis + 200)) ==
          ReadEnd::Complete &&
      answer.status() == 200)
    ++counts->served;
}

int run(const std::string &caseFolder, const std::string &folder) {
  Record record(caseFolder + "/record.txt");
  Store store;
  store.put("op/config", configuration().dump());
  std::vector<std::unique_ptr<Worker>> workers;
  for (const char *id : {"i-7f3a91c2", "i-18ca9fba"})
    workers.push_back(std::make_unique<Worker>(id, &store, &record));
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 3; ++i)
    hosts.push_back(std::make_unique<Host>("frontend-ie-a-" + std::to_string(i),
                                           "127.0.0." + std::to_string(10 + i),
                                           store.port(), folder));
  for (int i = 0; i < 2; ++i) {
    if (hasTrouble())
      store.loseNextWrite("hosts/" + hosts[static_cast<std::size_t>(i)]->name(),
                          WriteDelay);
    hosts[static_cast<std::size_t>(i)]->start();
  }
  for (int i = 0; i < 2; ++i)
    if (!hosts[static_cast<std::size_t>(i)]->waitUntilReady(Millis(8000)))
      return 2;
  record.line("two machines run");
  std::this_thread::sleep_for(Millis(16000));
  for (int i = 0; i < 2; ++i) {
    const std::string key =
        "hosts/" + hosts[static_cast<std::size_t>(i)]->name();
    record.line(key + (store.has(key) ? " is" : " is not") + " in the store");
  }
  hosts[2]->start();
  if (!hosts[2]->waitUntilReady(Millis(8000)))
    return 2;
  record.line("a machine is added");
  std::this_thread::sleep_for(Millis(6000));
  Counts counts;
  std::atomic<int> open{0};
  std::atomic<int> numbers{0};
  std::atomic<bool> isRunning{true};
  std::vector<std::thread> traffic;
  for (const auto &host : hosts)
    traffic.emplace_back([&, to = host.get()] {
      for (auto next = Clock::now(); isRunning;) {
        next += RequestGap;
        std::this_thread::sleep_until(next);
        ++open;
        std::thread([&counts, &open, to, number = ++numbers] {
          lookUp(*to, number, &counts);
          --open;
        }).detach();
      }
    });
  std::this_thread::sleep_for(TrafficTime);
  isRunning = false;
  for (std::thread &thread : traffic)
    thread.join();
  while (open > 0)
    std::this_thread::sleep_for(Millis(10));
  const double allowed = 1.5 * 4 * LimitPerSecond + 5;
  bool isBroken = false;
  std::string result;
  for (const auto &worker : workers) {
    const std::size_t most = worker->mostInFourSeconds();
    isBroken = isBroken || static_cast<double>(most) > allowed;
    result += worker->id() + " got up to " + std::to_string(most) +
              " requests in four seconds, ";
  }
  result += std::to_string(allowed) + " are allowed; " +
            std::to_string(counts.served) + " of " +
            std::to_string(counts.sent) + " were served";
  record.line(result);
  std::puts(result.c_str());
  return isBroken ? 1 : 0;
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
