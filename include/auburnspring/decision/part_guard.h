#ifndef AUBURNSPRING_DECISION_PART_GUARD_H
#define AUBURNSPRING_DECISION_PART_GUARD_H

#include "auburnspring/decision/batching_host.h"
#include "auburnspring/decision/crashing_part_detector.h"
#include "auburnspring/decision/part_quarantines.h"
#include "auburnspring/decision/peer_message.h"
#include "auburnspring/decision/stream_origin_holders.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// Keeps prompt parts, and whole requests, that crash upstreams away from them,
/// together with the other hosts. A request is known by the names of its parts
/// and its own, all of which are called parts here. The guard sends nothing
/// itself: its messages and decisions are taken and carried out by the host.
///
/// Crashes are reported to the holders of a part: all hosts of a small fleet, a
/// few hosts by rendezvous hashing in a large one. A holder with enough of them
/// tells every host. Each host that has seen a sound request since objects,
/// which ends the quarantine.
class PartGuard {
public:
  /// Up to this many peers, every host is a holder of every part.
  static constexpr std::size_t SmallFleetPeers = 12;
  /// How long the reply to a request for a trial is awaited.
  static constexpr Duration TrialReplyTimeout = std::chrono::milliseconds(150);
  static constexpr std::size_t MaxReportedCrashes = 1024;

  /// Source of states that were read from the store.
  static constexpr const char *StoreSource = "store";

  struct Message {
    /// The receiver; empty for every peer.
    std::string host;
    PeerMessage message;
  };

  /// What changed here, for the log and the store.
  struct Decision {
    PartQuarantines::Change change = PartQuarantines::Change::None;
    PartQuarantine state;
    /// Peer that told this host; empty if it decided itself.
    std::string source;
    /// This host keeps the part's item in the store.
    bool mustStore = false;
  };

  using TrialHandler = std::function<void(bool granted)>;

  explicit PartGuard(std::string self) : self_(std::move(self)) {}

  /// Sets the hosts that take work, including this one unless it is leaving.
  void setHosts(std::vector<BatchingCandidate> hosts);

  PartQuarantines::Check check(absl::Span<const std::string> parts,
                               TimePoint now) {
    return quarantines_.check(parts, now);
  }
  /// True if this host knows of a crash that can be the part's doing.
  bool hasCrashed(const std::string &part) const {
    return detector_.hasCrashed(part);
  }
  /// A request with these parts has run soundly.
  void onSound(absl::Span<const std::string> parts, TimePoint now);
  /// An upstream broke off a request with these parts, which had run for
  /// `ranFor` and not proved sound. Reported with the next flush().
  void onBroken(absl::Span<const std::string> parts,
                const std::string &upstream, std::int64_t startedAtMillis,
                Duration ranFor, TimePoint now);
  /// Asks for the trial that is due. The handler may be called before this
  /// returns.
  void requestTrial(const std::string &part, TimePoint now,
                    TrialHandler handler);

  void onReport(const std::string &from, const PartCrashReport &report,
                TimePoint now);
  /// Applies states from a peer, or from StoreSource, and passes on what is
  /// news.
  void onUpdate(const std::string &from, const PartQuarantineUpdate &update,
                TimePoint now);
  void onTrialRequest(const std::string &from, const PartTrialRequest &request,
                      TimePoint now);
  void onTrialReply(const PartTrialReply &reply);
  /// Applies the states in a peer's heartbeat, which are not passed on.
  void onHeartbeat(const std::string &from,
                   const std::vector<PartQuarantine> &states, TimePoint now);

  /// Sends what was noted since the last call: crashes to the holders of their
  /// parts, and states that have changed. One message a receiver, however many
  /// upstreams crash at once.
  void flush(TimePoint now);
  void tick(TimePoint now);

  /// States for the next heartbeat.
  std::vector<PartQuarantine> statesForHeartbeat(TimePoint now) {
    return quarantines_.nextStates(now);
  }
  std::vector<Message> takeMessages() { return std::exchange(messages_, {}); }
  std::vector<Decision> takeDecisions() {
    return std::exchange(decisions_, {});
  }
  /// True if flush() has something to send.
  bool mustFlush() const { return !pending_.empty() || !changed_.empty(); }

  std::size_t quarantinedCount() const {
    return quarantines_.quarantinedCount();
  }
  std::size_t suspectCount() const { return detector_.suspectCount(); }

private:
  struct PendingTrial {
    TrialHandler handler;
    TimePoint expiresAt;
  };

  bool isSmallFleet() const { return hosts_.size() <= SmallFleetPeers + 1; }
  std::vector<std::string> holders(const std::string &part) const;
  bool isHolder(const std::string &part) const;
  /// The first holder grants trials and keeps the part's item in the store.
  bool isFirstHolder(const std::string &part) const;
  void addCrash(const PartCrash &crash, TimePoint now);
  /// Applies a state; false if it is not news.
  bool learn(const std::string &from, const PartQuarantine &state,
             TimePoint now);
  bool grantTrial(const std::string &part, TimePoint now);
  void release(const std::string &part, TimePoint now);
  /// Notes a decision of this host and tells the others.
  void decide(PartQuarantines::Change change, const std::string &part,
              TimePoint now);
  /// Tells the other hosts of the states that have changed.
  void announce(TimePoint now);

  std::string self_;
  std::vector<BatchingCandidate> hosts_;
  /// Made of `hosts_` when it is first needed.
  mutable std::optional<StreamOriginHolders> directory_;
  CrashingPartDetector detector_;
  PartQuarantines quarantines_;
  /// Crashes to report, with their times.
  std::vector<std::pair<PartCrash, TimePoint>> pending_;
  /// Parts whose states are to be announced.
  std::set<std::string> changed_;
  std::map<std::uint64_t, PendingTrial> trials_;
  std::uint64_t nextTrial_ = 1;
  std::vector<Message> messages_;
  std::vector<Decision> decisions_;
};

} // namespace auburnspring

#endif
