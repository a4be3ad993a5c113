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

// A higher life or refutation wins; within one the graver state wins.
bool overrides(const MemberRumour &next, const MemberRumour &present) {
  if (next.incarnation != present.incarnation)
    return next.incarnation > present.incarnation;
  return next.state > present.state;
}

} // namespace

Membership::Membership(Options options)
    : options_(std::move(options)), self_(options_.self),
      random_(options_.seed) {
  selfSendsLeft_ = 8;
}

int Membership::sendsPerRumour() const {
  const double size = static_cast<double>(members_.size() + 2);
  return 3 + static_cast<int>(std::ceil(2 * std::log2(size)));
}

void Membership::send(const MemberRumour &to, PeerMessage message,
                      Step *step) const {
  step->act(SendToPeer{to.host, to.endpoint, std::move(message)});
}

Gossip Membership::compose() {
  Gossip gossip;
  gossip.generation = generation_;
  // The sender is always part, so that a newcomer is known at its first probe.
  gossip.members.push_back(self_);
  std::vector<Member *> fresh;
  for (auto &[host, member] : members_)
    if (member.sendsLeft > 0)
      fresh.push_back(&member);
  std::sort(fresh.begin(), fresh.end(), [](const Member *a, const Member *b) {
    return a->sendsLeft > b->sendsLeft;
  });
  for (Member *member : fresh) {
    if (gossip.members.size() >= options_.rumoursPerMessage)
      break;
    gossip.members.push_back(member->rumour);
    --member->sendsLeft;
  }
  for (LeavingSpread &spread : leaving_) {
    if (gossip.leaving.size() >= options_.rumoursPerMessage)
      break;
    gossip.leaving.push_back(spread.rumour);
    --spread.sendsLeft;
  }
  leaving_.erase(
      std::remove_if(leaving_.begin(), leaving_.end(),
                     [](const LeavingSpread &s) { return s.sendsLeft <= 0; }),
      leaving_.end());
  return gossip;
}

bool Membership::nextTarget(MemberRumour *target) {
  while (true) {
    if (order_.empty()) {
      for (const auto &[host, member] : members_)
        if (isUp(member.rumour.state))
          order_.push_back(host);
      if (order_.empty())
        return false;
      std::shuffle(order_.begin(), order_.end(), random_);
    }
    const auto found = members_.find(order_.back());
    order_.pop_back();
    if (found == members_.end() || !isUp(found->second.rumour.state))
      continue;
    *target = found->second.rumour;
    return true;
  }
}

bool Membership::healTarget(MemberRumour *target) {
  std::vector<MemberRumour> candidates;
  for (const Seed &seed : options_.seeds) {
    const auto found = members_.find(seed.name);
    if (found != members_.end() && isUp(found->second.rumour.state))
      continue;
    MemberRumour rumour;
    rumour.host = seed.name;
    rumour.endpoint = seed.endpoint;
    candidates.push_back(rumour);
  }
  for (const auto &[host, member] : members_)
    if (member.rumour.state == MemberState::Dead)
      candidates.push_back(member.rumour);
  if (candidates.empty())
    return false;
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  *target = candidates[index(random_)];
  return true;
}

void Membership::probe(const MemberRumour &target, Step *step) {
  Probe probe;
  probe.sequence = ++sequence_;
  probe.target = target.host;
  probe.sentAt = step->now.steady;
  Ping ping;
  ping.sequence = probe.sequence;
  ping.gossip = compose();
  probes_.push_back(std::move(probe));
  send(target, std::move(ping), step);
}

void Membership::startProbe(Step *step) {
  ++rounds_;
  MemberRumour target;
  const bool found = nextTarget(&target);
  if (found)
    probe(target, step);
  const bool heal = !found || rounds_ % options_.healEvery == 0;
  if (heal && healTarget(&target))
    probe(target, step);
}

void Membership::onTick(Step *step) {
  const TimePoint now = step->now.steady;
  checkProbes(step);
  checkSuspects(step);
  if (now >= nextRoundAt_) {
    startProbe(step);
    // After a pause the rounds missed are not made up for.
    nextRoundAt_ = now + options_.probeInterval;
  }
  nextProbeAt_ = nextRoundAt_;
  for (const Probe &probe : probes_)
    nextProbeAt_ =
        std::min(nextProbeAt_,
                 probe.sentAt + options_.ackTimeout * (probe.indirect ? 3 : 1));
}

void Membership::askHelpers(const Probe &probe, Step *step) {
  for (const Member *helper : sample(options_.helpers, probe.target)) {
    Ping ping;
    ping.sequence = probe.sequence;
    ping.target = probe.target;
    ping.gossip = compose();
    send(helper->rumour, std::move(ping), step);
  }
}

void Membership::checkProbes(Step *step) {
  const TimePoint now = step->now.steady;
  std::vector<Probe> open;
  for (Probe &probe : probes_) {
    const Duration waited = now - probe.sentAt;
    if (waited < options_.ackTimeout ||
        (probe.indirect && waited < options_.ackTimeout * 3)) {
      open.push_back(probe);
      continue;
    }
    // A probe for another host ends in silence; that host has its own timer.
    if (!probe.askedBy.empty())
      continue;
    if (!probe.indirect) {
      probe.indirect = true;
      askHelpers(probe, step);
      open.push_back(probe);
      continue;
    }
    const auto found = members_.find(probe.target);
    if (found == members_.end() ||
        found->second.rumour.state != MemberState::Alive)
      continue;
    MemberRumour suspicion = found->second.rumour;
    suspicion.state = MemberState::Suspect;
    apply(suspicion, step);
  }
  probes_ = std::move(open);
}

void Membership::checkSuspects(Step *step) {
  const TimePoint now = step->now.steady;
  std::vector<MemberRumour> overdue;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member &member = it->second;
    const Duration age = now - member.since;
    if (!isUp(member.rumour.state) && age > options_.forgetDead) {
      it = members_.erase(it);
      continue;
    }
    if (member.rumour.state == MemberState::Suspect &&
        age > options_.suspectTimeout) {
      overdue.push_back(member.rumour);
      overdue.back().state = MemberState::Dead;
    }
    ++it;
  }
  for (const MemberRumour &rumour : overdue)
    apply(rumour, step);
}

void Membership::refute(const MemberRumour &rumour) {
  const bool wrong =
      rumour.state != MemberState::Alive && self_.state == MemberState::Alive;
  if (!wrong || rumour.incarnation < self_.incarnation)
    return;
  self_.incarnation = rumour.incarnation + 1;
}

void Membership::apply(const MemberRumour &rumour, Step *step) {
  if (rumour.host == self_.host)
    return refute(rumour);
  const auto found = members_.find(rumour.host);
  if (found == members_.end() && members_.size() >= options_.maxMembers)
    return;
  if (found != members_.end() && !overrides(rumour, found->second.rumour))
    return;
  Member &member = members_[rumour.host];
  const bool stateChanged =
      found == members_.end() || member.rumour.state != rumour.state;
  member.rumour = rumour;
  member.since = step->now.steady;
  member.sendsLeft = sendsPerRumour();
  if (!stateChanged)
    return;
  step->act(WriteNote{NoteLevel::Info,
                      "member_changed",
                      {{"member", rumour.host},
                       {"state", toString(rumour.state)},
                       {"incarnation", std::to_string(rumour.incarnation)}}});
}

void Membership::absorb(const std::string &from, const Gossip &gossip,
                        Step *step) {
  for (const MemberRumour &rumour : gossip.members)
    apply(rumour, step);
  for (const LeavingRumour &rumour : gossip.leaving)
    step->follow(LeavingSeen{rumour});
  const auto sender = members_.find(from);
  if (sender == members_.end())
    return;
  sender->second.generation =
      std::max(sender->second.generation, gossip.generation);
  if (gossip.generation > generation_)
    step->follow(GenerationHeard{from, sender->second.rumour.endpoint,
                                 gossip.generation});
}

void Membership::onPing(const std::string &from, const Ping &ping, Step *step) {
  absorb(from, ping.gossip, step);
  const auto sender = members_.find(from);
  if (sender == members_.end())
    return;
  if (!ping.target.empty() && ping.target != self_.host) {
    const auto target = members_.find(ping.target);
    if (target == members_.end())
      return;
    probe(target->second.rumour, step);
    probes_.back().askedBy = from;
    probes_.back().askedSequence = ping.sequence;
    return;
  }
  // Whoever is taken for dead learns so by the answer and can refute it.
  if (!isUp(sender->second.rumour.state))
    sender->second.sendsLeft = std::max(sender->second.sendsLeft, 1);
  Ack ack;
  ack.sequence = ping.sequence;
  ack.subject = self_.host;
  ack.gossip = compose();
  send(sender->second.rumour, std::move(ack), step);
}

void Membership::onAck(const std::string &from, const Ack &ack, Step *step) {
  absorb(from, ack.gossip, step);
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    const Probe probe = probes_[i];
    if (probe.sequence != ack.sequence || probe.target != ack.subject)
      continue;
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
    const auto asker = members_.find(probe.askedBy);
    if (asker == members_.end())
      return;
    Ack relayed;
    relayed.sequence = probe.askedSequence;
    relayed.subject = probe.target;
    relayed.gossip = compose();
    return send(asker->second.rumour, std::move(relayed), step);
  }
}

std::vector<const Membership::Member *>
Membership::sample(std::size_t count, const std::string &except) {
  std::vector<const Member *> up;
  for (const auto &[host, member] : members_)
    if (member.rumour.state == MemberState::Alive && host != except)
      up.push_back(&member);
  std::shuffle(up.begin(), up.end(), random_);
  up.resize(std::min(count, up.size()));
  return up;
}

void Membership::setGeneration(std::uint64_t generation, Step *step) {
  if (generation <= generation_)
    return;
  generation_ = generation;
  for (const Member *member : sample(options_.helpers, ""))
    probe(member->rumour, step);
}

void Membership::leave(Step *step) {
  self_.state = MemberState::Left;
  for (const Member *member : sample(options_.helpers, "")) {
    Ping ping;
    ping.sequence = ++sequence_;
    ping.gossip = compose();
    send(member->rumour, std::move(ping), step);
  }
}

void Membership::spread(const LeavingRumour &rumour) {
  constexpr std::size_t MaxKnown = 10000;
  std::string &known = leavingKnown_[rumour.upstream];
  if (known == rumour.incarnation && !rumour.incarnation.empty())
    return;
  known = rumour.incarnation;
  if (leavingKnown_.size() > MaxKnown)
    leavingKnown_.erase(leavingKnown_.begin());
  leaving_.push_back({rumour, sendsPerRumour()});
}

std::vector<std::string> Membership::aliveHosts() const {
  std::vector<std::string> hosts{self_.host};
  for (const auto &[host, member] : members_)
    if (isUp(member.rumour.state))
      hosts.push_back(host);
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

std::size_t Membership::aliveCount() const { return aliveHosts().size(); }

const MemberRumour *Membership::find(const std::string &host) const {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second.rumour;
}

bool Membership::isAmongFirst(std::size_t count) const {
  const std::uint64_t own = stableHash(self_.host);
  std::size_t ahead = 0;
  for (const auto &[host, member] : members_) {
    const bool rival = member.rumour.state == MemberState::Alive &&
                       member.rumour.dataCentre == self_.dataCentre;
    if (rival && stableHash(host) > own)
      ++ahead;
  }
  return ahead < count;
}

nlohmann::json Membership::dump() const {
  nlohmann::json json = nlohmann::json::array();
  json.push_back({{"host", self_.host},
                  {"state", toString(self_.state)},
                  {"data_centre", self_.dataCentre},
                  {"peer_address", auburnspring::toString(self_.endpoint)},
                  {"address", auburnspring::toString(self_.callers)},
                  {"incarnation", self_.incarnation},
                  {"generation", generation_}});
  for (const auto &[host, member] : members_)
    json.push_back(
        {{"host", host},
         {"state", toString(member.rumour.state)},
         {"data_centre", member.rumour.dataCentre},
         {"peer_address", auburnspring::toString(member.rumour.endpoint)},
         {"address", auburnspring::toString(member.rumour.callers)},
         {"incarnation", member.rumour.incarnation},
         {"generation", member.generation}});
  return json;
}

} // namespace auburnspring
