#ifndef AUBURNSPRING_WIRE_CONTENT_DELTA_CODEC_H
#define AUBURNSPRING_WIRE_CONTENT_DELTA_CODEC_H

#include "auburnspring/decision/content_delta.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace auburnspring {

// The readers throw nlohmann::json::exception on malformed fields.

nlohmann::json toJson(const HeldContent &held);
HeldContent readHeldContent(const nlohmann::json &json);
/// Reads a list, up to a limit; entries after it are ignored.
std::vector<HeldContent> readHeldContents(const nlohmann::json &json);

nlohmann::json toJson(const ContentDelta &delta);
ContentDelta readContentDelta(const nlohmann::json &json);

} // namespace auburnspring

#endif
