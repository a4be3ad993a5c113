#include "auburnspring/decision/placement.h"

#include "auburnspring/decision/engine_speed.h"
#include "auburnspring/decision/rendezvous.h"

#include <algorithm>
#include <limits>

namespace auburnspring {

namespace {

/// What a peer said of its load counts this long.
constexpr Duration PeerLoadLife = std::chrono::milliseconds(1500);
/// What each running request adds to the time to the first event, in ms.
constexpr double StepMillisPerRunning = 3;
/// Cost in ms of an engine without a free slot, or without memory.
constexpr double FullPenaltyMillis = 4000;
/// Share of an engine's memory that estimates may fill.
constexpr double MemoryShare = 0.9;
/// How much sooner an engine must be for each token of shared parts that it has
/// to read again, in ms: besides its own time that holds up all others there.
constexpr double ReadAgainMillisPerToken = 0.08;
/// The second in rank has probably read the parts of requests that the first
/// had no place for.
constexpr double SecondReaderShare = 0.5;
/// What results from another data centre cost, in ms.
constexpr double CrossingMillis = 4;
/// Weight of a failure against a slow answer: an upstream that fails half of
/// its attempts must be so much faster to be chosen.
constexpr double FailureWeight = 8;
constexpr double PriorLatencyMillis = 20;

bool isAvoided(const ServedUpstream &upstream,
               absl::Span<const std::string> avoid) {
  return std::find(avoid.begin(), avoid.end(), upstream.entry.id) !=
         avoid.end();
}

std::vector<ServedUpstreamPtr>
candidates(absl::Span<const ServedUpstreamPtr> upstreams,
           const PlacementRequest &request, TimePoint now) {
  std::vector<ServedUpstreamPtr> found;
  for (const ServedUpstreamPtr &upstream : upstreams)
    if (upstream->takesWork(now) && !isAvoided(*upstream, request.avoid))
      found.push_back(upstream);
  if (!found.empty())
    return found;
  // With every upstream set aside one of them is still better than none.
  for (const ServedUpstreamPtr &upstream : upstreams)
    if (!upstream->isLeaving && !isAvoided(*upstream, request.avoid))
      found.push_back(upstream);
  return found;
}

template <typename Field>
std::int64_t withPeers(const ServedUpstream &upstream, TimePoint now,
                       std::int64_t own, Field field) {
  for (const auto &entry : upstream.peers)
    if (now < entry.second.at + PeerLoadLife)
      own += entry.second.*field;
  return own;
}

double plainCost(const ServedUpstream &upstream, TimePoint now) {
  const double latency = upstream.latency == Duration(0)
                             ? PriorLatencyMillis
                             : toMillis(upstream.latency);
  const double load =
      1 +
      static_cast<double>(attemptsAt(upstream, now)) /
          static_cast<double>(std::max<std::int64_t>(upstream.entry.slots, 1));
  return latency * load * (1 + FailureWeight * upstream.failureRate);
}

struct EngineLoad {
  double delayMillis = 0;
  bool isFull = false;
};

EngineLoad loadOf(const ServedUpstream &engine, const EngineLimits &limits,
                  const PlacementRequest &request, TimePoint now) {
  const std::int64_t running = attemptsAt(engine, now);
  const std::int64_t prefill =
      withPeers(engine, now, engine.prefillTokens, &PeerLoad::prefillTokens);
  const std::int64_t held =
      withPeers(engine, now, engine.heldTokens, &PeerLoad::heldTokens);
  const std::int64_t needed = request.promptTokens + request.outputTokens;
  EngineLoad load;
  load.delayMillis = toMillis(readingTime(prefill)) +
                     static_cast<double>(running) * StepMillisPerRunning;
  load.isFull = running >= limits.slots ||
                static_cast<double>(held + needed) >
                    MemoryShare * static_cast<double>(limits.cacheTokens);
  if (load.isFull)
    load.delayMillis += FullPenaltyMillis;
  load.delayMillis *= 1 + FailureWeight * engine.failureRate;
  return load;
}

} // namespace

std::int64_t attemptsAt(const ServedUpstream &upstream, TimePoint now) {
  return withPeers(upstream, now, upstream.inFlight, &PeerLoad::inFlight);
}

ServedUpstreamPtr placePlain(absl::Span<const ServedUpstreamPtr> upstreams,
                             const PlacementRequest &request, TimePoint now,
                             std::mt19937_64 *random) {
  const std::vector<ServedUpstreamPtr> found =
      candidates(upstreams, request, now);
  if (found.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, found.size() - 1);
  const ServedUpstreamPtr &a = found[any(*random)];
  const ServedUpstreamPtr &b = found[any(*random)];
  return plainCost(*a, now) <= plainCost(*b, now) ? a : b;
}

ServedUpstreamPtr placeEngine(absl::Span<const ServedUpstreamPtr> upstreams,
                              const EngineLimits &limits,
                              const PlacementRequest &request, TimePoint now,
                              std::mt19937_64 *random) {
  std::vector<ServedUpstreamPtr> found = candidates(upstreams, request, now);
  if (found.empty())
    return nullptr;
  std::shuffle(found.begin(), found.end(), *random);
  // The chain up to the last shared part decides where it is cached.
  std::int64_t shared = 0;
  std::string_view subject;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    shared += request.prompt[i].tokens;
    subject = request.prompt[i].id;
  }
  if (!subject.empty())
    std::sort(found.begin(), found.end(),
              [&](const ServedUpstreamPtr &a, const ServedUpstreamPtr &b) {
                return rendezvousWeight(subject, a->entry.id) >
                       rendezvousWeight(subject, b->entry.id);
              });
  ServedUpstreamPtr best;
  double bestMillis = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < found.size(); ++i) {
    const bool isCached = !subject.empty() && i == 0;
    const std::int64_t toRead = request.promptTokens - (isCached ? shared : 0);
    double millis = loadOf(*found[i], limits, request, now).delayMillis +
                    toMillis(readingTime(toRead));
    if (!subject.empty() && !isCached)
      millis += static_cast<double>(shared) * ReadAgainMillisPerToken *
                (i == 1 ? SecondReaderShare : 1);
    for (const std::string &dataCentre : request.inputDataCentres)
      if (dataCentre != found[i]->entry.dataCentre)
        millis += CrossingMillis;
    if (millis >= bestMillis)
      continue;
    bestMillis = millis;
    best = found[i];
  }
  return best;
}

} // namespace auburnspring
