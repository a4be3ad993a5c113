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

/// Finds out which entry hosts are alive, after SWIM: each host probes one
/// other an interval, directly and then through a few helpers, suspects before
/// it declares dead, and lets rumours ride on the probes. Messages a host
/// sends do not grow with the mesh. Guides routing and sharing; no safety
/// property rests on it. Called by the control side only, under its lock.
class Membership {
public:
  struct Options {
    /// This host; its incarnation must be higher than in any earlier life.
    MemberRumour self;
    std::vector<Seed> seeds;
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(150);
    Duration suspectTimeout = std::chrono::seconds(3);
    /// How long the dead are remembered, so that an old rumour can't revive
    /// them.
    Duration forgetDead = std::chrono::minutes(5);
    std::size_t helpers = 3;
    std::size_t rumoursPerMessage = 12;
    std::size_t maxMembers = 4096;
    /// One probe in this many goes to a seed or a dead member, so that a mesh
    /// that was cut apart heals.
    std::uint64_t healEvery = 8;
    std::uint64_t seed = 1;
  };

  explicit Membership(Options options);

  void onTick(Step *step);
  void onPing(const std::string &from, const Ping &ping, Step *step);
  void onAck(const std::string &from, const Ack &ack, Step *step);

  /// Tells a few members at once that this host has left.
  void leave(Step *step);

  /// The generation that this host tells others; a higher one is told to a
  /// few at once.
  void setGeneration(std::uint64_t generation, Step *step);

  /// Lets a leaving upstream's sign ride on the next messages.
  void spread(const LeavingRumour &rumour);

  TimePoint nextWake() const { return nextProbeAt_; }

  /// Members believed alive, this host included, in order of name.
  std::vector<std::string> aliveHosts() const;
  std::size_t aliveCount() const;
  const MemberRumour *find(const std::string &host) const;

  /// True if this host is among the `count` of its data centre that watch the
  /// configuration head, by rendezvous hashing over the live members.
  bool isAmongFirst(std::size_t count) const;

  nlohmann::json dump() const;

private:
  struct Member {
    MemberRumour rumour;
    TimePoint since;
    std::uint64_t generation = 0;
    int sendsLeft = 0;
  };

  struct Probe {
    std::uint64_t sequence = 0;
    std::string target;
    TimePoint sentAt;
    bool indirect = false;
    /// Set when this host probes for another: whom and what to answer.
    std::string askedBy;
    std::uint64_t askedSequence = 0;
  };

  void startProbe(Step *step);
  void probe(const MemberRumour &target, Step *step);
  bool nextTarget(MemberRumour *target);
  bool healTarget(MemberRumour *target);
  void checkProbes(Step *step);
  void askHelpers(const Probe &probe, Step *step);
  void checkSuspects(Step *step);
  void apply(const MemberRumour &rumour, Step *step);
  void refute(const MemberRumour &rumour);
  void absorb(const std::string &from, const Gossip &gossip, Step *step);
  Gossip compose();
  void send(const MemberRumour &to, PeerMessage message, Step *step) const;
  std::vector<const Member *> sample(std::size_t count,
                                     const std::string &except);
  int sendsPerRumour() const;

  Options options_;
  MemberRumour self_;
  int selfSendsLeft_ = 0;
  std::uint64_t generation_ = 0;
  absl::btree_map<std::string, Member> members_;
  struct LeavingSpread {
    LeavingRumour rumour;
    int sendsLeft;
  };
  std::vector<LeavingSpread> leaving_;
  absl::btree_map<std::string, std::string> leavingKnown_;
  std::vector<Probe> probes_;
  std::vector<std::string> order_;
  std::uint64_t sequence_ = 0;
  std::uint64_t rounds_ = 0;
  TimePoint nextProbeAt_{};
  TimePoint nextRoundAt_{};
  std::mt19937_64 random_;
};

} // namespace auburnspring

#endif
