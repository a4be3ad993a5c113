#include "stream_origin_codec.h"

namespace auburnspring {

namespace {

constexpr std::size_t MaxStreamOrigins = 5000;

nlohmann::json toJson(const StreamOrigin &origin) {
  return {origin.id,
          origin.pool,
          origin.softwareVersion,
          origin.revision,
          origin.expiresIn.count(),
          origin.isBound};
}

StreamOrigin readOrigin(const nlohmann::json &fields) {
  return {fields.at(0).get<std::string>(), fields.at(1).get<std::string>(),
          fields.at(2).get<std::string>(), fields.at(3).get<std::uint64_t>(),
          Duration(fields.at(4).get<std::int64_t>()),
          // Hosts of an earlier release don't say so.
          fields.size() > 5 && fields.at(5).is_boolean() &&
              fields.at(5).get<bool>()};
}

} // namespace

nlohmann::json toJson(const std::vector<StreamOrigin> &origins) {
  nlohmann::json list = nlohmann::json::array();
  for (const StreamOrigin &origin : origins)
    list.push_back(toJson(origin));
  return list;
}

std::vector<StreamOrigin> readOrigins(const nlohmann::json &json) {
  std::vector<StreamOrigin> origins;
  for (const nlohmann::json &fields :
       json.value("origins", nlohmann::json::array())) {
    if (origins.size() >= MaxStreamOrigins)
      break;
    origins.push_back(readOrigin(fields));
  }
  return origins;
}

nlohmann::json toJson(const StreamOriginsUpdate &update) {
  return {{"origins", toJson(update.origins)}};
}

nlohmann::json toJson(const StreamOriginQuery &query) {
  return {{"n", query.number}, {"id", query.id}};
}

nlohmann::json toJson(const StreamOriginReply &reply) {
  nlohmann::json fields = {{"n", reply.number}};
  if (reply.origin)
    fields["origin"] = toJson(*reply.origin);
  if (!reply.recorder.empty())
    fields["by"] = reply.recorder;
  return fields;
}

StreamOriginQuery readOriginQuery(const nlohmann::json &json) {
  return {json.at("n").get<std::uint64_t>(), json.at("id").get<std::string>()};
}

StreamOriginReply readOriginReply(const nlohmann::json &json) {
  StreamOriginReply reply;
  reply.number = json.at("n").get<std::uint64_t>();
  const auto found = json.find("origin");
  if (found != json.end())
    reply.origin = readOrigin(*found);
  // Hosts of an earlier release don't say so.
  reply.recorder = json.value("by", std::string());
  return reply;
}

} // namespace auburnspring
