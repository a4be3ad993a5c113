#include "deployment.h"

#include "auburnspring/base/clock.h"
#include "platform/testing/free_ports.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace auburnspring::review {

namespace {

constexpr const char *Program = "target/platform/auburnspring-platformd";
constexpr const char *Loopback = "127.0.0.1";
/// Callers, readiness, peers, hand-overs, metrics.
constexpr std::size_t PortsPerHost = 5;
constexpr Duration ProbeInterval = std::chrono::milliseconds(100);
/// Time from the end of a process to its next start.
constexpr Duration RestartDelay = std::chrono::milliseconds(300);

std::string makeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  return path;
}

} // namespace

Deployment::Deployment(asio::io_context &io, Record *record,
                       std::size_t hostCount, Endpoint store,
                       std::size_t sparePorts)
    : io_(io), record_(record), folder_(makeFolder()), readyTimer_(io) {
  const std::vector<std::uint16_t> ports =
      platform::freePorts(io, hostCount * PortsPerHost + sparePorts);
  sparePorts_.assign(ports.end() - static_cast<std::ptrdiff_t>(sparePorts),
                     ports.end());
  for (std::size_t i = 0; i < hostCount; ++i) {
    const std::vector<std::uint16_t> own(
        ports.begin() + static_cast<std::ptrdiff_t>(i * PortsPerHost),
        ports.begin() + static_cast<std::ptrdiff_t>((i + 1) * PortsPerHost));
    Host host;
    host.name = fmt::format("frontend-{}", i + 1);
    host.zone = fmt::format("zone-{}", i + 1);
    host.callers = {Loopback, own[0]};
    host.readiness = {Loopback, own[1]};
    host.settingsPath = folder_ + "/" + host.name + ".json";
    host.logPath = folder_ + "/" + host.name + ".log";
    writeSettings(host, own, store);
    hosts_.push_back(std::move(host));
  }
}

Deployment::~Deployment() {
  for (const Host &host : hosts_) {
    if (host.process == 0)
      continue;
    kill(host.process, SIGCONT);
    kill(host.process, SIGKILL);
    waitpid(host.process, nullptr, 0);
  }
  std::error_code ignored;
  if (const char *keep = std::getenv("KEEP_LOGS"))
    std::filesystem::copy(folder_, keep,
                          std::filesystem::copy_options::recursive, ignored);
  std::filesystem::remove_all(folder_, ignored);
}

void Deployment::writeSettings(const Host &host,
                               const std::vector<std::uint16_t> &ports,
                               const Endpoint &store) const {
  const nlohmann::json settings = {{"host", host.name},
                                   {"data_centre", host.zone},
                                   {"callers", toString(host.callers)},
                                   {"readiness", toString(host.readiness)},
                                   {"ip", Loopback},
                                   {"peer_port", ports[2]},
                                   {"hand_over_port", ports[3]},
                                   {"metrics_port", ports[4]},
                                   {"peer_key", "auburnspring"},
                                   {"processor_share", 0.25},
                                   {"retry_ratio", 0.2},
                                   {"retry_slack", 56},
                                   {"retry_window_s", 10},
                                   {"stop_timeout_s", 8},
                                   {"store", toString(store)}};
  std::ofstream(host.settingsPath) << settings.dump(2) << "\n";
}

void Deployment::start(std::size_t index) {
  Host &host = hosts_[index];
  ++host.starts;
  const int log = open(host.logPath.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const std::string setting = "AUBURNSPRING_BOOT=" + host.settingsPath;
  const std::string path =
      std::string("PATH=") +
      (std::getenv("PATH") == nullptr ? "" : std::getenv("PATH"));
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process < 0)
    throw std::runtime_error("no process");
  if (process == 0) {
    // The hosts end with the case, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(1);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // The channels of the stand-ins are none of the host's.
    closefrom(STDERR_FILENO + 1);
    std::array<char *, 4> arguments = {
        const_cast<char *>(Program), const_cast<char *>("--settings-from"),
        const_cast<char *>("AUBURNSPRING_BOOT"), nullptr};
    std::array<char *, 3> environment = {const_cast<char *>(setting.c_str()),
                                         const_cast<char *>(path.c_str()),
                                         nullptr};
    execve(Program, arguments.data(), environment.data());
    _exit(1);
  }
  close(log);
  host.process = process;
  record_->add(fmt::format("host={} start={}", host.name, host.starts));
}

void Deployment::startAll() {
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    start(i);
}

void Deployment::signal(std::size_t host, int number) const {
  if (hosts_[host].process != 0)
    kill(hosts_[host].process, number);
}

bool Deployment::runs(std::size_t host) {
  pid_t &process = hosts_[host].process;
  if (process != 0 && waitpid(process, nullptr, WNOHANG) == process)
    process = 0;
  return process != 0;
}

void Deployment::restart(std::size_t host, std::function<void()> handler) {
  record_->add(fmt::format("host={} signal=TERM", hosts_[host].name));
  signal(host, SIGTERM);
  endTimers_[host] = std::make_unique<http::Timer>(io_);
  awaitEnd(host, std::move(handler));
}

void Deployment::awaitEnd(std::size_t host, std::function<void()> handler) {
  http::Timer &timer = *endTimers_.at(host);
  if (runs(host)) {
    timer.startAfter(ProbeInterval,
                     [this, host, handler] { awaitEnd(host, handler); });
    return;
  }
  record_->add(fmt::format("host={} ended", hosts_[host].name));
  timer.startAfter(RestartDelay, [this, host, handler] {
    start(host);
    // This handler is the timer's own.
    const std::function<void()> next = handler;
    next();
  });
}

void Deployment::whenReady(Duration patience,
                           std::function<void(bool)> handler) {
  onReady_ = std::move(handler);
  readyUntil_ = steadyNow() + patience;
  ready_.clear();
  checkReady();
}

void Deployment::probe(std::size_t host) {
  http::CallOptions options;
  options.endpoint = hosts_[host].readiness;
  http::ClientCallbacks callbacks;
  callbacks.onHead = [this, host](const http::ResponseHead &head) {
    ready_[host] = head.status == 200;
  };
  callbacks.onEnd = [](http::CallStatus, std::string_view) {};
  http::RequestHead head{"GET", "/api/readiness", {}};
  head.headers.add("Host", toString(hosts_[host].readiness));
  probes_[host] =
      std::make_unique<http::ClientCall>(io_, options, std::move(callbacks));
  probes_[host]->start(head, "");
}

void Deployment::checkReady() {
  const auto ready =
      std::count_if(ready_.begin(), ready_.end(),
                    [](const auto &entry) { return entry.second; });
  const bool isReady = static_cast<std::size_t>(ready) == hosts_.size();
  if (isReady || steadyNow() > readyUntil_)
    return std::exchange(onReady_, nullptr)(isReady);
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    if (!ready_[i])
      probe(i);
  readyTimer_.startAfter(ProbeInterval, [this] { checkReady(); });
}

} // namespace auburnspring::review
