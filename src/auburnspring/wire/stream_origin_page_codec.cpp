#include "auburnspring/wire/stream_origin_page_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace auburnspring {

namespace {

using nlohmann::json;

} // namespace

std::string encodeOriginPage(const std::vector<StreamOrigin> &origins) {
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> ids;
  Duration longest{0};
  for (const StreamOrigin &origin : origins) {
    ids[{origin.pool, origin.softwareVersion}].push_back(origin.id);
    longest = std::max(longest, origin.expiresIn);
  }
  json groups = json::array();
  for (const auto &group : ids)
    groups.push_back({group.first.first, group.first.second, group.second});
  const json page = {
      {"left_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()},
      {"groups", std::move(groups)}};
  const std::vector<std::uint8_t> bytes = json::to_cbor(page);
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<std::vector<StreamOrigin>>
decodeOriginPage(std::string_view value) {
  std::vector<StreamOrigin> origins;
  try {
    const json page = json::from_cbor(value.begin(), value.end());
    const Duration left =
        std::chrono::milliseconds(page.at("left_ms").get<std::int64_t>());
    for (const json &group : page.at("groups")) {
      StreamOrigin origin;
      origin.pool = group.at(0).get<std::string>();
      origin.softwareVersion = group.at(1).get<std::string>();
      origin.revision = 1;
      origin.expiresIn = left;
      origin.isBound = true;
      for (const json &id : group.at(2)) {
        origin.id = id.get<std::string>();
        origins.push_back(origin);
      }
    }
  } catch (const json::exception &error) {
    return absl::InvalidArgumentError(error.what());
  }
  return origins;
}

} // namespace auburnspring
