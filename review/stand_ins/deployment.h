#ifndef AUBURNSPRING_REVIEW_DEPLOYMENT_H
#define AUBURNSPRING_REVIEW_DEPLOYMENT_H

#include "channel.h"
#include "link.h"
#include "record.h"
#include "worker.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A machine of the system: its addresses and the process on it.
struct Machine {
  std::string name;
  std::string zone;
  std::string ip;
  std::uint16_t frontend = 0;
  std::uint16_t readiness = 0;
  std::string settingsFile;
  std::string logFile;
  pid_t process = -1;
  /// How often its process has ended by itself.
  int ownEnds = 0;
  /// Most memory that its processes have used.
  long mostMb = 0;
  Clock::time_point restartAt;
  std::atomic<bool> isReady{false};
};

/// A small deployment on loopback: the platform's store, workers, and machines
/// that run the command of the deploy file. The platform starts a process that
/// has ended again after a short delay.
class Deployment {
public:
  struct Options {
    int machines = 3;
    /// Bounds of the settings.
    nlohmann::json settings;
    /// Memory that a process may use; it is killed above that. 0: any.
    int memoryMb = 0;
    /// All machines are in one zone.
    bool isOneZone = false;
    /// What a machine receives from the others in a second; 0: any.
    std::size_t linkBytesPerSecond = 0;
  };

  Deployment(Options options, const std::string &recordFile);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Record &record() { return record_; }
  Store &store() { return store_; }
  asio::io_context &io() { return io_; }

  Worker *addWorker(const Service &service, const std::string &id,
                    const std::string &zone);
  std::vector<std::unique_ptr<Machine>> &machines() { return machines_; }
  Machine &machine(std::size_t i) { return *machines_[i]; }

  /// Starts the store, the workers and the machines; false if not all of them
  /// are ready in time.
  bool start(const nlohmann::json &configuration);
  /// Runs the action on the thread of the store and the workers, and waits.
  void call(const std::function<void()> &action);
  void sleep(double seconds);
  /// Ends all processes, the store and the workers.
  void stop();
  /// Watches the processes, starts ended ones again and asks whether they are
  /// ready, as the platform does.
  void tick();

private:
  /// Puts a link of limited bandwidth before the machine's port for peers.
  void addLink(const Machine &machine, std::uint16_t peerPort);
  void startProcess(Machine *machine);
  void checkMemory(Machine *machine);
  void askReadiness();

  Options options_;
  Record record_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  Store store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  HeldResults results_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::string folder_;
  std::thread thread_;
  std::thread prober_;
  std::atomic<bool> isEnding_{false};
};

/// A request of a consumer, as it is written to the channel.
std::string requestText(const std::string &method, const std::string &host,
                        const std::string &path, const std::string &id,
                        int patienceMs, const std::string &headers,
                        const std::string &body);

/// Random id of a request.
std::string newId();

} // namespace review

#endif
