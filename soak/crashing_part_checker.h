#ifndef AUBURNSPRING_SOAK_CRASHING_PART_CHECKER_H
#define AUBURNSPRING_SOAK_CRASHING_PART_CHECKER_H

#include "soak/sent_call.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburnspring::soak {

/// Checks that a prompt part under which upstreams crash is kept away from
/// them, and that sound requests which share its other parts are served.
class CrashingPartChecker {
public:
  void onCrash(TimePoint at);
  /// A request reaches an upstream; `isConnected` if its host was undisrupted.
  void onArrival(const SentCall &call, bool isConnected, TimePoint at);
  /// A sound request with a prompt, sent after all other disruptions.
  void onSoundRequest(bool hasBegun);

  std::vector<std::string> violations() const;
  /// Counts, for the last line of a run.
  std::string summary() const;

private:
  /// Crashes after which the hosts must know the part, how long they may take,
  /// and the requests that may reach upstreams later.
  static constexpr std::size_t KnownCrashes = 5;
  static constexpr Duration SettlingTime = std::chrono::seconds(3);
  static constexpr std::size_t LateLimit = 3;
  /// Fewer sound requests tell nothing.
  static constexpr std::size_t MinSoundRequests = 20;

  std::size_t crashes_ = 0;
  TimePoint knownAt_;
  std::size_t late_ = 0;
  std::size_t sound_ = 0;
  std::size_t begun_ = 0;
};

} // namespace auburnspring::soak

#endif
