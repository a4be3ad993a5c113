#include "auburnspring/decision/membership.h"

#include "auburnspring/base/digest.h"

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

constexpr const char *StateNames[] = {"alive", "suspect", "dead", "left"};

const char *toString(MemberState state) {
  return StateNames[static_cast<std::size_t>(state)];
}

bool isUp(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

// A higher incarnation wins; within one, the later state in MemberState wins.
bool overrides(const MemberInfo &next, const MemberInfo &current) {
  if (next.incarnation != current.incarnation)
    return next.incarnation > current.incarnation;
  return next.state > current.state;
}

} // namespace

Membership::Membership(Options options)
    : options_(std::move(options)), self_(options_.self),
      random_(options_.seed) {
  selfSendsLeft_ = 8;
}

int Membership::sendsPerUpdate() const {
  const double size = static_cast<double>(members_.size() + 2);
  return 3 + static_cast<int>(std::ceil(2 * std::log2(size)));
}

void Membership::send(const MemberInfo &to, PeerMessage message,
                      Step *step) const {
  step->addAction(SendToPeer{to.host, to.endpoint, std::move(message)});
}

Gossip Membership::makeGossip() {
  Gossip gossip;
  gossip.generation = generation_;
  // Always includes the sender, so that its first probe announces a new member.
  gossip.members.push_back(self_);
  std::vector<Member *> unsent;
  for (auto &[host, member] : members_)
    if (member.sendsLeft > 0)
      unsent.push_back(&member);
  std::sort(unsent.begin(), unsent.end(), [](const Member *a, const Member *b) {
    return a->sendsLeft > b->sendsLeft;
  });
  for (Member *member : unsent) {
    if (gossip.members.size() >= options_.updatesPerMessage)
      break;
    gossip.members.push_back(member->info);
    --member->sendsLeft;
  }
  for (PendingNotice &pending : leaving_) {
    if (gossip.leaving.size() >= options_.updatesPerMessage)
      break;
    gossip.leaving.push_back(pending.notice);
    --pending.sendsLeft;
  }
  leaving_.erase(
      std::remove_if(leaving_.begin(), leaving_.end(),
                     [](const PendingNotice &s) { return s.sendsLeft <= 0; }),
      leaving_.end());
  return gossip;
}

bool Membership::nextTarget(MemberInfo *target) {
  while (true) {
    if (probeOrder_.empty()) {
      for (const auto &[host, member] : members_)
        if (isUp(member.info.state))
          probeOrder_.push_back(host);
      if (probeOrder_.empty())
        return false;
      std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
    }
    const auto found = members_.find(probeOrder_.back());
    probeOrder_.pop_back();
    if (found == members_.end() || !isUp(found->second.info.state))
      continue;
    *target = found->second.info;
    return true;
  }
}

bool Membership::reconnectTarget(MemberInfo *target) {
  std::vector<MemberInfo> candidates;
  for (const Seed &seed : options_.seeds) {
    const auto found = members_.find(seed.name);
    if (found != members_.end() && isUp(found->second.info.state))
      continue;
    MemberInfo info;
    info.host = seed.name;
    info.endpoint = seed.endpoint;
    candidates.push_back(info);
  }
  for (const auto &[host, member] : members_)
    if (member.info.state == MemberState::Dead)
      candidates.push_back(member.info);
  if (candidates.empty())
    return false;
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  *target = candidates[index(random_)];
  return true;
}

void Membership::probe(const MemberInfo &target, Step *step) {
  Probe probe;
  probe.sequence = ++sequence_;
  probe.target = target.host;
  probe.sentAt = step->now.steady;
  Ping ping;
  ping.sequence = probe.sequence;
  ping.gossip = makeGossip();
  probes_.push_back(std::move(probe));
  send(target, std::move(ping), step);
}

void Membership::startProbe(Step *step) {
  ++rounds_;
  MemberInfo target;
  const bool found = nextTarget(&target);
  if (found)
    probe(target, step);
  const bool reconnect = !found || rounds_ % options_.reconnectEvery == 0;
  if (reconnect && reconnectTarget(&target))
    probe(target, step);
}

void Membership::onTick(Step *step) {
  const TimePoint now = step->now.steady;
  checkProbes(step);
  checkSuspects(step);
  if (now >= nextRoundAt_) {
    startProbe(step);
    // Rounds missed during a pause are skipped.
    nextRoundAt_ = now + options_.probeInterval;
  }
  nextWakeAt_ = nextRoundAt_;
  for (const Probe &probe : probes_)
    nextWakeAt_ =
        std::min(nextWakeAt_,
                 probe.sentAt + options_.ackTimeout * (probe.indirect ? 3 : 1));
}

void Membership::sendIndirectProbes(const Probe &probe, Step *step) {
  for (const Member *intermediary : sample(options_.fanout, probe.target)) {
    Ping ping;
    ping.sequence = probe.sequence;
    ping.target = probe.target;
    ping.gossip = makeGossip();
    send(intermediary->info, std::move(ping), step);
  }
}

void Membership::checkProbes(Step *step) {
  const TimePoint now = step->now.steady;
  std::vector<Probe> remaining;
  for (Probe &probe : probes_) {
    const Duration waited = now - probe.sentAt;
    if (waited < options_.ackTimeout ||
        (probe.indirect && waited < options_.ackTimeout * 3)) {
      remaining.push_back(probe);
      continue;
    }
    // A failed probe on behalf of another host needs no reply; that host has
    // its own timer.
    if (!probe.requester.empty())
      continue;
    if (!probe.indirect) {
      probe.indirect = true;
      sendIndirectProbes(probe, step);
      remaining.push_back(probe);
      continue;
    }
    const auto found = members_.find(probe.target);
    if (found == members_.end() ||
        found->second.info.state != MemberState::Alive)
      continue;
    MemberInfo suspected = found->second.info;
    suspected.state = MemberState::Suspect;
    apply(suspected, step);
  }
  probes_ = std::move(remaining);
}

void Membership::checkSuspects(Step *step) {
  const TimePoint now = step->now.steady;
  std::vector<MemberInfo> overdue;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member &member = it->second;
    const Duration age = now - member.updatedAt;
    if (!isUp(member.info.state) && age > options_.deadRetention) {
      it = members_.erase(it);
      continue;
    }
    if (member.info.state == MemberState::Suspect &&
        age > options_.suspectTimeout) {
      overdue.push_back(member.info);
      overdue.back().state = MemberState::Dead;
    }
    ++it;
  }
  for (const MemberInfo &info : overdue)
    apply(info, step);
}

void Membership::refute(const MemberInfo &info) {
  const bool mustRefute =
      info.state != MemberState::Alive && self_.state == MemberState::Alive;
  if (!mustRefute || info.incarnation < self_.incarnation)
    return;
  self_.incarnation = info.incarnation + 1;
}

void Membership::apply(const MemberInfo &info, Step *step) {
  if (info.host == self_.host)
    return refute(info);
  const auto found = members_.find(info.host);
  if (found == members_.end() && members_.size() >= options_.maxMembers)
    return;
  if (found != members_.end() && !overrides(info, found->second.info))
    return;
  Member &member = members_[info.host];
  const bool stateChanged =
      found == members_.end() || member.info.state != info.state;
  member.info = info;
  member.updatedAt = step->now.steady;
  member.sendsLeft = sendsPerUpdate();
  if (!stateChanged)
    return;
  step->addAction(
      WriteLogEntry{LogEntryLevel::Info,
                    "member_changed",
                    {{"member", info.host},
                     {"state", toString(info.state)},
                     {"incarnation", std::to_string(info.incarnation)}}});
}

void Membership::mergeGossip(const std::string &from, const Gossip &gossip,
                             Step *step) {
  for (const MemberInfo &info : gossip.members)
    apply(info, step);
  for (const LeavingNotice &notice : gossip.leaving)
    step->postEvent(LeavingDetected{notice});
  const auto sender = members_.find(from);
  if (sender == members_.end())
    return;
  sender->second.generation =
      std::max(sender->second.generation, gossip.generation);
  if (gossip.generation > generation_)
    step->postEvent(GenerationAnnounced{from, sender->second.info.endpoint,
                                        gossip.generation});
}

void Membership::onPing(const std::string &from, const Ping &ping, Step *step) {
  mergeGossip(from, ping.gossip, step);
  const auto sender = members_.find(from);
  if (sender == members_.end())
    return;
  if (!ping.target.empty() && ping.target != self_.host) {
    const auto target = members_.find(ping.target);
    if (target == members_.end())
      return;
    probe(target->second.info, step);
    probes_.back().requester = from;
    probes_.back().requesterSequence = ping.sequence;
    return;
  }
  // A sender that is listed as dead learns this from the reply and refutes it.
  if (!isUp(sender->second.info.state))
    sender->second.sendsLeft = std::max(sender->second.sendsLeft, 1);
  Ack ack;
  ack.sequence = ping.sequence;
  ack.subject = self_.host;
  ack.gossip = makeGossip();
  send(sender->second.info, std::move(ack), step);
}

void Membership::onAck(const std::string &from, const Ack &ack, Step *step) {
  mergeGossip(from, ack.gossip, step);
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    const Probe probe = probes_[i];
    if (probe.sequence != ack.sequence || probe.target != ack.subject)
      continue;
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
    const auto requesterMember = members_.find(probe.requester);
    if (requesterMember == members_.end())
      return;
    Ack relayedAck;
    relayedAck.sequence = probe.requesterSequence;
    relayedAck.subject = probe.target;
    relayedAck.gossip = makeGossip();
    return send(requesterMember->second.info, std::move(relayedAck), step);
  }
}

std::vector<const Membership::Member *>
Membership::sample(std::size_t count, const std::string &except) {
  std::vector<const Member *> candidates;
  for (const auto &[host, member] : members_)
    if (member.info.state == MemberState::Alive && host != except)
      candidates.push_back(&member);
  std::shuffle(candidates.begin(), candidates.end(), random_);
  candidates.resize(std::min(count, candidates.size()));
  return candidates;
}

void Membership::setGeneration(std::uint64_t generation, Step *step) {
  if (generation <= generation_)
    return;
  generation_ = generation;
  for (const Member *member : sample(options_.fanout, ""))
    probe(member->info, step);
}

void Membership::leave(Step *step) {
  self_.state = MemberState::Left;
  for (const Member *member : sample(options_.fanout, "")) {
    Ping ping;
    ping.sequence = ++sequence_;
    ping.gossip = makeGossip();
    send(member->info, std::move(ping), step);
  }
}

void Membership::gossipLeaving(const LeavingNotice &notice) {
  constexpr std::size_t MaxSeenLeaving = 10000;
  std::string &seen = seenLeaving_[notice.upstream];
  if (seen == notice.incarnation && !notice.incarnation.empty())
    return;
  seen = notice.incarnation;
  if (seenLeaving_.size() > MaxSeenLeaving)
    seenLeaving_.erase(seenLeaving_.begin());
  leaving_.push_back({notice, sendsPerUpdate()});
}

std::vector<std::string> Membership::aliveHosts() const {
  std::vector<std::string> hosts{self_.host};
  for (const auto &[host, member] : members_)
    if (isUp(member.info.state))
      hosts.push_back(host);
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

std::size_t Membership::aliveCount() const { return aliveHosts().size(); }

const MemberInfo *Membership::find(const std::string &host) const {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second.info;
}

bool Membership::isSelectedWatcher(std::size_t count) const {
  const std::uint64_t own = stableHash(self_.host);
  std::size_t higherRanked = 0;
  for (const auto &[host, member] : members_) {
    const bool isCandidate = member.info.state == MemberState::Alive &&
                             member.info.dataCentre == self_.dataCentre;
    if (isCandidate && stableHash(host) > own)
      ++higherRanked;
  }
  return higherRanked < count;
}

nlohmann::json Membership::dump() const {
  nlohmann::json json = nlohmann::json::array();
  json.push_back({{"host", self_.host},
                  {"state", toString(self_.state)},
                  {"data_centre", self_.dataCentre},
                  {"peer_address", auburnspring::toString(self_.endpoint)},
                  {"address", auburnspring::toString(self_.callerEndpoint)},
                  {"incarnation", self_.incarnation},
                  {"generation", generation_}});
  for (const auto &[host, member] : members_)
    json.push_back(
        {{"host", host},
         {"state", toString(member.info.state)},
         {"data_centre", member.info.dataCentre},
         {"peer_address", auburnspring::toString(member.info.endpoint)},
         {"address", auburnspring::toString(member.info.callerEndpoint)},
         {"incarnation", member.info.incarnation},
         {"generation", member.generation}});
  return json;
}

} // namespace auburnspring
