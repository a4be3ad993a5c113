#ifndef AUBURNSPRING_DECISION_MEMBERSHIP_H
#define AUBURNSPRING_DECISION_MEMBERSHIP_H

#include "auburnspring/decision/step.h"

#include <absl/container/btree_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// SWIM-style membership and failure detection of the entry hosts: each host
/// probes one other per interval, directly and then through a few other
/// members, marks one that does not respond as suspect before dead, and
/// piggybacks gossip on the probes. The message rate of a host does not depend
/// on the size of the mesh. Membership guides routing and load sharing; no
/// safety property rests on it.
/// Not thread-safe: the owner holds a lock around every call.
class Membership {
public:
  struct Options {
    /// This host; the incarnation must be higher than any it had before.
    MemberInfo self;
    std::vector<Seed> seeds;
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(150);
    Duration suspectTimeout = std::chrono::seconds(3);
    /// How long dead members are kept, so that stale gossip can't revive them.
    Duration deadRetention = std::chrono::minutes(5);
    /// Number of members that receive a request for an indirect probe, or an
    /// immediate message about a new generation or this host's departure.
    std::size_t fanout = 3;
    std::size_t updatesPerMessage = 12;
    std::size_t maxMembers = 4096;
    /// In one of this many rounds a seed or a dead member is probed too, so
    /// that the mesh recovers from a network partition.
    std::uint64_t reconnectEvery = 8;
    std::uint64_t seed = 1;
  };

  explicit Membership(Options options);

  void onTick(Step *step);
  void onPing(const std::string &from, const Ping &ping, Step *step);
  void onAck(const std::string &from, const Ack &ack, Step *step);

  /// Notifies a few members immediately that this host has left.
  void leave(Step *step);

  /// Sets the generation that this host gossips; a higher one is sent to a few
  /// members immediately.
  void setGeneration(std::uint64_t generation, Step *step);

  /// Piggybacks a leaving upstream's notice on the next messages.
  void gossipLeaving(const LeavingNotice &notice);

  TimePoint nextWake() const { return nextWakeAt_; }

  /// Names of members that are alive or suspect, including this host, sorted.
  std::vector<std::string> aliveHosts() const;
  std::size_t aliveCount() const;
  const MemberInfo *find(const std::string &host) const;

  /// True if this host is one of the `count` hosts of its data centre that
  /// watch the configuration head, by rendezvous hashing over the live members.
  bool isSelectedWatcher(std::size_t count) const;

  nlohmann::json dump() const;

private:
  struct Member {
    MemberInfo info;
    TimePoint updatedAt;
    std::uint64_t generation = 0;
    int sendsLeft = 0;
  };

  struct Probe {
    std::uint64_t sequence = 0;
    std::string target;
    TimePoint sentAt;
    bool indirect = false;
    /// Set when this host probes on behalf of another: the host to reply to and
    /// the sequence number to reply with.
    std::string requester;
    std::uint64_t requesterSequence = 0;
  };

  void startProbe(Step *step);
  void probe(const MemberInfo &target, Step *step);
  bool nextTarget(MemberInfo *target);
  bool reconnectTarget(MemberInfo *target);
  void checkProbes(Step *step);
  void sendIndirectProbes(const Probe &probe, Step *step);
  void checkSuspects(Step *step);
  void apply(const MemberInfo &info, Step *step);
  void refute(const MemberInfo &info);
  void mergeGossip(const std::string &from, const Gossip &gossip, Step *step);
  Gossip makeGossip();
  void send(const MemberInfo &to, PeerMessage message, Step *step) const;
  std::vector<const Member *> sample(std::size_t count,
                                     const std::string &except);
  int sendsPerUpdate() const;

  Options options_;
  MemberInfo self_;
  int selfSendsLeft_ = 0;
  std::uint64_t generation_ = 0;
  absl::btree_map<std::string, Member> members_;
  struct PendingNotice {
    LeavingNotice notice;
    int sendsLeft;
  };
  std::vector<PendingNotice> leaving_;
  absl::btree_map<std::string, std::string> seenLeaving_;
  std::vector<Probe> probes_;
  std::vector<std::string> probeOrder_;
  std::uint64_t sequence_ = 0;
  std::uint64_t rounds_ = 0;
  TimePoint nextWakeAt_{};
  TimePoint nextRoundAt_{};
  std::mt19937_64 random_;
};

} // namespace auburnspring

#endif
