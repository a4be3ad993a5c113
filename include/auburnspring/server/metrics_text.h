#ifndef AUBURNSPRING_SERVER_METRICS_TEXT_H
#define AUBURNSPRING_SERVER_METRICS_TEXT_H

#include <nlohmann/json.hpp>

#include <string>

namespace auburnspring {

/// Converts a host's dump to the Prometheus text format: outcomes, deadline
/// attainment, cost by stage, pool queues, retries, configuration generation,
/// key-value calls, peer traffic and ledger writes.
std::string metricsText(const nlohmann::json &dump);

} // namespace auburnspring

#endif
