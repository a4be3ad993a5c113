#ifndef AUBURNSPRING_REVIEW_STAND_INS_3_DEPLOYMENT_H
#define AUBURNSPRING_REVIEW_STAND_INS_3_DEPLOYMENT_H

#include "record.h"

#include "auburnspring/config/settings.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/http/timer.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnspring::review {

/// The hosts of a small deployment: processes of the deploy file's program on
/// loopback, each with a settings file as the deploy template renders it.
class Deployment {
public:
  /// Finds `sparePorts` more ports than the hosts need.
  Deployment(asio::io_context &io, Record *record, std::size_t hostCount,
             Endpoint store, std::size_t sparePorts = 0);
  /// Ends all processes and removes the folder of the settings and logs.
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  std::size_t size() const { return hosts_.size(); }
  Endpoint callers(std::size_t host) const { return hosts_[host].callers; }
  const std::string &name(std::size_t host) const { return hosts_[host].name; }

  /// Ports that no host uses.
  const std::vector<std::uint16_t> &sparePorts() const { return sparePorts_; }

  void start(std::size_t host);
  void startAll();
  /// Calls the handler with true once all hosts are ready, or with false if
  /// they are not within `patience`.
  void whenReady(Duration patience, std::function<void(bool)> handler);
  /// Stops the host by SIGTERM and starts it again after its end; the handler
  /// is called right after that.
  void restart(std::size_t host, std::function<void()> handler);
  /// Sends the signal to the process of the host.
  void signal(std::size_t host, int number) const;
  /// True if the process of the host runs.
  bool runs(std::size_t host);

private:
  struct Host {
    std::string name;
    std::string zone;
    Endpoint callers;
    Endpoint readiness;
    std::string settingsPath;
    std::string logPath;
    pid_t process = 0;
    int starts = 0;
  };

  void writeSettings(const Host &host, const std::vector<std::uint16_t> &ports,
                     const Endpoint &store) const;
  void awaitEnd(std::size_t host, std::function<void()> handler);
  void probe(std::size_t host);
  void checkReady();

  asio::io_context &io_;
  Record *record_;
  std::string folder_;
  std::vector<Host> hosts_;
  std::vector<std::uint16_t> sparePorts_;
  std::map<std::size_t, std::unique_ptr<http::ClientCall>> probes_;
  std::map<std::size_t, bool> ready_;
  std::map<std::size_t, std::unique_ptr<http::Timer>> endTimers_;
  http::Timer readyTimer_;
  TimePoint readyUntil_;
  std::function<void(bool)> onReady_;
};

} // namespace auburnspring::review

#endif
