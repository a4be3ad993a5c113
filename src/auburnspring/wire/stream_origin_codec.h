#ifndef AUBURNSPRING_WIRE_STREAM_ORIGIN_CODEC_H
#define AUBURNSPRING_WIRE_STREAM_ORIGIN_CODEC_H

#include "auburnspring/decision/peer_message.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace auburnspring {

nlohmann::json toJson(const std::vector<StreamOrigin> &origins);
nlohmann::json toJson(const StreamOriginsUpdate &update);
nlohmann::json toJson(const StreamOriginQuery &query);
nlohmann::json toJson(const StreamOriginReply &reply);

/// Reads the origins of a message, as many as one may hold. Hosts of an earlier
/// release send none. The readers throw nlohmann::json::exception on a
/// malformed field.
std::vector<StreamOrigin> readOrigins(const nlohmann::json &json);
StreamOriginQuery readOriginQuery(const nlohmann::json &json);
StreamOriginReply readOriginReply(const nlohmann::json &json);

} // namespace auburnspring

#endif
