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

/// All that one entry host decides. It opens no socket, reads no clock and
/// starts no thread: events go in with the time they happened at, and actions
/// come out for the shell around it to carry out.
///
/// Requests are spread over tables with a lock each; what they read of the
/// rest of the host is one immutable snapshot. Membership, configuration and
/// the upstream directory change under the control lock, which publishes the
/// next snapshot. No lock is taken while another is held, but for the leaf
/// locks of the ledger and the pool gates.
class EntryHost {
public:
  struct Options {
    std::string host;
    std::string dataCentre;
    /// Differs between two lives of the host and grows with each.
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
    std::size_t maxRequests = 512;
    /// Hosts of a data centre that read the configuration head themselves.
    std::size_t watchersPerDataCentre = 2;
    Ledger::Options ledger;
    Membership::Options membership;
    ConfigurationFollower::Options configuration;
    UpstreamDirectory::Options directory;
  };

  explicit EntryHost(Options options);

  /// Handles one event. Any thread may call it.
  Actions handle(Event event, Instant now);

  /// When a Tick is due at the latest; TimePoint::max() if never.
  TimePoint nextWake() const;

  /// True while the host has a configuration and is not stopping.
  bool isReady() const;

  /// Requests that have no final answer, or an attempt that has not ended.
  std::size_t openRequests() const { return openRequests_; }

  /// The host's whole state. No secret is part of it.
  nlohmann::json dump(Instant now) const;

  /// Upstreams whose load reports this host has a use for.
  std::vector<ListedUpstream> watchedUpstreams() const;

  /// This host's attempts in flight at one upstream.
  std::size_t inFlightAt(const std::string &upstream) const;

private:
  static constexpr std::size_t TableCount = 16;

  struct Table {
    mutable std::mutex mutex;
    absl::flat_hash_map<RequestId, std::unique_ptr<RequestRun>> runs;
    std::set<std::pair<TimePoint, RequestId>> timers;
    absl::flat_hash_map<RequestId, TimePoint> armed;
    std::mt19937_64 random;
  };

  void dispatch(Event event, Step *step);
  void onEvent(RequestArrived &event, Step *step);
  void onEvent(const CallerGone &event, Step *step);
  void onEvent(const AttemptSucceeded &event, Step *step);
  void onEvent(const AttemptFailed &event, Step *step);
  void onEvent(const AttemptProgress &event, Step *step);
  void onEvent(const Tick &event, Step *step);
  void onEvent(const KvReplied &event, Step *step);
  void onEvent(const HostListRead &event, Step *step);
  void onEvent(const LoadReported &event, Step *step);
  void onEvent(const PeerSaid &event, Step *step);
  void onEvent(const StopRequested &event, Step *step);
  void onEvent(const SlotGranted &event, Step *step);
  void onEvent(const LeavingSeen &event, Step *step);
  void onEvent(const GenerationHeard &event, Step *step);
  void onEvent(const ClaimDecided &event, Step *step);

  template <typename F> bool withRun(RequestId request, F use);
  void rearm(Table *table, RequestId request);
  void refuse(const RequestArrived &event, const char *reason,
              bool mayHaveRunEarlier, Step *step);
  void tickTable(Table *table, Step *step);
  void tickControl(Step *step);
  void hearPeer(const std::string &from, const PeerMessage &message,
                Step *step);
  void rebuild();
  std::vector<Ledger::Host> ledgerHosts() const;
  void rebuildIfAccepted(Step *step);
  std::shared_ptr<const LiveRoute>
  liveRoute(const std::shared_ptr<const Route> &route);
  RunContext contextOf(Table *table);
  Table &tableOf(RequestId request) { return *tables_[request % TableCount]; }

  Options options_;
  std::array<std::unique_ptr<Table>, TableCount> tables_;
  std::atomic<std::size_t> openRequests_{0};
  Ledger ledger_;
  RcuCell<Snapshot> snapshot_;

  mutable std::mutex control_;
  // All below are guarded by control_.
  Membership membership_;
  ConfigurationFollower configuration_;
  UpstreamDirectory directory_;
  std::map<std::string, std::shared_ptr<const LiveRoute>> liveRoutes_;
  std::size_t lastLiveHosts_ = 0;
  bool stopping_ = false;
};

} // namespace auburnspring

#endif
