#ifndef AUBURNSPRING_SOAK_FAULT_INJECTOR_H
#define AUBURNSPRING_SOAK_FAULT_INJECTOR_H

#include "soak/soak_cluster.h"

#include <functional>
#include <random>

namespace auburnspring::soak {

/// Injects a seeded sequence of overlapping faults into a cluster. Each fault
/// ends on its own; after the last one the cluster is undisrupted.
class FaultInjector {
public:
  /// Kinds of faults that were added together. A seed's sequence depends on the
  /// kinds, so a seed that failed is kept with the set it failed with.
  static constexpr int LatestFaultSet = 11;
  /// First set with upstreams of several software versions.
  static constexpr int VersionsFaultSet = 3;
  /// From this set on, one prompt part crashes upstreams.
  static constexpr int CrashingPartFaultSet = 4;
  /// From this set on, upstreams name request limits.
  static constexpr int LimitsFaultSet = 5;
  /// From this set on, all hosts are killed at once while streams break.
  static constexpr int KilledStreamsFaultSet = 6;
  /// From this set on, another writer leaves malformed entries among those of
  /// the upstreams, and configurations are large.
  static constexpr int MalformedEntriesFaultSet = 7;

  /// From this set on, stage upstreams respond as their calls time out, and
  /// hosts are paused more often.
  static constexpr int StageTimeoutsFaultSet = 8;
  /// From this set on, upstreams respond with damaged heads.
  static constexpr int DamagedHeadsFaultSet = 9;
  /// From this set on, one channel of one pair of hosts falls silent.
  static constexpr int SilentPairFaultSet = 10;
  /// From this set on, upstreams send streams without length or chunks, and
  /// crash at other points of a response than right after its head.
  static constexpr int UnframedStreamsFaultSet = 11;

  FaultInjector(asio::io_context &io, SoakCluster *cluster,
                GuaranteeChecker *checker, std::uint64_t seed,
                int faultSet = LatestFaultSet);

  /// Injects faults that begin and end within the span, which starts now.
  void inject(Duration span);
  /// As above, with faults of upstreams and of one host's connections only, so
  /// that streams break while the other hosts are connected.
  void injectStreamFaults(Duration span);

private:
  struct Kind {
    const char *name;
    void (FaultInjector::*begin)(Duration span);
    /// First fault set that has this kind.
    int since = 1;
  };
  /// The kinds of a fault set.
  static std::vector<Kind> kindsOf(int faultSet);

  void scheduleNext(TimePoint until);
  void runAfter(Duration span, std::function<void()> action);
  /// Records a disruption of the subject that starts now; after the span,
  /// `restore` undoes the fault.
  void disruptFor(const std::string &subject, Duration span,
                  std::function<void()> restore);
  void impairLink(LoopbackProxy *link, LinkState state,
                  const std::string &subject, Duration span);
  void setStoreFault(platform::FakeStoreServer::StoreFaultMode faultMode,
                     Duration span);
  void setUpstreamFaults(platform::FakeUpstreamServer::FaultMode faultMode,
                         Duration span);
  void resetCallersOf(SoakHost *host);
  SoakHost *randomHost();
  SoakUpstream *randomUpstream();
  /// Null if none is listed.
  SoakUpstream *randomModelUpstream();
  LinkState randomLinkFault();

  void killHost(Duration span);
  void killAll(Duration span);
  void pauseHost(Duration span);
  void stopHost(Duration span);
  void reloadHostSettings(Duration span);
  void impairStoreLink(Duration span);
  void resetStoreLink(Duration span);
  void blackholeStoreLink(Duration span);
  void impairCallerLink(Duration span);
  void resetCallers(Duration span);
  void impairPeerLink(Duration span);
  void blackholePeers(Duration span);
  void silencePair(Duration span);
  /// Streams that wait for their first events begin anew at other software
  /// versions, and the channel that would tell one host is silent.
  void silenceCorrections(Duration span);
  void storeBusy(Duration span);
  void storeUnresponsive(Duration span);
  void storeResets(Duration span);
  void storeDropsResponses(Duration span);
  void storeSlow(Duration span);
  void storeDiscardsHistory(Duration span);
  void storeRestored(Duration span);
  void upstreamsRejectRequests(Duration span);
  void upstreamsRefuseHosts(Duration span);
  void upstreamsNameLimits(Duration span);
  void upstreamsFail(Duration span);
  void upstreamsDropResponses(Duration span);
  void upstreamsHang(Duration span);
  void upstreamsAbortStreams(Duration span);
  void upstreamsDamageHeads(Duration span);
  void impairUpstreamLink(Duration span);
  void blackholeUpstream(Duration span);
  void upstreamsChangeFraming(Duration span);
  void replaceUpstream(Duration span);
  void unlistUpstream(Duration span);
  void upstreamsFallSilent(Duration span);
  void stageUpstreamsMeetTimeouts(Duration span);
  void releaseUpstream(Duration span);
  void crashUpstream(Duration span);
  void resetCallersOfFirstHost(Duration span);
  void changeConfiguration(Duration span);
  void burstOfConfigurations(Duration span);
  void burstOfLargeConfigurations(Duration span);
  void malformedEntry(Duration span);

  asio::io_context &io_;
  SoakCluster *cluster_;
  GuaranteeChecker *checker_;
  std::mt19937_64 random_;
  std::vector<Kind> kinds_;
  /// Upstreams name request limits in this run.
  bool hasLimits_ = false;
  bool killsAmidStreams_;
  bool hasSilentPairs_;
  bool hasUnframedStreams_;
  Duration maxGap_;
};

} // namespace auburnspring::soak

#endif
