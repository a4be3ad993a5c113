#include "upstream_statement_codec.h"

namespace auburnspring {

namespace {

constexpr std::size_t MaxStatements = 1024;
constexpr auto LastKind = static_cast<unsigned>(StatementKind::Slowdown);

nlohmann::json toJson(const UpstreamStatement &statement) {
  return {statement.upstream, statement.startedAtMillis,
          statement.value.value_or(0), statement.age.count(),
          static_cast<unsigned>(statement.kind)};
}

/// Hosts of earlier releases send request limits alone, without a kind.
unsigned readKind(const nlohmann::json &fields) {
  return fields.size() > 4 ? fields.at(4).get<unsigned>() : 0;
}

UpstreamStatement readStatement(const nlohmann::json &fields) {
  UpstreamStatement statement;
  statement.upstream = fields.at(0).get<std::string>();
  statement.startedAtMillis = fields.at(1).get<std::int64_t>();
  const double value = fields.at(2).get<double>();
  if (value > 0)
    statement.value = value;
  statement.age = Duration(fields.at(3).get<std::int64_t>());
  statement.kind =
      static_cast<StatementKind>(std::min(readKind(fields), LastKind));
  return statement;
}

} // namespace

nlohmann::json toJson(const std::vector<UpstreamStatement> &statements) {
  nlohmann::json list = nlohmann::json::array();
  for (const UpstreamStatement &statement : statements)
    list.push_back(toJson(statement));
  return list;
}

std::vector<UpstreamStatement> readStatements(const nlohmann::json &json) {
  std::vector<UpstreamStatement> statements;
  for (const nlohmann::json &fields : json) {
    if (statements.size() >= MaxStatements)
      break;
    if (readKind(fields) <= LastKind)
      statements.push_back(readStatement(fields));
  }
  return statements;
}

nlohmann::json toJson(const UpstreamStatementUpdate &update) {
  return toJson(update.statements);
}

nlohmann::json toJson(const PermitRequest &request) {
  return {{"n", request.number},
          {"limit", toJson(request.statement)},
          {"more", toJson(request.more)},
          {"hold", request.holdFor.count()}};
}

nlohmann::json toJson(const PermitReply &reply) {
  return {{"n", reply.number},
          {"granted", reply.granted},
          {"retry", reply.retryIn.count()},
          {"lease", reply.lease}};
}

nlohmann::json toJson(const PermitRelease &release) {
  return {{"upstream", release.upstream},
          {"started", release.startedAtMillis},
          {"lease", release.lease},
          {"end", static_cast<unsigned>(release.end)}};
}

PermitRequest readPermitRequest(const nlohmann::json &json) {
  // Hosts of earlier releases state one limit.
  return {json.at("n").get<std::uint64_t>(), readStatement(json.at("limit")),
          readStatements(json.value("more", nlohmann::json::array())),
          Duration(json.value("hold", std::int64_t{0}))};
}

PermitReply readPermitReply(const nlohmann::json &json) {
  return {json.at("n").get<std::uint64_t>(), json.at("granted").get<bool>(),
          Duration(json.at("retry").get<std::int64_t>()),
          json.value("lease", std::uint64_t{0})};
}

PermitRelease readPermitRelease(const nlohmann::json &json) {
  return {json.at("upstream").get<std::string>(),
          json.at("started").get<std::int64_t>(),
          json.at("lease").get<std::uint64_t>(),
          static_cast<PermitEnd>(
              std::min(json.at("end").get<unsigned>(),
                       static_cast<unsigned>(PermitEnd::Cancelled)))};
}

} // namespace auburnspring
