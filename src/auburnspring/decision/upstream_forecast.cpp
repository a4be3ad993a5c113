#include "auburnspring/decision/upstream_forecast.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Load reports of peers that are older than this are ignored.
constexpr Duration PeerLoadExpiry = std::chrono::milliseconds(1500);
/// What each running request adds to the time to the first event, in ms.
constexpr double MillisPerRunningRequest = 3;
/// Cost in ms of an engine without a free slot, or without memory.
constexpr double FullPenaltyMillis = 4000;
/// Share of an engine's memory that estimates may fill.
constexpr double MemoryShare = 0.9;
/// Cost of shared parts that an engine must prefill again, in multiples of
/// their prefill time and besides it, since that delays all other requests
/// there.
constexpr double CacheMissFactor = 8;
/// Share of that cost at the engine that ranks second: it has probably cached
/// the parts, from requests that exceeded the capacity of the first.
constexpr double SecondRankMissShare = 0.5;
/// Cost of a prefill to each stream that runs beside it, in multiples of its
/// time: a stream that pauses for too long is late as a whole.
constexpr double InterferenceFactor = 8;
/// Cost in ms of each result that is fetched from another data centre.
constexpr double CrossDataCentreMillis = 4;
/// Weight of failures against latency: the cost of an upstream is multiplied by
/// one plus this times its failure rate.
constexpr double FailureWeight = 8;
/// Latency assumed for an upstream without observations.
constexpr double DefaultLatencyMillis = 20;

template <typename Field>
std::int64_t sumWithPeers(const UpstreamState &upstream, TimePoint now,
                          std::int64_t total, Field field) {
  for (const auto &entry : upstream.peers)
    if (now < entry.second.at + PeerLoadExpiry)
      total += entry.second.*field;
  return total;
}

Duration millis(double count) {
  return Duration(static_cast<std::int64_t>(count * 1000));
}

double failureFactor(const UpstreamState &upstream) {
  return 1 + FailureWeight * upstream.failureRate;
}

double missFactor(PrefixState prefix) {
  switch (prefix) {
  case PrefixState::Missing:
    return CacheMissFactor;
  case PrefixState::ProbablyKept:
    return CacheMissFactor * SecondRankMissShare;
  case PrefixState::NotShared:
  case PrefixState::Kept:
    break;
  }
  return 0;
}

/// Cost in ms of what a prefill does to the streams that run beside it: each is
/// held up by it, which matters as far as the prefills there fill the pause
/// that a stream may make.
double interference(const PlacementRequest &request, double running,
                    double queuedMillis, double prefillMillis) {
  const double gap = toMillis(request.eventGap);
  if (gap <= 0)
    return 0;
  return InterferenceFactor * running * prefillMillis *
         std::min(1.0, (queuedMillis + prefillMillis) / gap);
}

bool hasRoom(const UpstreamState &engine, const EngineLimits &limits,
             const PlacementRequest &request, TimePoint now) {
  const std::int64_t held = sumWithPeers(engine, now, engine.reservedTokens,
                                         &PeerLoad::reservedTokens);
  const std::int64_t needed = request.promptTokens + request.outputTokens;
  return attemptsAt(engine, now) < limits.slots &&
         static_cast<double>(held + needed) <=
             MemoryShare * static_cast<double>(limits.cacheTokens);
}

} // namespace

std::int64_t attemptsAt(const UpstreamState &upstream, TimePoint now) {
  return sumWithPeers(upstream, now, upstream.inFlight, &PeerLoad::inFlight);
}

UpstreamForecast forecastCall(const UpstreamState &upstream, TimePoint now) {
  const double latency =
      (upstream.latency == Duration(0) ? DefaultLatencyMillis
                                       : toMillis(upstream.latency)) *
      upstream.speed.current(now);
  const std::int64_t slots = std::max<std::int64_t>(upstream.entry.slots, 1);
  const std::int64_t running = attemptsAt(upstream, now);
  const double load = 1 + std::max(static_cast<double>(running),
                                   upstream.speed.reportedRequests(now)) /
                              static_cast<double>(slots);
  UpstreamForecast forecast;
  forecast.hasRoom = running < slots;
  forecast.firstEvent = millis(latency * load);
  forecast.cost = latency * load * failureFactor(upstream);
  return forecast;
}

UpstreamForecast forecastStream(const UpstreamState &engine,
                                const EngineLimits &limits,
                                const PlacementRequest &request,
                                PrefixState prefix, TimePoint now) {
  const std::int64_t shared = request.sharedTokens();
  const std::int64_t uncached =
      request.promptTokens - (prefix == PrefixState::Kept ? shared : 0);
  const std::int64_t queued =
      sumWithPeers(engine, now, engine.prefillTokens, &PeerLoad::prefillTokens);
  const double running = std::max(static_cast<double>(attemptsAt(engine, now)),
                                  engine.speed.reportedRequests(now));
  const double millisPerToken =
      request.prefillMillisPerToken * engine.speed.current(now);
  const double queuedMillis = static_cast<double>(queued) * millisPerToken;
  const double prefillMillis = static_cast<double>(uncached) * millisPerToken;
  const double waitMillis = queuedMillis + running * MillisPerRunningRequest;
  UpstreamForecast forecast;
  forecast.hasRoom = hasRoom(engine, limits, request, now);
  forecast.pendingTokens = queued + uncached;
  forecast.firstEvent = millis(waitMillis + prefillMillis);
  forecast.cost =
      (waitMillis + (forecast.hasRoom ? 0 : FullPenaltyMillis)) *
          failureFactor(engine) +
      prefillMillis +
      static_cast<double>(shared) * millisPerToken * missFactor(prefix) +
      interference(request, running, queuedMillis, prefillMillis);
  for (const std::string &dataCentre : request.inputDataCentres)
    if (dataCentre != engine.entry.dataCentre)
      forecast.cost += CrossDataCentreMillis;
  return forecast;
}

} // namespace auburnspring
