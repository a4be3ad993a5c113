#include "soak/crashing_part_checker.h"

#include <fmt/format.h>

namespace auburnspring::soak {

void CrashingPartChecker::onCrash(TimePoint at) {
  if (++crashes_ == KnownCrashes)
    knownAt_ = at + SettlingTime;
}

void CrashingPartChecker::onArrival(const SentCall &call, bool isConnected,
                                    TimePoint at) {
  if (call.hasCrashingPart && isConnected && crashes_ >= KnownCrashes &&
      at > knownAt_)
    ++late_;
}

void CrashingPartChecker::onSoundRequest(bool hasBegun) {
  ++sound_;
  begun_ += hasBegun ? 1 : 0;
}

std::vector<std::string> CrashingPartChecker::violations() const {
  std::vector<std::string> found;
  if (late_ > LateLimit)
    found.push_back(fmt::format("BUDGET: {} requests with a part under which "
                                "{} upstreams crashed reached upstreams later",
                                late_, crashes_));
  if (crashes_ > 0 && sound_ >= MinSoundRequests && begun_ * 2 < sound_)
    found.push_back(fmt::format("LOST: {} of {} sound requests began beside a "
                                "part that crashes upstreams",
                                begun_, sound_));
  return found;
}

std::string CrashingPartChecker::summary() const {
  return fmt::format("crashes={} late={} sound={}/{}", crashes_, late_, begun_,
                     sound_);
}

} // namespace auburnspring::soak
