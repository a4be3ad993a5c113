#include "deployment.h"

#include "platform/testing/free_ports.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <future>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr const char *Program = "target/platform/auburnspring-platformd";
constexpr std::chrono::milliseconds RestartDelay(500);
constexpr std::chrono::seconds StartPatience(15);

std::string uniqueFolder() {
  std::string name = "/tmp/auburnspring-review-XXXXXX";
  if (::mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  return name;
}

long residentKilobytes(pid_t process) {
  std::ifstream file(fmt::format("/proc/{}/status", process));
  std::string line;
  while (std::getline(file, line))
    if (line.rfind("VmRSS:", 0) == 0)
      return std::atol(line.c_str() + 6);
  return 0;
}

} // namespace

Deployment::Deployment(Options options, const std::string &recordFile)
    : options_(std::move(options)), record_(recordFile),
      work_(asio::make_work_guard(io_)), store_(io_), folder_(uniqueFolder()) {
  using auburnspring::platform::freePorts;
  const std::vector<std::uint16_t> ports =
      freePorts(io_, static_cast<std::size_t>(options_.machines) * 5);
  for (int i = 0; i < options_.machines; ++i) {
    const std::uint16_t *port = &ports[static_cast<std::size_t>(i) * 5];
    auto machine = std::make_unique<Machine>();
    machine->name = fmt::format("frontend-{}-1", static_cast<char>('a' + i));
    machine->zone = options_.isOneZone
                        ? "zone-a"
                        : fmt::format("zone-{}", static_cast<char>('a' + i));
    machine->ip = "127.0.0.1";
    machine->frontend = port[0];
    machine->readiness = port[1];
    machine->settingsFile = fmt::format("{}/{}.json", folder_, machine->name);
    machine->logFile = fmt::format("{}/{}.log", folder_, machine->name);
    nlohmann::json settings = {
        {"host", machine->name},
        {"data_centre", machine->zone},
        {"callers", fmt::format("{}:{}", machine->ip, port[0])},
        {"readiness", fmt::format("{}:{}", machine->ip, port[1])},
        {"ip", machine->ip},
        {"peer_port", port[2]},
        {"hand_over_port", port[3]},
        {"metrics_port", port[4]},
        {"peer_key", "auburnspring"},
        {"processor_share", 0.25},
        {"retry_ratio", 0.2},
        {"retry_slack", 56},
        {"retry_window_s", 10},
        {"stop_timeout_s", 8},
        {"store", toString(store_.endpoint())}};
    settings.update(options_.settings);
    std::ofstream(machine->settingsFile) << settings.dump(2) << "\n";
    if (options_.linkBytesPerSecond > 0)
      addLink(*machine, port[2]);
    machines_.push_back(std::move(machine));
  }
}

void Deployment::addLink(const Machine &machine, std::uint16_t peerPort) {
  const auto link = links_.emplace(
      machine.name,
      std::make_unique<Link>(io_, peerPort, options_.linkBytesPerSecond));
  (void)link;
  // The machines meet each other at the addresses of their links.
  store_.transformWrite = [this](const std::string &key,
                                 const std::string &value) {
    const std::string prefix = "hosts/";
    const auto found = key.rfind(prefix, 0) == 0
                           ? links_.find(key.substr(prefix.size()))
                           : links_.end();
    if (found == links_.end())
      return value;
    return fmt::format("127.0.0.1:{}{}", found->second->port(),
                       value.substr(value.find(' ')));
  };
}

void Deployment::stop() {
  isEnding_ = true;
  if (prober_.joinable())
    prober_.join();
  for (const auto &machine : machines_)
    if (machine->process > 0) {
      ::kill(machine->process, SIGCONT);
      ::kill(machine->process, SIGKILL);
      ::waitpid(machine->process, nullptr, 0);
      machine->process = -1;
    }
  io_.stop();
  if (thread_.joinable())
    thread_.join();
}

Deployment::~Deployment() {
  stop();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    record_.say("logs are in " + folder_);
    return;
  }
  for (const auto &machine : machines_) {
    ::unlink(machine->settingsFile.c_str());
    ::unlink(machine->logFile.c_str());
  }
  ::rmdir(folder_.c_str());
}

Worker *Deployment::addWorker(const Service &service, const std::string &id,
                              const std::string &zone) {
  workers_.push_back(std::make_unique<Worker>(io_, &store_, &record_, service,
                                              id, zone, &results_));
  return workers_.back().get();
}

void Deployment::startProcess(Machine *machine) {
  const pid_t child = ::fork();
  if (child == 0) {
    // It ends with this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(machine->logFile.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    const std::string boot = "AUBURNSPRING_BOOT=" + machine->settingsFile;
    const char *arguments[] = {Program, "--settings-from", "AUBURNSPRING_BOOT",
                               nullptr};
    const char *environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp",
                                 boot.c_str(), nullptr};
    ::execve(Program, const_cast<char *const *>(arguments),
             const_cast<char *const *>(environment));
    ::_exit(127);
  }
  machine->process = child;
  machine->restartAt = Clock::time_point();
}

bool Deployment::start(const nlohmann::json &configuration) {
  store_.put("op/config", configuration.dump());
  for (const auto &worker : workers_)
    worker->publish();
  for (const auto &machine : machines_)
    startProcess(machine.get());
  thread_ = std::thread([this] { io_.run(); });
  prober_ = std::thread([this] { askReadiness(); });
  const auto until = Clock::now() + StartPatience;
  while (Clock::now() < until) {
    sleep(0.1);
    bool areReady = true;
    for (const auto &machine : machines_)
      areReady = areReady && machine->isReady;
    if (areReady) {
      // All machines know each other by then.
      sleep(3);
      return true;
    }
  }
  return false;
}

void Deployment::call(const std::function<void()> &action) {
  std::promise<void> done;
  asio::post(io_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void Deployment::sleep(double seconds) {
  const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                        std::chrono::duration<double>(seconds));
  while (Clock::now() < until) {
    tick();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

void Deployment::checkMemory(Machine *machine) {
  const long used = residentKilobytes(machine->process) / 1000;
  machine->mostMb = std::max(machine->mostMb, used);
  if (options_.memoryMb == 0 || used <= options_.memoryMb)
    return;
  record_.say(fmt::format("the process on {} uses {} MB and is killed",
                          machine->name, used));
  ::kill(machine->process, SIGKILL);
}

void Deployment::tick() {
  for (const auto &machine : machines_) {
    if (machine->process > 0) {
      int status = 0;
      if (::waitpid(machine->process, &status, WNOHANG) != machine->process) {
        checkMemory(machine.get());
        continue;
      }
      machine->process = -1;
      machine->isReady = false;
      machine->restartAt = Clock::now() + RestartDelay;
      ++machine->ownEnds;
      record_.say(fmt::format(
          "the process on {} ended by itself: {} {}", machine->name,
          WIFSIGNALED(status) ? "signal" : "code",
          WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)));
      std::ifstream log(machine->logFile);
      std::string line;
      while (std::getline(log, line))
        if (line.rfind("terminate", 0) == 0 || line.rfind("  what", 0) == 0)
          record_.say("it wrote: " + line);
    } else if (Clock::now() >= machine->restartAt) {
      startProcess(machine.get());
      record_.say(
          fmt::format("the platform starts the process on {}", machine->name));
    }
  }
}

void Deployment::askReadiness() {
  std::vector<int> misses(machines_.size(), 2);
  while (!isEnding_) {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      Machine &machine = *machines_[i];
      Channel channel;
      const bool isOk =
          channel.open(machine.ip, machine.readiness) &&
          channel.send("GET /api/readiness HTTP/1.1\r\nHost: node\r\n\r\n") &&
          channel.receive(std::chrono::milliseconds(500)).status == 200;
      misses[i] = isOk ? 0 : misses[i] + 1;
      machine.isReady = misses[i] < 2;
    }
    for (int i = 0; i < 10 && !isEnding_; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

std::string requestText(const std::string &method, const std::string &host,
                        const std::string &path, const std::string &id,
                        int patienceMs, const std::string &headers,
                        const std::string &body) {
  std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: "
                                 "{}\r\nTime-Remaining-Ms: {}\r\n{}",
                                 method, path, host, id, patienceMs, headers);
  if (method == "POST")
    text += fmt::format("Content-Length: {}\r\n", body.size());
  return text + "\r\n" + body;
}

std::string newId() {
  thread_local std::mt19937_64 random(std::random_device{}());
  return fmt::format("{:016x}", random());
}

} // namespace review
