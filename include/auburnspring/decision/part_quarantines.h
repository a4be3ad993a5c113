#ifndef AUBURNSPRING_DECISION_PART_QUARANTINES_H
#define AUBURNSPRING_DECISION_PART_QUARANTINES_H

#include "auburnspring/decision/crashing_part_detector.h"
#include "auburnspring/decision/part_quarantine.h"

#include <absl/types/span.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnspring {

/// Whether a request may be sent to an upstream.
enum class PartVerdict {
  Free,
  /// One of its parts is quarantined.
  Quarantined,
  /// As Quarantined, but one request with the part may be let through on trial.
  TrialDue,
};

/// The prompt parts that are quarantined, as this host knows them.
///
/// Several parts may be suspected for the same crashes, of which one is to
/// blame. Only requests with all of them are held back then, until a sound
/// request or a crash tells them apart.
class PartQuarantines {
public:
  /// Time from a quarantine to the first trial, and from each trial to the
  /// next. A part that crashes upstreams costs one for each trial, so there are
  /// few; without them a wrong suspicion would have no end.
  static constexpr Duration TrialDelays[] = {std::chrono::seconds(4),
                                             std::chrono::seconds(20),
                                             std::chrono::minutes(10)};
  /// As TrialDelays, for a whole request: another request with it can tell
  /// nothing apart, so that a second trial is worth less.
  static constexpr Duration RequestTrialDelays[] = {std::chrono::seconds(4),
                                                    std::chrono::minutes(2),
                                                    std::chrono::minutes(10)};
  static constexpr std::uint32_t MaxTrials = 3;
  /// Time in which the outcome of a trial is usually known.
  static constexpr Duration TrialTime = std::chrono::seconds(2);
  /// Quarantines that no request has met for this time are forgotten.
  static constexpr Duration Retention = std::chrono::hours(1);
  /// A released part is announced for this time, so that every host learns it.
  static constexpr Duration ReleaseRetention = std::chrono::minutes(10);
  /// Beyond this number a released one is dropped, or else the one that was met
  /// least recently.
  static constexpr std::size_t MaxQuarantines = 512;
  /// States in one heartbeat. More are sent in turn.
  static constexpr std::size_t MaxHeartbeatStates = 32;

  struct Check {
    PartVerdict verdict = PartVerdict::Free;
    /// The part that the request is held back for; empty if there is none.
    std::string part;
    /// Time until the next trial, or until the outcome of the present one is
    /// known; not set if there is none.
    std::optional<Duration> nextTrialIn;
  };

  enum class Change {
    None,
    Quarantined,
    Confirmed,
    Released,
    Trial,
    Forgotten
  };

  /// Time from the trial of that number, or from the quarantine if it is 0, to
  /// the next one.
  static Duration trialDelay(const std::string &part, std::uint32_t trials);

  Check check(absl::Span<const std::string> parts, TimePoint now);
  bool isQuarantined(const std::string &part) const;

  /// Quarantines the part; false if it is quarantined already.
  bool quarantine(const std::string &part,
                  const CrashingPartDetector::Crash &firstCrash, TimePoint now);
  /// Ends the quarantine; false if there is none.
  bool release(const std::string &part, TimePoint now);
  /// Notes a crash that tells the part from its rivals; false if it is
  /// confirmed or not quarantined.
  bool confirm(const std::string &part);
  /// True if a crash of a request with these parts tells `part`, which is
  /// quarantined, from another one.
  bool isDistinguishing(const std::string &part,
                        absl::Span<const std::string> parts) const;
  /// Takes the trial that is due; false if none is.
  bool takeTrial(const std::string &part, TimePoint now);

  /// Applies what a peer knows, or what the store holds.
  Change learn(const PartQuarantine &state, TimePoint now);
  std::optional<PartQuarantine> find(const std::string &part,
                                     TimePoint now) const;
  /// States for a heartbeat, in turn if there are many.
  std::vector<PartQuarantine> nextStates(TimePoint now);

  /// Drops old states and returns the parts whose quarantine was forgotten.
  std::vector<std::string> dropExpired(TimePoint now);
  /// Parts that are quarantined now.
  std::size_t quarantinedCount() const;

private:
  struct Entry {
    std::uint64_t generation = 0;
    std::uint32_t trials = 0;
    bool isConfirmed = false;
    CrashingPartDetector::Crash firstCrash;
    TimePoint nextTrialAt;
    TimePoint lastTrialAt;
    /// Last request that met the quarantine, or its begin or end.
    TimePoint lastMetAt;

    bool isQuarantined() const { return generation % 2 == 1; }
  };

  static constexpr Duration retention(bool isQuarantined) {
    return isQuarantined ? Retention : ReleaseRetention;
  }
  using Named = std::pair<const std::string, Entry>;

  /// Suspected for the same crashes, and not told apart yet. Two requests never
  /// are: no third one can hold both.
  static bool areRivals(const Named &a, const Named &b);
  /// True if requests with these parts are held back for `entry`, one of them.
  bool holdsBack(const Named &entry, absl::Span<const std::string> parts) const;
  static PartQuarantine stateOf(const std::string &part, const Entry &entry,
                                TimePoint now);
  void makeRoom();

  std::map<std::string, Entry> entries_;
  /// Where the next heartbeat continues.
  std::string nextInTurn_;
};

} // namespace auburnspring

#endif
