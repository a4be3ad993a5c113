#include "auburnspring/store/host_list_client.h"

#include "auburnspring/store/http_call.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace auburnspring {

namespace {

constexpr int Ok = 200;
constexpr int NotModified = 304;

ListedUpstream parseListedUpstream(const nlohmann::json &json) {
  ListedUpstream upstream;
  upstream.name = json.at("name").get<std::string>();
  upstream.pool = json.at("pool").get<std::string>();
  upstream.dataCentre = json.value("data_centre", "");
  upstream.incarnation = json.value("incarnation", "");
  upstream.version = json.value("version", "");
  upstream.leaving = json.value("state", "live") == "leaving";
  upstream.slots = json.value("slots", 1);
  upstream.models = json.value("models", std::vector<std::string>());
  const std::string address = json.at("address").get<std::string>();
  upstream.endpoint = parseEndpoint(address).value_or(Endpoint());
  return upstream;
}

} // namespace

HostListClient::HostListClient(Endpoint endpoint)
    : endpoint_(std::move(endpoint)) {}

absl::StatusOr<HostList> parseHostList(absl::string_view text) {
  const nlohmann::json json =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded())
    return absl::DataLossError("the host list is not valid JSON");
  try {
    HostList list;
    list.version = json.at("version").get<std::uint64_t>();
    for (const nlohmann::json &entry : json.at("hosts"))
      list.upstreams.push_back(parseListedUpstream(entry));
    return list;
  } catch (const nlohmann::json::exception &error) {
    return absl::DataLossError(
        absl::StrCat("malformed host list: ", error.what()));
  }
}

absl::StatusOr<std::optional<HostList>> HostListClient::fetch() {
  HttpCall call;
  call.path = "/v1/hosts";
  if (!etag_.empty())
    call.headers["If-None-Match"] = etag_;
  const absl::StatusOr<HttpResponse> response = callHttp(endpoint_, call);
  if (!response.ok())
    return response.status();
  if (response->status == NotModified)
    return std::optional<HostList>();
  if (response->status != Ok)
    return absl::UnavailableError(absl::StrCat(
        "the host list server returned status ", response->status));
  absl::StatusOr<HostList> list = parseHostList(response->body);
  if (!list.ok())
    return list.status();
  const auto etag = response->headers.find("ETag");
  etag_ = etag == response->headers.end() ? "" : etag->second;
  return std::optional<HostList>(*std::move(list));
}

absl::StatusOr<LoadReport> fetchLoadReport(const ListedUpstream &upstream) {
  HttpCall call;
  call.path = "/v1/load";
  call.connectTimeout = std::chrono::milliseconds(200);
  call.responseTimeout = std::chrono::milliseconds(300);
  const absl::StatusOr<HttpResponse> response =
      callHttp(upstream.endpoint, call);
  if (!response.ok())
    return response.status();
  if (response->status != Ok)
    return absl::UnavailableError(
        absl::StrCat(upstream.name, " returned status ", response->status));
  const nlohmann::json json =
      nlohmann::json::parse(response->body, nullptr, false);
  try {
    LoadReport report;
    report.upstream = upstream.name;
    report.incarnation = json.at("incarnation").get<std::string>();
    report.running = json.at("running").get<std::int64_t>();
    report.queued = json.at("queued").get<std::int64_t>();
    report.leaving = json.value("leaving", false);
    return report;
  } catch (const nlohmann::json::exception &error) {
    return absl::DataLossError(
        absl::StrCat("malformed load report: ", error.what()));
  }
}

} // namespace auburnspring
