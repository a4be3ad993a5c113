#ifndef AUBURNSPRING_SERVING_SERVING_CONTEXT_H
#define AUBURNSPRING_SERVING_SERVING_CONTEXT_H

#include "auburnspring/decision/pace.h"
#include "auburnspring/decision/repeat_allowance.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/serving/dialect.h"
#include "auburnspring/serving/piece_desk.h"
#include "auburnspring/serving/serving_metrics.h"

#include <asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace auburnspring {

/// What the requests of a host share. Only the loop's thread uses it.
struct ServingContext {
  asio::io_context *io = nullptr;
  const Dialect *dialect = nullptr;
  /// The configuration in force; null until one is known.
  std::shared_ptr<const RoutingTable> table;
  UpstreamRegistry registry;
  RepeatAllowance repeats;
  PieceDesk *pieces = nullptr;
  ServingMetrics metrics;
  /// Time of a stage from its hand-over to its results, by pool, and of an
  /// attempt to its first event beyond the reading of its prompt.
  Pace stagePace;
  Pace firstEventPace;
  /// Longest time that a caller of each route has had; one that has less comes
  /// back after a first attempt.
  std::unordered_map<std::string, Duration> longestWait;
  std::mt19937_64 random;
};

} // namespace auburnspring

#endif
