#ifndef AUBURNSPRING_SOAK_SOAK_HOST_H
#define AUBURNSPRING_SOAK_SOAK_HOST_H

#include "soak/child_process.h"
#include "soak/loopback_proxy.h"

#include <cstdint>
#include <memory>
#include <string>

namespace auburnspring::soak {

/// One serving host of a run: its process, and the proxies in front of its
/// connections.
struct SoakHost {
  std::string name;
  std::string program;
  std::string settingsFile;
  std::string logFile;
  Endpoint callerEndpoint;
  Endpoint readinessEndpoint;
  Endpoint peerEndpoint;

  ChildProcess process;
  /// Increases with each start.
  std::uint64_t incarnation = 0;
  /// Expected reasons for the process to be down or paused.
  bool isStopping = false;
  bool isKilled = false;
  bool isPaused = false;
  TimePoint stopRequestedAt;
  TimePoint restartAt;

  /// Proxies used by callers, by peers, and by the host to reach the store.
  std::unique_ptr<LoopbackProxy> callerLink;
  std::unique_ptr<LoopbackProxy> peerLink;
  std::unique_ptr<LoopbackProxy> storeLink;

  /// Load balancer's view: consecutive failed readiness probes, and whether
  /// the host receives new connections.
  int readinessFailures = 2;
  bool isInRotation = false;
};

} // namespace auburnspring::soak

#endif
