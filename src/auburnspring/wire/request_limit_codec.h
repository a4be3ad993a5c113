#ifndef AUBURNSPRING_WIRE_REQUEST_LIMIT_CODEC_H
#define AUBURNSPRING_WIRE_REQUEST_LIMIT_CODEC_H

#include "auburnspring/decision/peer_message.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace auburnspring {

// Messages about upstreams' request limits, as the peer protocol encodes them.
// The readers throw nlohmann::json::exception.

nlohmann::json toJson(const std::vector<UpstreamLimit> &limits);
std::vector<UpstreamLimit> readLimits(const nlohmann::json &json);

nlohmann::json toJson(const UpstreamLimitUpdate &update);
nlohmann::json toJson(const PermitRequest &request);
nlohmann::json toJson(const PermitReply &reply);
PermitRequest readPermitRequest(const nlohmann::json &json);
PermitReply readPermitReply(const nlohmann::json &json);

} // namespace auburnspring

#endif
