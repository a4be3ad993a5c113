#ifndef AUBURNSPRING_DECISION_ENTRY_HOST_H
#define AUBURNSPRING_DECISION_ENTRY_HOST_H

#include "auburnspring/decision/configuration_follower.h"
#include "auburnspring/decision/ledger.h"
#include "auburnspring/decision/membership.h"
#include "auburnspring/decision/rcu_cell.h"
#include "auburnspring/decision/request_run.h"
#include "auburnspring/decision/snapshot.h"
#include "auburnspring/decision/upstream_directory.h"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>

namespace auburnspring {

/// Decision logic of one entry host, free of I/O: it opens no socket, reads no
/// clock and starts no thread. handle() takes an event with its time and
/// returns the actions that the surrounding shell performs.
///
/// Requests are sharded over tables with one mutex each. They read the shared
/// state from an immutable snapshot. Membership, configuration and the upstream
/// directory change under the control mutex, whose holder publishes the next
/// snapshot. No mutex is acquired while another is held, except the leaf
/// mutexes of the ledger and of the pool limiters.
class EntryHost {
public:
  struct Options {
    std::string host;
    std::string dataCentre;
    /// Strictly increases with each start of the host.
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
    std::size_t maxRequests = 512;
    /// Number of hosts per data centre that poll the configuration head.
    std::size_t watchersPerDataCentre = 2;
    Ledger::Options ledger;
    Membership::Options membership;
    ConfigurationFollower::Options configuration;
    UpstreamDirectory::Options directory;
  };

  explicit EntryHost(Options options);

  /// Handles one event and returns the resulting actions. Thread-safe.
  Actions handle(Event event, Instant now);

  /// Time by which the next Tick is due; TimePoint::max() if none is needed.
  TimePoint nextWake() const;

  /// True while the host has a configuration and is not stopping.
  bool isReady() const;

  /// Number of requests that have no final response yet or still have an
  /// attempt in flight.
  std::size_t openRequests() const { return openRequests_; }

  /// State of the host for diagnostics, without secrets.
  nlohmann::json dump(Instant now) const;

  /// Upstreams whose load this host polls.
  std::vector<ListedUpstream> polledUpstreams() const;

  /// Number of this host's attempts in flight at one upstream.
  std::size_t inFlightAt(const std::string &upstream) const;

private:
  static constexpr std::size_t TableCount = 16;

  struct Table {
    mutable std::mutex mutex;
    absl::flat_hash_map<RequestId, std::unique_ptr<RequestRun>> runs;
    std::set<std::pair<TimePoint, RequestId>> timers;
    absl::flat_hash_map<RequestId, TimePoint> armedAt;
    std::mt19937_64 random;
  };

  void dispatch(Event event, Step *step);
  void onEvent(RequestArrived &event, Step *step);
  void onEvent(const CallerDisconnected &event, Step *step);
  void onEvent(const AttemptSucceeded &event, Step *step);
  void onEvent(const AttemptFailed &event, Step *step);
  void onEvent(const AttemptProgress &event, Step *step);
  void onEvent(const Tick &event, Step *step);
  void onEvent(const KvReplyReceived &event, Step *step);
  void onEvent(const HostListRead &event, Step *step);
  void onEvent(const LoadReported &event, Step *step);
  void onEvent(const PeerMessageReceived &event, Step *step);
  void onEvent(const StopRequested &event, Step *step);
  void onEvent(const SlotGranted &event, Step *step);
  void onEvent(const LeavingDetected &event, Step *step);
  void onEvent(const GenerationAnnounced &event, Step *step);
  void onEvent(const ClaimDecided &event, Step *step);

  template <typename F> bool withRun(RequestId request, F use);
  void rearmTimer(Table *table, RequestId request);
  void refuse(const RequestArrived &event, const char *reason,
              bool mayHaveRunEarlier, Step *step);
  void tickTable(Table *table, Step *step);
  void tickControl(Step *step);
  void handlePeerMessage(const std::string &from, const PeerMessage &message,
                         Step *step);
  void publishSnapshot();
  std::vector<Ledger::Host> ledgerHosts() const;
  void applyAcceptedConfig(Step *step);
  std::shared_ptr<const LiveRoute>
  makeLiveRoute(const std::shared_ptr<const Route> &route);
  RunContext runContext(Table *table);
  Table &tableOf(RequestId request) { return *tables_[request % TableCount]; }

  Options options_;
  std::array<std::unique_ptr<Table>, TableCount> tables_;
  std::atomic<std::size_t> openRequests_{0};
  Ledger ledger_;
  RcuCell<Snapshot> snapshot_;

  mutable std::mutex controlMutex_;
  // All below are guarded by controlMutex_.
  Membership membership_;
  ConfigurationFollower configuration_;
  UpstreamDirectory directory_;
  std::map<std::string, std::shared_ptr<const LiveRoute>> liveRoutes_;
  std::size_t lastLiveHosts_ = 0;
  bool stopping_ = false;
};

} // namespace auburnspring

#endif
