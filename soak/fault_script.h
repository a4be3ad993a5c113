#ifndef AUBURNSPRING_SOAK_FAULT_SCRIPT_H
#define AUBURNSPRING_SOAK_FAULT_SCRIPT_H

#include "soak/soak_site.h"

#include <functional>
#include <random>

namespace auburnspring::soak {

/// A seeded series of faults that overlap, played against a site. Each fault
/// ends by itself; after the last one the site is undisturbed.
class FaultScript {
public:
  FaultScript(asio::io_context &io, SoakSite *site, PromiseBook *book,
              std::uint64_t seed);

  /// Plays faults that begin, and end, within the span from now on.
  void play(Duration span);

private:
  struct Kind {
    const char *name;
    void (FaultScript::*begin)(Duration span);
  };
  static const std::vector<Kind> &kinds();

  void next(TimePoint until);
  void after(Duration span, std::function<void()> action);
  /// The subject is disturbed from now on for so long; `end` mends it.
  void disturb(const std::string &subject, Duration span,
               std::function<void()> end);
  void harmLink(LoopbackProxy *link, LinkState state,
                const std::string &subject, Duration span);
  void setStore(platform::StoreStandIn::Mood mood, Duration span);
  void setWorkers(platform::WorkerStandIn::Conduct conduct, Duration span);
  SoakHost *anyHost();
  SoakWorker *anyWorker();
  LinkState anyCut();

  void killHost(Duration span);
  void killAll(Duration span);
  void pauseHost(Duration span);
  void stopHost(Duration span);
  void hangUpHost(Duration span);
  void cutStoreLink(Duration span);
  void resetStoreLink(Duration span);
  void silenceStoreLink(Duration span);
  void harmCallerLink(Duration span);
  void resetCallers(Duration span);
  void harmPeerLink(Duration span);
  void silencePeers(Duration span);
  void storeBusy(Duration span);
  void storeSilent(Duration span);
  void storeResets(Duration span);
  void storeLosesAnswers(Duration span);
  void storeSlow(Duration span);
  void storeForgets(Duration span);
  void workersFull(Duration span);
  void workersFail(Duration span);
  void workersLoseAnswers(Duration span);
  void workersHang(Duration span);
  void workersBreakOff(Duration span);
  void harmWorkerLink(Duration span);
  void silenceWorker(Duration span);
  void replaceWorker(Duration span);
  void unlistWorker(Duration span);
  void changeConfiguration(Duration span);
  void stormOfConfigurations(Duration span);

  asio::io_context &io_;
  SoakSite *site_;
  PromiseBook *book_;
  std::mt19937_64 random_;
};

} // namespace auburnspring::soak

#endif
