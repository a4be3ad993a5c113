/// Streams beside workers that restart in place with a newer software version
/// while the store is away: no stream may hold events of two versions.

#include "model_worker.h"

#include <cstdio>

namespace {

using namespace review;
using nlohmann::json;

constexpr int Consumers = 48;
/// Time from the begin of a run to its first event.
constexpr Millis FirstEventTime(900);
/// A channel ends when nothing has been acknowledged on it for so long.
constexpr Millis UserTimeout(1600);
constexpr int EventsPerStream = 50;
constexpr int Tries = 3;

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
                               {"TimeoutMs", 15000},
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

/// One stream of a consumer, over all its tries.
struct Stream {
  std::set<std::string> versions;
  std::vector<int> events;
  bool isComplete = false;
  std::string firstAttempt;
};

void takeEvents(std::string *buffer, const std::string &bytes,
                const std::string &attempt, Stream *stream) {
  buffer->append(bytes);
  std::size_t end = 0;
  while ((end = buffer->find("\n\n")) != std::string::npos) {
    const std::string event = buffer->substr(0, end);
    buffer->erase(0, end + 2);
    const std::size_t data = event.find("data: ");
    if (data == std::string::npos)
      continue;
    stream->versions.insert(event.substr(data + 6, 2));
    stream->events.push_back(std::stoi(event.substr(4)));
    if (stream->firstAttempt.empty())
      stream->firstAttempt = attempt;
  }
}

void consume(int number, std::vector<std::unique_ptr<Host>> *hosts,
             Stream *stream, Record *record) {
  const auto deadline = Clock::now() + Millis(15000);
  Millis pause(0);
  for (int attempt = 0; attempt <= Tries && !stream->isComplete; ++attempt) {
    std::this_thread::sleep_for(pause);
    pause = Millis(300);
    const auto left =
        std::chrono::duration_cast<Millis>(deadline - Clock::now());
    if (left < Millis(500))
      return;
    const Host &host =
        *(*hosts)[static_cast<std::size_t>(attempt) % hosts->size()];
    char id[32];
    std::snprintf(id, sizeof(id), "%08x%08x", 0x5ac0000 + number,
                  static_cast<unsigned>(attempt));
    const int fd = connectTo(host.ip(), host.callerPort(), Millis(1000));
    if (fd < 0)
      continue;
    Connection connection(fd);
    std::string head =
        "POST /notes/" + std::to_string(number) +
        " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
        "\r\nModel: m\r\nToken-Usage: 628,60\r\n"
        "Prompt-Prefix: aa" +
        std::to_string(number % 4) + ":128,bb" + std::to_string(number) +
        ":500\r\nTime-Remaining-Ms: " + std::to_string(left.count()) +
        "\r\nContent-Length: 4\r\n";
    if (!stream->events.empty())
      head += "Last-Event-Id: " + std::to_string(stream->events.back()) +
              "\r\nResumes: " + stream->firstAttempt + "\r\n";
    record->line(
        "consumer " + std::to_string(number) + " sends " + id + " to " +
        host.name() + " after event " +
        std::to_string(stream->events.empty() ? 0 : stream->events.back()));
    connection.write(head + "\r\nnote");
    Head answer;
    if (connection.readHead(&answer, left) != ReadEnd::Complete) {
      record->line(std::string(id) + " gets no answer");
      continue;
    }
    std::string buffer;
    const ReadEnd end = connection.readBody(
        answer, nullptr, left, [&](const std::string &bytes) {
          if (answer.status() == 200)
            takeEvents(&buffer, bytes, id, stream);
        });
    stream->isComplete = answer.status() == 200 && end == ReadEnd::Complete;
    record->line(
        std::string(id) + " is answered " + std::to_string(answer.status()) +
        (end == ReadEnd::Complete ? ", complete" : ", broken off") +
        ", last event " +
        std::to_string(stream->events.empty() ? 0 : stream->events.back()));
    const std::string retryAfter = answer.field("Retry-After");
    if (!retryAfter.empty())
      pause = Millis(static_cast<int>(1000 * std::stod(retryAfter)));
  }
}

int run(const std::string &caseFolder, const std::string &folder) {
  Record record(caseFolder + "/record.txt");
  Store store;
  store.put("op/config", configuration().dump());
  std::vector<std::unique_ptr<ModelWorker>> workers;
  for (const char *id : {"i-7f3a91c2", "i-18ca9fba", "i-5e0d77aa"}) {
    workers.push_back(
        std::make_unique<ModelWorker>(id, EventsPerStream, &store, &record));
    workers.back()->setFirstEventTime(FirstEventTime);
    workers.back()->start(workers.size() == 2 ? "v2" : "v1");
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 2; ++i)
    hosts.push_back(std::make_unique<Host>("frontend-ie-a-" + std::to_string(i),
                                           "127.0.0." + std::to_string(10 + i),
                                           store.port(), folder));
  // The way of the first host to the second one.
  Proxy way(hosts[1]->ip(), hosts[1]->peerPort());
  hosts[0]->setStorePort(
      store.addView([key = "hosts/" + hosts[1]->name(),
                     address = "127.0.0.1:" + std::to_string(way.port())](
                        const std::string &read, const std::string &value) {
        return read == key ? address + value.substr(value.find(' ')) : value;
      }));
  for (const auto &host : hosts)
    host->start();
  for (const auto &host : hosts)
    if (!host->waitUntilReady(Millis(8000)))
      return 2;
  std::this_thread::sleep_for(Millis(5000));
  std::vector<Stream> streams(Consumers);
  std::vector<std::thread> consumers;
  for (int i = 0; i < Consumers; ++i)
    consumers.emplace_back(consume, i, &hosts,
                           &streams[static_cast<std::size_t>(i)], &record);
  std::this_thread::sleep_for(Millis(600));
  if (hasTrouble()) {
    record.line("the channel from the first host to the second falls silent");
    way.silenceOpenChannels(UserTimeout);
  }
  std::this_thread::sleep_for(Millis(100));
  workers[0]->crash();
  std::this_thread::sleep_for(Millis(2800));
  workers[1]->crash();
  for (std::thread &consumer : consumers)
    consumer.join();
  int mixed = 0;
  int complete = 0;
  for (const Stream &stream : streams) {
    mixed += stream.versions.size() > 1 ? 1 : 0;
    complete += stream.isComplete ? 1 : 0;
  }
  const std::string result = std::to_string(mixed) + " of " +
                             std::to_string(Consumers) +
                             " streams hold events of two software versions; " +
                             std::to_string(complete) + " ended as complete";
  record.line(result);
  std::puts(result.c_str());
  // The rule allows two.
  return mixed > 2 ? 1 : 0;
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
