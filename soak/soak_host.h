#ifndef AUBURNSPRING_SOAK_SOAK_HOST_H
#define AUBURNSPRING_SOAK_SOAK_HOST_H

#include "soak/child_process.h"
#include "soak/loopback_proxy.h"

#include <cstdint>
#include <memory>
#include <string>

namespace auburnspring::soak {

/// One serving host of a run: its process, and the links around it.
struct SoakHost {
  std::string name;
  std::string settingsFile;
  std::string logFile;
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;

  ChildProcess process;
  /// Grows with each start.
  std::uint64_t life = 0;
  /// Why its process may be gone or standing still just now.
  bool isStopping = false;
  bool isKilled = false;
  bool isPaused = false;
  TimePoint stopAskedAt;
  TimePoint startAt;

  /// What callers, peers and the host itself go through.
  std::unique_ptr<LoopbackProxy> callerLink;
  std::unique_ptr<LoopbackProxy> peerLink;
  std::unique_ptr<LoopbackProxy> storeLink;

  /// As the balancer sees it: the misses in a row, and whether it takes new
  /// connections.
  int readinessMisses = 2;
  bool isInRotation = false;
};

} // namespace auburnspring::soak

#endif
