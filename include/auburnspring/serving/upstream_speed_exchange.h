#ifndef AUBURNSPRING_SERVING_UPSTREAM_SPEED_EXCHANGE_H
#define AUBURNSPRING_SERVING_UPSTREAM_SPEED_EXCHANGE_H

#include "auburnspring/decision/pool_pace.h"
#include "auburnspring/decision/slowdown_statements.h"
#include "auburnspring/serving/attempt.h"

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace auburnspring {

/// Learns how fast upstreams are from the responses to this host and the
/// figures of peers. Only pools whose upstreams state how slow their machines
/// are take part; the upstreams of others count as equally fast.
class UpstreamSpeedExchange {
public:
  explicit UpstreamSpeedExchange(UpstreamRegistry *registry)
      : statements_(registry) {}

  /// Records the pace of a stream, once enough of its events have come.
  void onEvent(Attempt *attempt, TimePoint now);
  void onStreamEnd(Attempt *attempt, TimePoint now);
  /// Records what the head of a response reports. `expected` is the time that
  /// the response should have taken; 0 if not known.
  void onReport(Attempt *attempt, Duration expected, TimePoint now);

  /// The upstreams of the pool are told apart by their speed.
  bool isUneven(const std::string &pool) const {
    return unevenPools_.count(pool) > 0;
  }

  SlowdownStatements &statements() { return statements_; }

private:
  void observe(Attempt *attempt, TimePoint now);

  SlowdownStatements statements_;
  std::unordered_map<std::string, PoolPace> paces_;
  std::unordered_set<std::string> unevenPools_;
};

} // namespace auburnspring

#endif
