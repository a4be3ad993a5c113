// Cost of the peer mesh for each entry host at rising numbers of hosts:
// messages, bytes, processor time and memory without load; time until all hosts
// detect a failed one; time until a publish is in force on all hosts, and the
// key-value reads it takes. Prints one line per size.
#include "auburnspring/model/simulation.h"
#include "auburnspring/wire/peer_codec.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <cstdlib>
#include <ctime>

namespace {

using namespace auburnspring;

constexpr Duration WarmUpDuration = std::chrono::seconds(40);
constexpr Duration IdleDuration = std::chrono::seconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(50);
constexpr Duration ConvergenceTimeout = std::chrono::seconds(60);
constexpr const char *PeerKey = "a peer key of the usual length";
// Bytes of a websocket frame and of the TCP and IP headers of one message.
constexpr std::size_t FrameBytes = 14 + 40;

constexpr const char *RouteText =
    R"({"name":"%","owner":"o","deadline_ms":2000,"repeat":"always",)"
    R"("stages":[{"kind":"encode","pool":"p"}]})";

std::string routeText(const std::string &name) {
  std::string text = RouteText;
  return text.replace(text.find('%'), 1, name);
}

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double residentMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

std::size_t aliveMembersOn(Simulation *simulation, std::size_t host) {
  const nlohmann::json dump =
      simulation->host(host)->dump({simulation->now(), {}});
  std::size_t alive = 0;
  for (const nlohmann::json &member : dump.at("members"))
    alive += member.at("state") == "alive" || member.at("state") == "suspect";
  return alive;
}

std::uint64_t generationOn(Simulation *simulation, std::size_t host) {
  const nlohmann::json dump =
      simulation->host(host)->dump({simulation->now(), {}});
  return dump.at("configuration").at("generation").get<std::uint64_t>();
}

// Runs until `isDone` is true for every host that is up, for at most
// ConvergenceTimeout; returns the seconds this took.
template <typename Predicate>
double secondsUntil(Simulation *simulation, Predicate isDone) {
  const TimePoint start = simulation->now();
  while (simulation->now() - start < ConvergenceTimeout) {
    bool all = true;
    for (std::size_t i = 0; all && i < simulation->hostCount(); ++i)
      all = simulation->host(i) == nullptr || isDone(i);
    if (all)
      break;
    simulation->runFor(PollInterval);
  }
  return toMillis(simulation->now() - start) / 1000;
}

void measure(std::size_t hosts) {
  const double memoryBefore = residentMegabytes();
  Traffic traffic;
  Simulation::Options options;
  options.seed = 99;
  options.hosts = hosts;
  options.dataCentres = 8;
  options.onSendToPeer = [&traffic](std::size_t /*from*/,
                                    const SendToPeer &send) {
    ++traffic.messages;
    PeerEnvelope envelope{"entry-100", send.host, 1700000000000000, 100000,
                          send.message};
    traffic.bytes += encodeEnvelope(envelope, PeerKey).size() + FrameBytes;
  };
  Simulation simulation(options);
  simulation.start();
  simulation.publish({{"one", routeText("one")}});
  simulation.runFor(WarmUpDuration);
  const double memory =
      (residentMegabytes() - memoryBefore) / static_cast<double>(hosts);

  traffic = Traffic();
  const std::uint64_t readsBefore = simulation.keyValue().reads;
  const double cpuBefore = cpuSeconds();
  simulation.runFor(IdleDuration);
  const double perHostSecond =
      static_cast<double>(hosts) * toMillis(IdleDuration) / 1000;
  const double cpu = (cpuSeconds() - cpuBefore) / perHostSecond;
  const double messages = static_cast<double>(traffic.messages) / perHostSecond;
  const double bytes = static_cast<double>(traffic.bytes) / perHostSecond;
  const double reads =
      static_cast<double>(simulation.keyValue().reads - readsBefore) /
      (toMillis(IdleDuration) / 1000);

  const std::uint64_t callsBefore = simulation.keyValue().reads;
  const std::uint64_t generation =
      simulation.publish({{"two", routeText("two")}});
  const double publishSeconds =
      secondsUntil(&simulation, [&](std::size_t host) {
        return generationOn(&simulation, host) >= generation;
      });
  const auto calls =
      static_cast<double>(simulation.keyValue().reads - callsBefore);

  simulation.kill(hosts - 1);
  const double detectionSeconds =
      secondsUntil(&simulation, [&](std::size_t host) {
        return aliveMembersOn(&simulation, host) == hosts - 1;
      });
  fmt::print("{:>6} {:>9.2f} {:>9.2f} {:>9.3f} {:>9.2f} {:>9.1f} {:>10.2f} "
             "{:>8.0f} {:>9.2f}\n",
             hosts, messages, bytes / 1000, 100 * cpu, memory, reads,
             publishSeconds, calls, detectionSeconds);
}

} // namespace

int main(int argc, char **argv) {
  fmt::print("{:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>9}\n",
             "hosts", "msgs/s", "kB/s", "cpu %", "MB", "kv r/s", "in force s",
             "kv reads", "death s");
  if (argc > 1) {
    for (int i = 1; i < argc; ++i)
      measure(std::strtoul(argv[i], nullptr, 10));
    return EXIT_SUCCESS;
  }
  for (const std::size_t hosts : {3, 9, 48, 96, 190, 380})
    measure(hosts);
  return EXIT_SUCCESS;
}
