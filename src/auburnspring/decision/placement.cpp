#include "auburnspring/decision/placement.h"

#include "auburnspring/decision/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace auburnspring {

namespace {

/// Orders the engines of a pool that are equally fast.
constexpr std::string_view BandKey = "band";
/// Distance from the band of a prompt, as a share of the pool, at which an
/// engine costs as much as the longest pause that is on time.
constexpr double BandRamp = 0.25;

bool isAvoided(const UpstreamState &upstream,
               absl::Span<const std::string> avoid) {
  return std::find(avoid.begin(), avoid.end(), upstream.entry.id) !=
         avoid.end();
}

std::vector<UpstreamStatePtr>
candidates(absl::Span<const UpstreamStatePtr> upstreams,
           const PlacementRequest &request, TimePoint now) {
  using Filter = bool (*)(const UpstreamState &, TimePoint);
  // From the most to the least suitable. An upstream that refuses a peer may
  // still take requests of this host, and one that is ejected is better than
  // none.
  static constexpr Filter Filters[] = {
      [](const UpstreamState &upstream, TimePoint at) {
        return upstream.acceptsWork(at) && at >= upstream.refusesPeersUntil;
      },
      [](const UpstreamState &upstream, TimePoint at) {
        return upstream.acceptsWork(at);
      },
      [](const UpstreamState &upstream, TimePoint at) {
        return upstream.mayBeSentWork(at);
      }};
  std::vector<UpstreamStatePtr> found;
  for (const Filter filter : Filters) {
    for (const UpstreamStatePtr &upstream : upstreams)
      if (filter(*upstream, now) && !isAvoided(*upstream, request.avoid) &&
          hasVersion(*upstream, request.softwareVersion))
        found.push_back(upstream);
    if (!found.empty())
      break;
  }
  return found;
}

/// An engine, and how far it is from the band of the request's prompt.
struct Candidate {
  UpstreamStatePtr engine;
  double bandDistance = 0;
};

/// Class of speed of an engine: half an octave each, slow ones first.
int speedClass(const UpstreamState &engine) {
  return -static_cast<int>(std::lround(2 * std::log2(engine.speed.lasting())));
}

/// The engines with their distance from the band of the request. The engines of
/// a pool are ordered from the slowest, which serve the shortest prompts, in an
/// order that is the same at all hosts.
std::vector<Candidate> placedInBands(absl::Span<const UpstreamStatePtr> engines,
                                     const PlacementRequest &request) {
  std::vector<Candidate> placed;
  placed.reserve(engines.size());
  if (request.bands == nullptr || request.eventGap <= Duration(0)) {
    for (const UpstreamStatePtr &engine : engines)
      placed.push_back({engine, 0});
    return placed;
  }
  const PromptBand band =
      request.bands->band(request.promptTokens, engines.size());
  std::map<int, double> capacity;
  double total = 0;
  for (const UpstreamStatePtr &engine : engines) {
    const double share = 1 / engine->speed.lasting();
    capacity[speedClass(*engine)] += share;
    total += share;
  }
  for (const UpstreamStatePtr &engine : engines) {
    const int own = speedClass(*engine);
    double before = 0;
    for (const auto &entry : capacity)
      if (entry.first < own)
        before += entry.second;
    const double within =
        static_cast<double>(rendezvousWeight(BandKey, engine->entry.id)) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double position = (before + within * capacity[own]) / total;
    placed.push_back({engine, band.distance(position)});
  }
  return placed;
}

/// Cost in ms of an engine outside the band of the request. The more of the
/// prompt is shared, the less it counts against an engine that keeps that.
double bandCost(double distance, const PlacementRequest &request) {
  const double ownShare =
      1 -
      static_cast<double>(request.sharedTokens()) /
          static_cast<double>(std::max<std::int64_t>(request.promptTokens, 1));
  return toMillis(request.eventGap) * std::min(1.0, distance / BandRamp) *
         ownShare * ownShare;
}

/// Moves the engine that ranks first for the key to the front, and the second
/// behind it.
void moveRankedFirst(std::string_view key, std::vector<Candidate> *engines) {
  using Rank = std::pair<std::uint64_t, std::size_t>;
  std::vector<Rank> ranks;
  ranks.reserve(engines->size());
  for (std::size_t i = 0; i < engines->size(); ++i)
    ranks.emplace_back(rendezvousWeight(key, (*engines)[i].engine->entry.id),
                       i);
  const auto top =
      static_cast<std::ptrdiff_t>(std::min<std::size_t>(2, ranks.size()));
  std::partial_sort(ranks.begin(), ranks.begin() + top, ranks.end(),
                    std::greater<>());
  const std::size_t first = ranks[0].second;
  std::swap((*engines)[0], (*engines)[first]);
  if (top < 2)
    return;
  // The first swap may have moved the second.
  const std::size_t second = ranks[1].second == 0 ? first : ranks[1].second;
  std::swap((*engines)[1], (*engines)[second]);
}

PrefixState prefixAtRank(std::size_t rank) {
  static constexpr PrefixState States[] = {PrefixState::Kept,
                                           PrefixState::ProbablyKept};
  return rank < std::size(States) ? States[rank] : PrefixState::Missing;
}

} // namespace

EngineChoice chooseForCall(absl::Span<const UpstreamStatePtr> upstreams,
                           const PlacementRequest &request, TimePoint now,
                           std::mt19937_64 *random) {
  const std::vector<UpstreamStatePtr> found =
      candidates(upstreams, request, now);
  if (found.empty())
    return {};
  std::uniform_int_distribution<std::size_t> any(0, found.size() - 1);
  const UpstreamStatePtr &a = found[any(*random)];
  const UpstreamStatePtr &b = found[any(*random)];
  const UpstreamForecast atA = forecastCall(*a, now);
  const UpstreamForecast atB = forecastCall(*b, now);
  return atA.cost <= atB.cost ? EngineChoice{a, 0, atA}
                              : EngineChoice{b, 0, atB};
}

EngineChoice chooseEngine(absl::Span<const UpstreamStatePtr> upstreams,
                          const EngineLimits &limits,
                          const PlacementRequest &request, TimePoint now,
                          std::mt19937_64 *random) {
  const std::vector<UpstreamStatePtr> found =
      candidates(upstreams, request, now);
  if (found.empty())
    return {};
  std::vector<Candidate> engines = placedInBands(found, request);
  std::shuffle(engines.begin(), engines.end(), *random);
  // Requests that share a prefix prefer the engines that rank first for it.
  const std::string_view sharedKey = request.sharedKey();
  if (!sharedKey.empty())
    moveRankedFirst(sharedKey, &engines);
  EngineChoice best;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const PrefixState prefix =
        sharedKey.empty() ? PrefixState::NotShared : prefixAtRank(i);
    UpstreamForecast forecast =
        forecastStream(*engines[i].engine, limits, request, prefix, now);
    forecast.cost += bandCost(engines[i].bandDistance, request);
    if (best.engine == nullptr || forecast.cost < best.forecast.cost)
      best = {engines[i].engine, forecast.pendingTokens, forecast};
  }
  return best;
}

} // namespace auburnspring
