#include "auburnspring/serving/upstream_speed_exchange.h"

#include "auburnspring/decision/upstream_forecast.h"

#include <algorithm>

namespace auburnspring {

void UpstreamSpeedExchange::observe(Attempt *attempt, TimePoint now) {
  const std::optional<Duration> pace = attempt->pace().pace();
  if (!pace || attempt->isHandOver() ||
      !isUneven(attempt->upstream().entry.pool))
    return;
  UpstreamState *upstream = attempt->mutableUpstream();
  const std::optional<ReportedLoad> &load = attempt->responseInfo().load;
  const std::int64_t running =
      std::max(attemptsAt(*upstream, now), load ? load->running : 0);
  const double ratio = paces_[upstream->entry.pool].observe(*pace, running);
  upstream->speed.observe(ratio, now);
}

void UpstreamSpeedExchange::onEvent(Attempt *attempt, TimePoint now) {
  StreamPace &pace = attempt->pace();
  if (pace.isFull())
    return;
  pace.onEvent(now);
  if (pace.isFull())
    observe(attempt, now);
}

void UpstreamSpeedExchange::onStreamEnd(Attempt *attempt, TimePoint now) {
  if (!attempt->pace().isFull())
    observe(attempt, now);
}

void UpstreamSpeedExchange::onReport(Attempt *attempt, Duration expected,
                                     TimePoint now) {
  const std::optional<ReportedLoad> &load = attempt->responseInfo().load;
  if (!load || attempt->responseInfo().isMisdirected)
    return;
  if (load->statesSlowdown)
    unevenPools_.insert(attempt->upstream().entry.pool);
  else if (!isUneven(attempt->upstream().entry.pool))
    return;
  const double shown =
      expected > Duration(0)
          ? toMillis(now - attempt->startedAt()) / toMillis(expected)
          : 0;
  attempt->mutableUpstream()->speed.onReport(*load, shown, now);
}

} // namespace auburnspring
