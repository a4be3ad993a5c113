// A large configuration changes several times in a fleet of sixteen machines.
#include "deployment.h"

#include <fmt/format.h>

#include <algorithm>

using namespace review;

namespace {

constexpr int Machines = 16;
/// 10 Mbit/s, as the sheet's smaller machines have.
constexpr std::size_t LinkBytesPerSecond = 1250000;
/// As after two entries of `big_config` with 1,400 routes each.
constexpr int Routes = 2850;
constexpr int Changes = 11;
constexpr std::chrono::milliseconds ChangeGap(400);
constexpr std::chrono::milliseconds ConfigApply(3000);
/// All machines are asked once a second, so many times.
constexpr int Rounds = 25;

nlohmann::json route(const std::string &name) {
  return {{"Name", "r-" + name},
          {"Host", "lots.example"},
          {"PathPrefix", "/" + name + "/fi50/"},
          {"Kind", "safe"},
          {"TimeoutMs", 1500},
          {"TargetLatencyMs", 150},
          {"Priority", 2},
          {"Service", "desk"},
          {"MaxAttempts", 2},
          {"Public", true},
          {"StickySessions", false},
          {"Resumable", false}};
}

/// Version `number` has the routes change-1 to change-`number`.
nlohmann::json configuration(int number) {
  nlohmann::json routes = nlohmann::json::array();
  for (int i = 0; i < Routes; ++i)
    routes.push_back(route(fmt::format("cufi{}", i)));
  for (int i = 1; i <= number; ++i)
    routes.push_back(route(fmt::format("change-{}", i)));
  return {{"Version", 3 + number},
          {"Routes", std::move(routes)},
          {"Services",
           {{{"Name", "desk"},
             {"HealthPath", "/health"},
             {"ConnectionLimit", 370}}}},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}}};
}

class Case {
public:
  Case(bool hasTrouble, const std::string &recordFile)
      : hasTrouble_(hasTrouble),
        deployment_(
            {Machines, nlohmann::json::object(), 0, true, LinkBytesPerSecond},
            recordFile) {}

  int run() {
    Service desk;
    desk.name = "desk";
    desk.slots = 64;
    for (int i = 0; i < 4; ++i)
      deployment_.addWorker(desk, fmt::format("i-{}", i + 1), "zone-a");
    std::vector<std::string> versions;
    for (int i = 0; i <= Changes; ++i)
      versions.push_back(configuration(i).dump());
    deployment_.record().say(fmt::format("a configuration of {} routes has {} "
                                         "bytes",
                                         Routes, versions[0].size()));
    if (!deployment_.start(configuration(0)))
      return 2;
    deployment_.sleep(3);
    for (int i = 1; i <= Changes && hasTrouble_; ++i) {
      deployment_.call(
          [&] { deployment_.store().put("op/config", versions[i]); });
      ackedAt_[i] = Clock::now();
      deployment_.record().say(
          fmt::format("version {} is acknowledged", 3 + i));
      deployment_.sleep(std::chrono::duration<double>(ChangeGap).count());
    }
    for (int round = 0; round < Rounds; ++round) {
      deployment_.sleep(1);
      for (int i = 0; i < Machines; ++i)
        ask(deployment_.machine(static_cast<std::size_t>(i)));
    }
    return conclude();
  }

private:
  /// Asks for the newest route that must be in force.
  void ask(Machine &machine) {
    int newest = 0;
    for (int i = 1; i <= Changes; ++i)
      if (hasTrouble_ && Clock::now() > ackedAt_[i] + ConfigApply)
        newest = i;
    const std::string name =
        newest == 0 ? "cufi1" : fmt::format("change-{}", newest);
    Channel channel;
    const std::string id = newId();
    if (!channel.open(machine.ip, machine.frontend) ||
        !channel.send(requestText("GET", "lots.example", "/" + name + "/fi50/1",
                                  id, 1500, "", "")))
      return;
    const Answer answer = channel.receive(std::chrono::milliseconds(1800));
    ++asked_;
    deployment_.record().add(fmt::format("request {} for {} at {}: {}", id,
                                         name, machine.name, answer.status));
    if (answer.status == 200)
      ++served_;
    if (answer.status == 404) {
      ++stale_;
      staleAt_[machine.name] = std::max(
          staleAt_[machine.name],
          std::chrono::duration<double>(
              Clock::now() - ackedAt_[static_cast<std::size_t>(newest)])
              .count());
    }
  }

  int conclude() {
    Record &record = deployment_.record();
    record.say(
        fmt::format("{} requests, {} served, {} answered 404 although the "
                    "version with their route had been acknowledged over "
                    "{} ms before they were sent",
                    asked_, served_, stale_, ConfigApply.count()));
    for (const auto &entry : staleAt_)
      record.say(fmt::format("{} answered 404 up to {:.1f} s after the "
                             "acknowledgement",
                             entry.first, entry.second));
    record.say(stale_ > 0 ? "CONFIG is broken" : "CONFIG holds");
    if (served_ == 0)
      return 2;
    return stale_ > 0 ? 1 : 0;
  }

  bool hasTrouble_;
  std::array<Clock::time_point, Changes + 1> ackedAt_;
  std::map<std::string, double> staleAt_;
  int asked_ = 0;
  int served_ = 0;
  int stale_ = 0;
  Deployment deployment_;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  return Case(std::string(argv[1]) != "0", argv[2]).run();
}
