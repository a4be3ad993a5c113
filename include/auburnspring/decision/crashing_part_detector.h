#ifndef AUBURNSPRING_DECISION_CRASHING_PART_DETECTOR_H
#define AUBURNSPRING_DECISION_CRASHING_PART_DETECTOR_H

#include "auburnspring/decision/part_crash.h"
#include "auburnspring/decision/placement.h"

#include <absl/types/span.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspring {

/// Name by which the hosts know a prompt part: its id, or a digest of it if it
/// is too long or not plain text.
std::string partName(const std::string &id);

/// Names of the parts of a prompt that other requests may share: all but the
/// last, at most MaxPartsPerRequest.
std::vector<std::string> sharedPartNames(absl::Span<const PromptPart> prompt);

/// Finds the prompt parts under which upstreams crash, whatever else their
/// requests hold. A request that comes again whole counts as a part of itself,
/// by its requestName().
///
/// A crash speaks against every part of the requests that it broke off, most of
/// which are sound. A part is exonerated by any request with it that runs
/// soundly, and crashes that coincide count once, since upstreams also crash
/// together for other reasons. What remains is a part with several crashes and
/// no sound request.
class CrashingPartDetector {
public:
  /// Crashes at separate moments, without a sound request, that quarantine a
  /// part. Some are needed to tell the part from those that happened to be
  /// there; each one costs an upstream.
  static constexpr std::size_t MinCrashes = 3;
  /// For a whole request: separate moments of as many crashes. It has less in
  /// common with others than a part, and comes with hedges and repeats.
  static constexpr std::size_t MinRequestMoments = 2;
  /// Crashes closer together count once, unless the request began after the
  /// crash before: what ends upstreams together ends runs that were there.
  static constexpr Duration Coincidence = std::chrono::milliseconds(250);
  /// A part does not count as crashing for this time after a sound request.
  static constexpr Duration SoundFor = std::chrono::seconds(3);
  /// Older crashes are forgotten.
  static constexpr Duration CrashRetention = std::chrono::minutes(10);
  /// Bounds of the memory used: beyond them the oldest entries are dropped.
  static constexpr std::size_t MaxParts = 4096;
  static constexpr std::size_t MaxSoundParts = 16384;
  static constexpr std::size_t MaxCrashesPerPart = 16;
  static constexpr std::size_t MaxPartsPerRequest = 32;

  struct Crash {
    std::string incarnation;
    TimePoint at;
    /// When the request began to run there.
    TimePoint beganAt{};
  };

  /// A request with the part has run soundly at some upstream.
  void onSound(const std::string &part, TimePoint now);
  std::optional<TimePoint> lastSoundAt(const std::string &part) const;
  /// True if a crash at that time can be the part's doing.
  bool maySuspect(const std::string &part, TimePoint crashedAt) const;

  /// A crash is remembered that can be the part's doing.
  bool hasCrashed(const std::string &part) const;

  /// Adds a crash of which this host or a peer has learned. Returns the first
  /// crash that counts if they suffice to quarantine the part.
  std::optional<Crash> onCrash(const PartCrash &crash, TimePoint now);
  /// Forgets the crashes of a part that was released.
  void forget(const std::string &part);

  /// Parts with crashes that are remembered.
  std::size_t suspectCount() const { return crashes_.size(); }

private:
  /// True if the crash can't have the cause of one at `previous` unless the
  /// request is that cause.
  static bool isSeparate(const Crash &crash, TimePoint previous) {
    return crash.at >= previous + Coincidence || crash.beganAt > previous;
  }
  /// The first crash that counts, if those of the part suffice.
  std::optional<Crash> evidence(const std::string &part,
                                const std::vector<Crash> &crashes,
                                TimePoint now) const;
  /// Forgets the half of the parts whose last crash is the longest ago.
  void dropOldest();

  std::unordered_map<std::string, TimePoint> soundAt_;
  std::set<std::pair<TimePoint, std::string>> bySoundAt_;
  /// By part, each in the order of time.
  std::unordered_map<std::string, std::vector<Crash>> crashes_;
};

} // namespace auburnspring

#endif
