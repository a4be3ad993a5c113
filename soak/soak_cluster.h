#ifndef AUBURNSPRING_SOAK_SOAK_CLUSTER_H
#define AUBURNSPRING_SOAK_SOAK_CLUSTER_H

#include "platform/testing/fake_store_server.h"
#include "platform/testing/fake_upstream_server.h"
#include "soak/guarantee_checker.h"
#include "soak/soak_host.h"

#include "auburnspring/http/client_call.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring::soak {

struct ClusterOptions {
  /// The hosts run these in turn.
  std::vector<std::string> programs;
  /// Where settings and logs of the processes are written.
  std::string directory;
  std::size_t hosts = 3;
  /// Software versions of the model upstreams.
  std::vector<std::string> modelVersions = {"v1", "v1", "v1"};
  int eventsPerStream = platform::FakeUpstreamServer::EventsPerStream;
  /// Pause between events that the routes of resumable streams allow.
  int streamGapAimMs = 300;
  /// Share of resumable streams whose caller loses its connection midway.
  double droppedStreamShare = 0;
  /// Share of resumable streams for the route whose hosts may try one upstream
  /// only.
  double singleAttemptShare = 0;
  /// Prompt part under which model upstreams crash; empty if there is none.
  std::string crashingPart;
};

/// A fake upstream with the proxy in front of it.
struct SoakUpstream {
  std::string service;
  std::unique_ptr<platform::FakeUpstreamServer> server;
  std::unique_ptr<LoopbackProxy> link;
  bool isListed = true;
  /// State of its entry, if it has one.
  std::string state = "ready";
};

/// The store, the upstreams and the processes under test of a run, each behind
/// a proxy that can inject link faults.
class SoakCluster {
public:
  /// What a stage call takes, per call and per piece, as configured.
  static constexpr std::chrono::milliseconds BatchTime{20};
  static constexpr std::chrono::milliseconds PieceTime{1};

  SoakCluster(asio::io_context &io, ClusterOptions options,
              GuaranteeChecker *checker);

  /// Reports a violation for each process that can't be started.
  void startHosts();
  void startHost(SoakHost *host);

  /// Sends SIGTERM; the host restarts some time after its process has ended.
  void stopHost(SoakHost *host);
  void killHost(SoakHost *host, Duration downtime);
  void pauseHost(SoakHost *host);
  void resumeHost(SoakHost *host);

  void publishConfiguration();
  /// The configurations from now on are large and differ little.
  void growConfiguration();
  /// Another writer leaves an entry among those of the upstreams that can't be
  /// used, one of several kinds, or removes it.
  void writeMalformedEntry(std::size_t kind);
  void removeMalformedEntry();
  void addUpstream(const std::string &service, const std::string &version);
  /// Records a disruption. Its connections are reset; its entry goes some time
  /// later, when another upstream of its version starts.
  void crashUpstream(SoakUpstream *upstream);
  /// The upstream announces that it drains, serves for a while, and then resets
  /// all connections.
  void drainUpstream(SoakUpstream *upstream);
  /// Removes the upstream's entry from the store.
  void unlistUpstream(SoakUpstream *upstream);
  void listUpstream(SoakUpstream *upstream);
  /// Writes the configuration and the upstreams' entries again, as they do
  /// after the store was restored from a copy.
  void rewriteEntries();

  platform::FakeStoreServer &store() { return store_; }
  std::vector<std::unique_ptr<SoakHost>> &hosts() { return hosts_; }
  std::vector<std::unique_ptr<SoakUpstream>> &upstreams() { return upstreams_; }
  /// Newest version of the configuration, which adds the route /v/VERSION/.
  std::int64_t version() const { return version_; }
  std::int64_t previousVersion() const { return previousVersion_; }
  const ClusterOptions &options() const { return options_; }
  /// Number of model upstreams of the software version that serve.
  std::size_t servingUpstreams(std::string_view version) const;

private:
  void runAfter(Duration span, std::function<void()> action);
  void writeSettings(SoakHost *host, std::uint16_t metricsPort);
  void tick();
  void superviseProcess(SoakHost *host, TimePoint now);
  void probeReadiness(SoakHost *host);

  asio::io_context &io_;
  ClusterOptions options_;
  GuaranteeChecker *checker_;
  platform::FakeStoreServer store_;
  std::vector<std::unique_ptr<SoakHost>> hosts_;
  std::vector<std::unique_ptr<SoakUpstream>> upstreams_;
  std::map<std::string, std::unique_ptr<http::ClientCall>> readinessProbes_;
  /// The configuration that was published last.
  std::string configuration_;
  std::size_t commentBytes_ = 0;
  std::int64_t version_ = 0;
  std::int64_t previousVersion_ = 0;
  int nextUpstream_ = 1;
  std::uint64_t ticks_ = 0;
  asio::steady_timer tickTimer_;
};

} // namespace auburnspring::soak

#endif
