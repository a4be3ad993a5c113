/// Workers that read slowly: what a host holds for them must stay within its
/// memory.

#include "deployment.h"

#include <csignal>
#include <cstdio>

namespace {

using namespace review;
using nlohmann::json;

/// Memory of the smallest machine of the deployment (MemoryMb).
constexpr double MemoryMb = 160;
constexpr std::size_t HostCount = 2;
/// Within MaxBodyBytes, which is 4,194,304.
constexpr std::size_t BodyBytes = 4000000;
/// Requests to each host, and for how long.
constexpr Millis RequestGap(250);
constexpr Millis TrafficTime(45000);
constexpr int TimeoutMillis = 12000;
/// Pace of a slow worker: 160 kB a second, so that the body takes 25 s.
constexpr std::size_t SlowBytes = 16000;
constexpr Millis SlowPause(100);
/// Ends of a process by itself that the rule allows.
constexpr int AllowedEnds = 2;

json configuration() {
  return {{"Version", 7},
          {"Routes", json::array({{{"Name", "submit"},
                                   {"Host", "desk.example"},
                                   {"PathPrefix", "/submit/"},
                                   {"Kind", "unsafe"},
                                   {"Service", "desk"},
                                   {"MaxAttempts", 1},
                                   {"TimeoutMs", TimeoutMillis},
                                   {"TargetLatencyMs", 150},
                                   {"Public", true},
                                   {"Priority", 2}}})},
          {"Services", json::array({{{"Name", "desk"},
                                     {"HealthPath", "/health"},
                                     {"ConnectionLimit", 100}}})},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}}};
}

class Worker {
public:
  Worker(std::string id, bool isSlow, Store *store)
      : id_(std::move(id)), isSlow_(isSlow),
        listener_([this](Connection *c) { serve(c); }) {
    listener_.start("127.0.0.1", 0);
    const json entry = {
        {"Service", "desk"},
        {"Address", "127.0.0.1:" + std::to_string(listener_.port())},
        {"Zone", "ie-a"},
        {"Version", "v1"},
        {"Slots", 32},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Sequence", 1},
        {"born", unixMillis()}};
    store->put("servers/" + id_, entry.dump());
  }

private:
  void serve(Connection *connection) {
    Head head;
    if (connection->readHead(&head, Millis(5000)) != ReadEnd::Complete)
      return;
    if (isSlow_)
      connection->setReadPace(SlowBytes, SlowPause);
    if (connection->readBody(head, nullptr, Millis(40000), nullptr) !=
        ReadEnd::Complete)
      return;
    connection->write(response(200,
                               {{"Attempt-Id", head.field("Attempt-Id")},
                                {"Response-Signature", "signed." + id_}},
                               "done"));
  }

  std::string id_;
  bool isSlow_;
  Listener listener_;
};

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> broken{0};
};

void submit(const std::string &ip, int port, int number, Counts *counts) {
  const int fd = connectTo(ip, port, Millis(1000));
  if (fd < 0) {
    ++counts->broken;
    return;
  }
  Connection connection(fd);
  char id[32];
  std::snprintf(id, sizeof(id), "5eb%013x", static_cast<unsigned>(number));
  ++counts->sent;
  const bool isSent =
      connection.write(
          "POST /submit/" + std::to_string(number) +
          " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
          "\r\nTime-Remaining-Ms: " + std::to_string(TimeoutMillis) +
          "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n") &&
      connection.write(std::string(BodyBytes, 'x'));
  Head answer;
  if (connection.readHead(&answer, Millis(TimeoutMillis + 1000)) !=
      ReadEnd::Complete)
    ++counts->broken;
  else if (isSent && answer.status() == 200)
    ++counts->served;
  else
    ++counts->refused;
}

int run(const std::string &caseFolder, const std::string &folder) {
  Record record(caseFolder + "/record.txt");
  Store store;
  store.put("op/config", configuration().dump());
  std::vector<std::unique_ptr<Worker>> workers;
  for (const char *id : {"i-7f3a91c2", "i-18ca9fba", "i-5e0d77aa"})
    workers.push_back(std::make_unique<Worker>(id, hasTrouble(), &store));
  std::vector<std::unique_ptr<Host>> hosts;
  for (std::size_t i = 1; i <= HostCount; ++i) {
    hosts.push_back(std::make_unique<Host>("frontend-ie-a-" + std::to_string(i),
                                           "127.0.0." + std::to_string(10 + i),
                                           store.port(), folder));
    hosts.back()->start();
  }
  for (const auto &host : hosts)
    if (!host->waitUntilReady(Millis(8000)))
      return 2;
  std::this_thread::sleep_for(Millis(2000));
  Counts counts;
  std::atomic<int> open{0};
  std::vector<int> ends(HostCount, 0);
  std::vector<double> most(HostCount, 0);
  const auto start = Clock::now();
  auto nextRequestAt = start;
  auto nextLineAt = start;
  int number = 0;
  while (Clock::now() < start + TrafficTime) {
    std::this_thread::sleep_for(Millis(10));
    if (Clock::now() >= nextRequestAt) {
      nextRequestAt += RequestGap;
      for (const auto &host : hosts) {
        ++open;
        std::thread([&counts, &open, ip = host->ip(), port = host->callerPort(),
                     n = ++number] {
          submit(ip, port, n, &counts);
          --open;
        }).detach();
      }
    }
    for (std::size_t i = 0; i < HostCount; ++i) {
      const double resident = hosts[i]->residentMb();
      most[i] = std::max(most[i], resident);
      if (resident <= MemoryMb)
        continue;
      // The platform kills a process that exceeds its memory, and starts it
      // again.
      record.line(hosts[i]->name() + " holds " + std::to_string(resident) +
                  " MB and is killed");
      hosts[i]->kill();
      hosts[i]->start();
      ++ends[i];
    }
    if (Clock::now() >= nextLineAt) {
      nextLineAt += Millis(1000);
      record.line("sent " + std::to_string(counts.sent) + ", served " +
                  std::to_string(counts.served) + ", refused or failed " +
                  std::to_string(counts.refused) + ", without an answer " +
                  std::to_string(counts.broken) + "; resident " +
                  std::to_string(hosts[0]->residentMb()) + " and " +
                  std::to_string(hosts[1]->residentMb()) + " MB");
    }
  }
  for (const auto &host : hosts)
    host->kill();
  while (open > 0)
    std::this_thread::sleep_for(Millis(20));
  bool isBroken = true;
  std::string result;
  for (std::size_t i = 0; i < HostCount; ++i) {
    isBroken = isBroken && ends[i] > AllowedEnds;
    result += hosts[i]->name() + ": " + std::to_string(ends[i]) +
              " ends over " + std::to_string(MemoryMb) + " MB, most " +
              std::to_string(most[i]) + " MB; ";
  }
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
