#ifndef AUBURNSPRING_WIRE_UPSTREAM_STATEMENT_CODEC_H
#define AUBURNSPRING_WIRE_UPSTREAM_STATEMENT_CODEC_H

#include "auburnspring/decision/peer_message.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace auburnspring {

// Facts about upstreams and permits, as the peer protocol encodes them.
// The readers throw nlohmann::json::exception.

nlohmann::json toJson(const std::vector<UpstreamStatement> &statements);
/// Statements of kinds that this release does not know are left out.
std::vector<UpstreamStatement> readStatements(const nlohmann::json &json);

nlohmann::json toJson(const UpstreamStatementUpdate &update);
nlohmann::json toJson(const PermitRequest &request);
nlohmann::json toJson(const PermitReply &reply);
PermitRequest readPermitRequest(const nlohmann::json &json);
PermitReply readPermitReply(const nlohmann::json &json);
nlohmann::json toJson(const PermitRelease &release);
PermitRelease readPermitRelease(const nlohmann::json &json);

} // namespace auburnspring

#endif
