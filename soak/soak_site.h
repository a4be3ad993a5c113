#ifndef AUBURNSPRING_SOAK_SOAK_SITE_H
#define AUBURNSPRING_SOAK_SOAK_SITE_H

#include "platform/testing/store_stand_in.h"
#include "platform/testing/worker_stand_in.h"
#include "soak/promise_book.h"
#include "soak/soak_host.h"

#include "auburnspring/http/client_call.h"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnspring::soak {

struct SiteOptions {
  std::string program;
  /// Settings and logs of the processes go here.
  std::string folder;
  std::size_t hosts = 3;
};

/// A worker with the link in front of it.
struct SoakWorker {
  std::string service;
  std::unique_ptr<platform::WorkerStandIn> standIn;
  std::unique_ptr<LoopbackProxy> link;
  bool isListed = true;
};

/// Everything of a run but its callers and its faults: the store, workers and
/// the processes under test, each behind a link that can be harmed.
class SoakSite {
public:
  SoakSite(asio::io_context &io, SiteOptions options, PromiseBook *book);

  /// False, with a breach noted, if a process can't be started.
  void startHosts();
  void startHost(SoakHost *host);

  /// SIGTERM; the host starts again some time after it has ended.
  void stopHost(SoakHost *host);
  void killHost(SoakHost *host, Duration downFor);
  void pauseHost(SoakHost *host);
  void resumeHost(SoakHost *host);

  void publishConfiguration();
  void addWorker(const std::string &service);
  /// The worker says that it leaves, serves on for a while, and is gone.
  void drainWorker(SoakWorker *worker);
  /// The store has no entry of the worker for a while.
  void unlistWorker(SoakWorker *worker);
  void listWorker(SoakWorker *worker);

  platform::StoreStandIn &store() { return store_; }
  std::vector<std::unique_ptr<SoakHost>> &hosts() { return hosts_; }
  std::vector<std::unique_ptr<SoakWorker>> &workers() { return workers_; }
  /// Newest version of the configuration; its own route is /v/VERSION/.
  std::int64_t version() const { return version_; }
  std::int64_t previousVersion() const { return previousVersion_; }

private:
  void writeSettings(SoakHost *host, std::uint16_t metricsPort);
  void tick();
  void watchProcess(SoakHost *host, TimePoint now);
  void askReadiness(SoakHost *host);

  asio::io_context &io_;
  SiteOptions options_;
  PromiseBook *book_;
  platform::StoreStandIn store_;
  std::vector<std::unique_ptr<SoakHost>> hosts_;
  std::vector<std::unique_ptr<SoakWorker>> workers_;
  std::map<std::string, std::unique_ptr<http::ClientCall>> readinessCalls_;
  std::int64_t version_ = 0;
  std::int64_t previousVersion_ = 0;
  int nextWorker_ = 1;
  std::uint64_t ticks_ = 0;
  asio::steady_timer tickTimer_;
};

} // namespace auburnspring::soak

#endif
