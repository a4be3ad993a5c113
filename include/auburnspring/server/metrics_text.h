#ifndef AUBURNSPRING_SERVER_METRICS_TEXT_H
#define AUBURNSPRING_SERVER_METRICS_TEXT_H

#include <nlohmann/json.hpp>

#include <string>

namespace auburnspring {

/// The host's dump as Prometheus text: outcomes, attainment, cost by stage,
/// queues, retries, generation, key-value calls and peer traffic.
std::string metricsText(const nlohmann::json &dump);

} // namespace auburnspring

#endif
