#include "request_limit_codec.h"

namespace auburnspring {

namespace {

constexpr std::size_t MaxLimits = 1024;

nlohmann::json toJson(const UpstreamLimit &limit) {
  return {limit.upstream, limit.startedAtMillis, limit.perSecond.value_or(0),
          limit.age.count()};
}

UpstreamLimit readLimit(const nlohmann::json &fields) {
  UpstreamLimit limit;
  limit.upstream = fields.at(0).get<std::string>();
  limit.startedAtMillis = fields.at(1).get<std::int64_t>();
  const double perSecond = fields.at(2).get<double>();
  if (perSecond > 0)
    limit.perSecond = perSecond;
  limit.age = Duration(fields.at(3).get<std::int64_t>());
  return limit;
}

} // namespace

nlohmann::json toJson(const std::vector<UpstreamLimit> &limits) {
  nlohmann::json list = nlohmann::json::array();
  for (const UpstreamLimit &limit : limits)
    list.push_back(toJson(limit));
  return list;
}

std::vector<UpstreamLimit> readLimits(const nlohmann::json &json) {
  std::vector<UpstreamLimit> limits;
  for (const nlohmann::json &fields : json) {
    if (limits.size() >= MaxLimits)
      break;
    limits.push_back(readLimit(fields));
  }
  return limits;
}

nlohmann::json toJson(const UpstreamLimitUpdate &update) {
  return toJson(update.limits);
}

nlohmann::json toJson(const PermitRequest &request) {
  return {{"n", request.number}, {"limit", toJson(request.limit)}};
}

nlohmann::json toJson(const PermitReply &reply) {
  return {{"n", reply.number},
          {"granted", reply.granted},
          {"retry", reply.retryIn.count()}};
}

PermitRequest readPermitRequest(const nlohmann::json &json) {
  return {json.at("n").get<std::uint64_t>(), readLimit(json.at("limit"))};
}

PermitReply readPermitReply(const nlohmann::json &json) {
  return {json.at("n").get<std::uint64_t>(), json.at("granted").get<bool>(),
          Duration(json.at("retry").get<std::int64_t>())};
}

} // namespace auburnspring
