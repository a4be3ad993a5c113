#include "auburnspring/decision/crashing_part_detector.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/decision/request_name.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace auburnspring {

namespace {

constexpr std::size_t MaxNameBytes = 64;

} // namespace

std::string partName(const std::string &id) {
  const bool isPlain =
      id.size() <= MaxNameBytes && !isRequestName(id) &&
      std::all_of(id.begin(), id.end(), [](unsigned char c) {
        return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
      });
  return isPlain ? id : absl::StrCat("digest-", absl::Hex(stableHash(id)));
}

std::vector<std::string> sharedPartNames(absl::Span<const PromptPart> prompt) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    if (names.size() < CrashingPartDetector::MaxPartsPerRequest)
      names.push_back(partName(prompt[i].id));
  return names;
}

void CrashingPartDetector::onSound(const std::string &part, TimePoint now) {
  TimePoint &at = soundAt_[part];
  bySoundAt_.erase({at, part});
  at = now;
  bySoundAt_.insert({now, part});
  if (bySoundAt_.size() <= MaxSoundParts)
    return;
  soundAt_.erase(bySoundAt_.begin()->second);
  bySoundAt_.erase(bySoundAt_.begin());
}

std::optional<TimePoint>
CrashingPartDetector::lastSoundAt(const std::string &part) const {
  const auto found = soundAt_.find(part);
  return found == soundAt_.end() ? std::nullopt
                                 : std::optional<TimePoint>(found->second);
}

bool CrashingPartDetector::maySuspect(const std::string &part,
                                      TimePoint crashedAt) const {
  const std::optional<TimePoint> sound = lastSoundAt(part);
  return !sound || crashedAt >= *sound + SoundFor;
}

void CrashingPartDetector::dropOldest() {
  std::vector<TimePoint> latest;
  latest.reserve(crashes_.size());
  for (const auto &entry : crashes_)
    latest.push_back(entry.second.back().at);
  const auto middle =
      latest.begin() + static_cast<std::ptrdiff_t>(latest.size() / 2);
  std::nth_element(latest.begin(), middle, latest.end());
  for (auto it = crashes_.begin(); it != crashes_.end();)
    it = it->second.back().at <= *middle ? crashes_.erase(it) : std::next(it);
}

std::optional<CrashingPartDetector::Crash>
CrashingPartDetector::onCrash(const PartCrash &crash, TimePoint now) {
  const TimePoint at = now - crash.age;
  if (!maySuspect(crash.part, at))
    return std::nullopt;
  const std::string incarnation =
      absl::StrCat(crash.upstream, "/", crash.startedAtMillis);
  if (crashes_.size() >= MaxParts)
    dropOldest();
  std::vector<Crash> &crashes = crashes_[crash.part];
  const bool isKnown =
      std::any_of(crashes.begin(), crashes.end(), [&](const Crash &known) {
        return known.incarnation == incarnation;
      });
  if (!isKnown) {
    const auto after = std::upper_bound(
        crashes.begin(), crashes.end(), at,
        [](TimePoint time, const Crash &known) { return time < known.at; });
    crashes.insert(after, {incarnation, at, at - crash.ranFor});
  }
  if (crashes.size() > MaxCrashesPerPart)
    crashes.erase(crashes.begin());
  return evidence(crash.part, crashes, now);
}

std::optional<CrashingPartDetector::Crash>
CrashingPartDetector::evidence(const std::string &part,
                               const std::vector<Crash> &crashes,
                               TimePoint now) const {
  const Crash *first = nullptr;
  TimePoint previous;
  std::size_t count = 0;
  std::size_t moments = 0;
  for (const Crash &crash : crashes) {
    if (!maySuspect(part, crash.at) || crash.at + CrashRetention < now)
      continue;
    ++count;
    if (first != nullptr && !isSeparate(crash, previous))
      continue;
    first = first == nullptr ? &crash : first;
    previous = crash.at;
    ++moments;
  }
  const std::size_t neededMoments =
      isRequestName(part) ? MinRequestMoments : MinCrashes;
  return count >= MinCrashes && moments >= neededMoments
             ? std::optional<Crash>(*first)
             : std::nullopt;
}

bool CrashingPartDetector::hasCrashed(const std::string &part) const {
  const auto found = crashes_.find(part);
  return found != crashes_.end() && maySuspect(part, found->second.back().at);
}

void CrashingPartDetector::forget(const std::string &part) {
  crashes_.erase(part);
}

} // namespace auburnspring
