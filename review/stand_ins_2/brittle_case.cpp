/// Workers become brittle in a burst: they say so, and fall over when they turn
/// too many requests away in a second.

#include "deployment.h"

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>

namespace {

using namespace review;
using nlohmann::json;

constexpr int WorkerCount = 6;
constexpr std::size_t Slots = 12;
/// Requests that a worker lets wait until it is brittle, and no more after.
constexpr std::size_t Queue = 36;
/// Server-Brittle: a worker that turns more away in a second falls over.
constexpr std::size_t Brittle = 3;
/// Time of a stream, of this many events.
constexpr Millis StreamTime(1500);
constexpr int EventsPerStream = 10;
/// Requests to each host: 75 a second in all, where 48 can be served.
constexpr Millis RequestGap(40);
constexpr std::size_t HostCount = 3;
constexpr int DeadlineMillis = 12000;
/// A consumer abandons a stream after a gap of this length.
constexpr Millis Patience(7600);
/// From then on they may let fewer wait.
constexpr Millis SettleWindow(4000);
/// How long a worker is down that has fallen over.
constexpr Millis DownTime(2000);
constexpr Millis TimeBefore(5000);
constexpr Millis BrittleTime(11000);
/// Falls that the rule allows.
constexpr int AllowedFalls = 2 + WorkerCount / 10;

class Worker {
public:
  Worker(std::string id, Store *store, Record *record)
      : id_(std::move(id)), store_(store), record_(record),
        listener_([this](Connection *c) { serve(c); }) {
    listener_.start("127.0.0.1", 0);
    writeEntry();
  }
  void setBrittle() {
    const std::lock_guard<std::mutex> lock(mutex_);
    brittleSince_ = Clock::now();
  }
  int falls() const { return falls_; }
  int rejections() const { return rejected_; }
  int runs() const { return runs_; }

private:
  void writeEntry() {
    store_->put(
        "servers/" + id_,
        json{{"Service", "model"},
             {"Address", "127.0.0.1:" + std::to_string(listener_.port())},
             {"Zone", "ie-a"},
             {"Version", "v1"},
             {"Slots", Slots},
             {"State", "ready"},
             {"ColdRemainingMs", 0},
             {"Sequence", 1},
             {"born", unixMillis()}}
            .dump());
  }

  std::vector<std::pair<std::string, std::string>>
  fields(const std::string &attempt) {
    std::vector<std::pair<std::string, std::string>> all = {
        {"Attempt-Id", attempt}};
    if (brittleSince_ != Clock::time_point())
      all.emplace_back("Server-Brittle", std::to_string(Brittle));
    return all;
  }

  void serve(Connection *connection) {
    Head head;
    if (connection->readHead(&head, Millis(2000)) != ReadEnd::Complete ||
        connection->readBody(head, nullptr, Millis(2000), nullptr) !=
            ReadEnd::Complete)
      return;
    const std::string attempt = head.field("Attempt-Id");
    std::unique_lock<std::mutex> lock(mutex_);
    const bool isBrittle = brittleSince_ != Clock::time_point() &&
                           Clock::now() > brittleSince_ + SettleWindow;
    if (Clock::now() < downUntil_)
      return;
    const std::size_t room = isBrittle ? 0 : Queue;
    if (running_ + waiting_ >= Slots + room) {
      auto all = fields(attempt);
      all.emplace_back("Not-Executed", "1");
      ++rejected_;
      rejections_.push_back(Clock::now());
      while (rejections_.front() + Millis(1000) < Clock::now())
        rejections_.pop_front();
      connection->write(response(503, all, ""));
      if (isBrittle && rejections_.size() > Brittle)
        fall();
      return;
    }
    const int life = life_;
    ++waiting_;
    while (running_ >= Slots && life == life_)
      slotFree_.wait_for(lock, Millis(20));
    --waiting_;
    if (life != life_ || connection->hasInput(Millis(0))) {
      return;
    }
    ++running_;
    ++runs_;
    lock.unlock();
    auto all = fields(attempt);
    std::string text = "HTTP/1.1 200 OK\r\nResponse-Signature: signed." + id_ +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &field : all)
      text += field.first + ": " + field.second + "\r\n";
    bool isOpen = connection->write(text + "\r\n");
    for (int event = 1; event <= EventsPerStream && isOpen; ++event) {
      const std::string bytes =
          "id: " + std::to_string(event) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
      isOpen = connection->write(size + bytes + "\r\n") &&
               !connection->hasInput(StreamTime / EventsPerStream) &&
               life == life_;
    }
    lock.lock();
    if (life == life_) {
      --running_;
      slotFree_.notify_all();
    }
    if (isOpen && life == life_)
      connection->write("0\r\n\r\n");
  }

  void fall() {
    ++falls_;
    ++life_;
    running_ = 0;
    downUntil_ = Clock::now() + DownTime;
    rejections_.clear();
    record_->line("worker " + id_ + " falls over");
    slotFree_.notify_all();
    std::thread([this] {
      std::this_thread::sleep_for(DownTime);
      writeEntry();
    }).detach();
  }

  std::string id_;
  Store *store_;
  Record *record_;
  std::mutex mutex_;
  std::condition_variable slotFree_;
  Clock::time_point brittleSince_;
  Clock::time_point downUntil_;
  std::size_t running_ = 0;
  std::size_t waiting_ = 0;
  std::atomic<int> life_{0};
  std::atomic<int> falls_{0};
  std::atomic<int> rejected_{0};
  std::atomic<int> runs_{0};
  std::deque<Clock::time_point> rejections_;
  Listener listener_;
};

json configuration() {
  return {{"Version", 7},
          {"Routes", json::array({{{"Name", "query"},
                                   {"Host", "query.example"},
                                   {"PathPrefix", "/query/"},
                                   {"Kind", "streaming"},
                                   {"Resumable", false},
                                   {"Service", "model"},
                                   {"MaxAttempts", 1},
                                   {"TimeoutMs", DeadlineMillis},
                                   {"TargetLatencyMs", 1900},
                                   {"GapAimMs", 300},
                                   {"Public", true},
                                   {"Priority", 2}}})},
          {"Services",
           json::array(
               {{{"Name", "model"},
                 {"HealthPath", "/health"},
                 {"ConnectionLimit", 220},
                 {"Engine", {{"Slots", Slots}, {"KvCacheTokens", 695480}}}}})},
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

void stream(const Host &host, int number, Counts *counts) {
  ++counts->sent;
  const int fd = connectTo(host.ip(), host.callerPort(), Millis(1000));
  if (fd < 0)
    return;
  Connection connection(fd);
  char id[32];
  std::snprintf(id, sizeof(id), "b417%012x", static_cast<unsigned>(number));
  connection.write("POST /query/" + std::to_string(number) +
                   " HTTP/1.1\r\nHost: query.example\r\nAttempt-Id: " + id +
                   "\r\nModel: m\r\nToken-Usage: 628,40\r\nPrompt-Prefix: aa" +
                   std::to_string(number % 40) + ":119,bb" +
                   std::to_string(number) +
                   ":500\r\nContent-Length: 0\r\nTime-Remaining-Ms: " +
                   std::to_string(DeadlineMillis) + "\r\n\r\n");
  Head answer;
  if (connection.readHead(&answer, Patience) == ReadEnd::Complete &&
      answer.status() == 200 &&
      connection.readBody(answer, nullptr, Patience, nullptr) ==
          ReadEnd::Complete)
    ++counts->served;
}

int run(const std::string &caseFolder, const std::string &folder) {
  Record record(caseFolder + "/record.txt");
  Store store;
  store.put("op/config", configuration().dump());
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= WorkerCount; ++i)
    workers.push_back(std::make_unique<Worker>(
        "i-7f3a9" + std::to_string(100 + i), &store, &record));
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
  std::this_thread::sleep_for(Millis(4000));
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
          stream(*to, number, &counts);
          --open;
        }).detach();
      }
    });
  std::this_thread::sleep_for(TimeBefore);
  if (hasTrouble()) {
    for (const auto &worker : workers)
      worker->setBrittle();
    record.line("the workers are brittle");
  }
  std::this_thread::sleep_for(BrittleTime);
  isRunning = false;
  for (std::thread &thread : traffic)
    thread.join();
  while (open > 0)
    std::this_thread::sleep_for(Millis(10));
  int falls = 0;
  int rejections = 0;
  int runs = 0;
  for (const auto &worker : workers) {
    falls += worker->falls();
    rejections += worker->rejections();
    runs += worker->runs();
  }
  const std::string result =
      std::to_string(falls) + " falls of " + std::to_string(WorkerCount) +
      " workers, " + std::to_string(AllowedFalls) + " are allowed; " +
      std::to_string(rejections) + " rejections, " + std::to_string(runs) +
      " runs; " + std::to_string(counts.served) + " of " +
      std::to_string(counts.sent) + " were served";
  record.line(result);
  std::puts(result.c_str());
  return falls > AllowedFalls ? 1 : 0;
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
