#include "host_client.h"

#include "auburnspring/store/http_call.h"

#include <absl/strings/str_cat.h>

namespace auburnspring {

namespace {

constexpr int HttpOk = 200;

} // namespace

HostClient::HostClient(std::string operatorToken)
    : token_(std::move(operatorToken)) {}

absl::StatusOr<nlohmann::json>
HostClient::getJson(const Endpoint &endpoint, const std::string &path) const {
  HttpCall call;
  call.path = path;
  call.headers["Authorization"] = "Bearer " + token_;
  call.responseTimeout = std::chrono::seconds(3);
  call.maxResponseBytes = 64 << 20;
  const absl::StatusOr<HttpResponse> response = callHttp(endpoint, call);
  if (!response.ok())
    return response.status();
  if (response->status != HttpOk)
    return absl::PermissionDeniedError(absl::StrCat(
        toString(endpoint), path, " returned HTTP status ", response->status));
  nlohmann::json json = nlohmann::json::parse(response->body, nullptr, false);
  if (json.is_discarded())
    return absl::DataLossError(absl::StrCat(
        toString(endpoint), path, " returned a body that is not valid JSON"));
  return json;
}

absl::StatusOr<std::vector<HostEntry>>
HostClient::listHosts(const Endpoint &endpoint) const {
  const absl::StatusOr<nlohmann::json> status =
      getJson(endpoint, "/v1/operator/status");
  if (!status.ok())
    return status.status();
  std::vector<HostEntry> entries;
  for (const nlohmann::json &member : status->at("members")) {
    HostEntry entry;
    entry.name = member.at("host").get<std::string>();
    entry.state = member.at("state").get<std::string>();
    entry.dataCentre = member.at("data_centre").get<std::string>();
    entry.endpoint = parseEndpoint(member.at("address").get<std::string>())
                         .value_or(Endpoint());
    entries.push_back(std::move(entry));
  }
  return entries;
}

} // namespace auburnspring
