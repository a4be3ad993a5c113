#ifndef AUBURNSPRING_WIRE_PART_QUARANTINE_CODEC_H
#define AUBURNSPRING_WIRE_PART_QUARANTINE_CODEC_H

#include "auburnspring/decision/peer_message.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace auburnspring {

// Messages about prompt parts that crash upstreams, as the peer protocol
// encodes them. The readers throw nlohmann::json::exception.

nlohmann::json toJson(const std::vector<PartQuarantine> &states);
std::vector<PartQuarantine> readQuarantines(const nlohmann::json &json);

nlohmann::json toJson(const PartCrashReport &report);
nlohmann::json toJson(const PartQuarantineUpdate &update);
nlohmann::json toJson(const PartTrialRequest &request);
nlohmann::json toJson(const PartTrialReply &reply);
PartCrashReport readCrashReport(const nlohmann::json &json);

} // namespace auburnspring

#endif
