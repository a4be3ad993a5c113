#include "content_delta_codec.h"

#include <string>

namespace auburnspring {

namespace {

/// Limit on the items that a request describes, above what the store holds.
constexpr std::size_t MaxHeldContents = 64;

nlohmann::json toBinary(const std::string &bytes) {
  return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

} // namespace

nlohmann::json toJson(const HeldContent &held) {
  return {held.key, held.digest, held.parts};
}

HeldContent readHeldContent(const nlohmann::json &json) {
  return {json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>(),
          json.at(2).get<std::vector<std::uint64_t>>()};
}

std::vector<HeldContent> readHeldContents(const nlohmann::json &json) {
  std::vector<HeldContent> contents;
  for (const nlohmann::json &held : json) {
    if (contents.size() >= MaxHeldContents)
      break;
    contents.push_back(readHeldContent(held));
  }
  return contents;
}

nlohmann::json toJson(const ContentDelta &delta) {
  nlohmann::json pieces = nlohmann::json::array();
  for (const ContentDelta::Piece &piece : delta.pieces)
    if (piece.count > 0)
      pieces.push_back({piece.first, piece.count});
    else
      pieces.push_back(toBinary(piece.bytes));
  return {delta.key, delta.revision, delta.base, delta.digest,
          std::move(pieces)};
}

ContentDelta readContentDelta(const nlohmann::json &json) {
  ContentDelta delta;
  delta.key = json.at(0).get<std::string>();
  delta.revision = json.at(1).get<std::int64_t>();
  delta.base = json.at(2).get<std::uint64_t>();
  delta.digest = json.at(3).get<std::uint64_t>();
  for (const nlohmann::json &fields : json.at(4)) {
    ContentDelta::Piece piece;
    if (fields.is_binary()) {
      const auto &bytes = fields.get_binary();
      piece.bytes.assign(bytes.begin(), bytes.end());
    } else {
      piece.first = fields.at(0).get<std::uint32_t>();
      piece.count = fields.at(1).get<std::uint32_t>();
    }
    delta.pieces.push_back(std::move(piece));
  }
  return delta;
}

} // namespace auburnspring
