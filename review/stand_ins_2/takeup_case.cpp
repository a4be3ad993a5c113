/// All hosts lose power beside one software version, and consumers take their
/// streams up again once the hosts are back.

#include "model_worker.h"

#include <cstdio>

namespace {

using namespace review;
using nlohmann::json;

constexpr std::size_t HostCount = 3;
/// Streams begin at this pace.
constexpr Millis StreamGap(150);
constexpr int EventsPerStream = 40;
/// How long the hosts are down.
constexpr Millis DownTime(1000);
/// SettleWindowMs: from then on a machine is in touch again.
constexpr Millis SettleWindow(3000);
/// A consumer takes its stream up again this long after its channel broke.
constexpr Millis TakeUpAfter(5500);
constexpr int DeadlineMillis = 15000;

json configuration() {
  return {
      {"Version", 7},
      {"Routes", json::array({{{"Name", "notes"},
                               {"Host", "shop.example"},
                               {"PathPrefix", "/notes/"},
                               {"Kind", "streaming"},
                               {"Resumable", true},
                               {"Service", "model"},
                               {"MaxAttempts", 2},
                               {"TimeoutMs", DeadlineMillis},
                               {"TargetLatencyMs", 1900},
                               {"GapAimMs", 250},
                               {"StickySessions", true},
                               {"Public", true},
                               {"Priority", 0}}})},
      {"Services",
       json::array({{{"Name", "model"},
                     {"HealthPath", "/health"},
                     {"ConnectionLimit", 370},
                     {"Engine", {{"Slots", 64}, {"KvCacheTokens", 801974}}}}})},
      {"Limits",
       {{"MaxHeaderBytes", 16384},
        {"MaxBodyBytes", 4194304},
        {"HeaderTimeoutMs", 3000},
        {"IdleTimeoutMs", 15000}}}};
}

struct Counts {
  std::atomic<int> begun{0};
  std::atomic<int> fresh{0};
  std::atomic<int> takenUp{0};
  std::atomic<int> wentOn{0};
};

/// One request of a consumer. Returns its status, 0 if there was no answer.
int request(const Host &host, const std::string &id, int number, int lastEvent,
            const std::string &resumes, Millis left, int *last,
            bool *isComplete) {
  const int fd = connectTo(host.ip(), host.callerPort(), Millis(1000));
  if (fd < 0)
    return 0;
  Connection connection(fd);
  std::string head =
      "POST /notes/" + std::to_string(number) +
      " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
      "\r\nModel: m\r\nToken-Usage: 628,60\r\nPrompt-Prefix: aa" +
      std::to_string(number % 8) + ":128,bb" + std::to_string(number) +
      ":500\r\nTime-Remaining-Ms: " + std::to_string(left.count()) +
      "\r\nContent-Length: 4\r\n";
  if (lastEvent > 0)
    head += "Last-Event-Id: " + std::to_string(lastEvent) +
            "\r\nResumes: " + resumes + "\r\n";
  connection.write(head + "\r\nnote");
  Head answer;
  if (connection.readHead(&answer, left) != ReadEnd::Complete)
    return 0;
  std::string buffer;
  const ReadEnd end =
      connection.readBody(answer, nullptr, left, [&](const std::string &bytes) {
        buffer.append(bytes);
        std::size_t eventEnd = 0;
        while ((eventEnd = buffer.find("\n\n")) != std::string::npos) {
          if (buffer.compare(0, 4, "id: ") == 0)
            *last = std::stoi(buffer.substr(4));
          buffer.erase(0, eventEnd + 2);
        }
      });
  *isComplete = answer.status() == 200 && end == ReadEnd::Complete;
  return answer.status();
}

struct Traffic {
  std::vector<std::unique_ptr<Host>> hosts;
  /// From when on the hosts are in touch, after they were down.
  std::atomic<Clock::time_point::rep> inTouchSince{0};
  std::atomic<bool> areDown{false};
  Counts counts;
};

void consume(Traffic *traffic, int number, Record *record) {
  const auto deadline = Clock::now() + Millis(DeadlineMillis);
  const auto left = [&] {
    return std::chrono::duration_cast<Millis>(deadline - Clock::now());
  };
  const auto &hosts = traffic->hosts;
  char id[32];
  std::snprintf(id, sizeof(id), "7a4e%012x", static_cast<unsigned>(number));
  const bool counts = !traffic->areDown;
  int last = 0;
  bool isComplete = false;
  const Host &first = *hosts[static_cast<std::size_t>(number) % hosts.size()];
  request(first, id, number, 0, "", left(), &last, &isComplete);
  if (counts) {
    ++traffic->counts.fresh;
    traffic->counts.begun += last > 0 ? 1 : 0;
  }
  if (isComplete || last == 0)
    return;
  record->line("stream " + std::string(id) + " breaks off after event " +
               std::to_string(last));
  std::this_thread::sleep_for(TakeUpAfter);
  if (left() < Millis(1000))
    return;
  char second[32];
  std::snprintf(second, sizeof(second), "7a4f%012x",
                static_cast<unsigned>(number));
  const Host &other =
      *hosts[static_cast<std::size_t>(number + 1) % hosts.size()];
  const bool isInTouch =
      Clock::now().time_since_epoch().count() >= traffic->inTouchSince;
  const int before = last;
  const int status =
      request(other, second, number, last, id, left(), &last, &isComplete);
  record->line("taken up as " + std::string(second) + " at " + other.name() +
               (isInTouch ? "" : " (not in touch)") + ": answered " +
               std::to_string(status) + ", " + std::to_string(last - before) +
               " events");
  if (!isInTouch)
    return;
  ++traffic->counts.takenUp;
  traffic->counts.wentOn += last > before ? 1 : 0;
}

int run(const std::string &caseFolder, const std::string &folder) {
  Record record(caseFolder + "/record.txt");
  Store store;
  store.put("op/config", configuration().dump());
  std::vector<std::unique_ptr<ModelWorker>> workers;
  for (const char *id : {"i-7f3a91c2", "i-18ca9fba", "i-5e0d77aa"}) {
    workers.push_back(
        std::make_unique<ModelWorker>(id, EventsPerStream, &store, &record));
    workers.back()->start("v1");
  }
  Traffic traffic;
  for (std::size_t i = 1; i <= HostCount; ++i) {
    traffic.hosts.push_back(std::make_unique<Host>(
        "frontend-ie-a-" + std::to_string(i),
        "127.0.0." + std::to_string(10 + i), store.port(), folder));
    traffic.hosts.back()->start();
  }
  for (const auto &host : traffic.hosts)
    if (!host->waitUntilReady(Millis(8000)))
      return 2;
  // The hosts have seen one version for longer than a stream may last.
  std::this_thread::sleep_for(Millis(20000));
  std::atomic<bool> isRunning{true};
  std::vector<std::thread> consumers;
  std::thread generator([&] {
    auto next = Clock::now();
    for (int number = 0; isRunning; ++number) {
      next += StreamGap;
      std::this_thread::sleep_until(next);
      consumers.emplace_back(consume, &traffic, number, &record);
    }
  });
  std::this_thread::sleep_for(Millis(8000));
  if (hasTrouble()) {
    record.line("all hosts lose power");
    traffic.areDown = true;
    for (const auto &host : traffic.hosts)
      host->kill();
    std::this_thread::sleep_for(DownTime);
    for (const auto &host : traffic.hosts)
      host->start();
    record.line("all hosts start");
    traffic.inTouchSince =
        (Clock::now() + SettleWindow).time_since_epoch().count();
    std::this_thread::sleep_for(Millis(1000));
    traffic.areDown = false;
  }
  std::this_thread::sleep_for(Millis(8000));
  isRunning = false;
  generator.join();
  for (std::thread &consumer : consumers)
    consumer.join();
  const Counts &counts = traffic.counts;
  const std::string result = std::to_string(counts.wentOn) + " of " +
                             std::to_string(counts.takenUp) +
                             " streams taken up at hosts in touch went on; " +
                             std::to_string(counts.begun) + " of " +
                             std::to_string(counts.fresh) + " new ones began";
  record.line(result);
  std::puts(result.c_str());
  const bool isBroken =
      counts.takenUp >= 12 &&
      2 * counts.wentOn * counts.fresh < counts.begun * counts.takenUp;
  return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  try {
    return run(argv[1], argv[2]);
  } catch (const std::exception &error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
