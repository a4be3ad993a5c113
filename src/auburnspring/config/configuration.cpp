#include "auburnspring/config/configuration.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/config/route_parser.h"

#include <absl/strings/str_cat.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace auburnspring {

namespace {

nlohmann::json toJson(const PublishRecord &record) {
  return {{"generation", record.generation},
          {"publish_id", record.publishId},
          {"author", record.author},
          {"time", record.time.count()},
          {"change", record.change}};
}

PublishRecord parseRecord(const nlohmann::json &json) {
  PublishRecord record;
  record.generation = json.at("generation").get<std::uint64_t>();
  record.publishId = json.at("publish_id").get<std::string>();
  record.author = json.at("author").get<std::string>();
  record.time = WallTime(json.at("time").get<std::int64_t>());
  record.change = json.at("change").get<std::string>();
  return record;
}

ConfigurationHead parseHead(const nlohmann::json &json) {
  ConfigurationHead head;
  head.generation = json.at("generation").get<std::uint64_t>();
  head.fileDigests =
      json.at("pieces").get<std::map<std::string, std::string>>();
  head.drained = json.at("drained").get<std::vector<std::string>>();
  for (const nlohmann::json &record : json.at("history"))
    head.history.push_back(parseRecord(record));
  return head;
}

void addRoute(absl::string_view file, absl::string_view text,
              RouteTable *routes, Faults *faults) {
  std::optional<Route> route = parseRoute(file, text, faults);
  if (!route)
    return;
  const std::string name = route->name;
  const bool added =
      routes->emplace(name, std::make_shared<const Route>(std::move(*route)))
          .second;
  if (!added)
    faults->push_back(
        {std::string(file), 0, "name",
         fmt::format("the route \"{}\" is also defined in another file",
                     name)});
}

} // namespace

std::string encodeHead(const ConfigurationHead &head) {
  nlohmann::json json = {{"generation", head.generation},
                         {"pieces", head.fileDigests},
                         {"drained", head.drained},
                         {"history", nlohmann::json::array()}};
  for (const PublishRecord &record : head.history)
    json["history"].push_back(toJson(record));
  return json.dump();
}

absl::StatusOr<ConfigurationHead> decodeHead(absl::string_view text) {
  const nlohmann::json json =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded())
    return absl::DataLossError("the configuration head is not valid JSON");
  try {
    return parseHead(json);
  } catch (const nlohmann::json::exception &error) {
    return absl::DataLossError(
        absl::StrCat("the configuration head has a missing or invalid field: ",
                     error.what()));
  }
}

absl::StatusOr<RouteTable> buildRoutes(const ConfigurationBundle &bundle) {
  RouteTable routes;
  Faults faults;
  for (const auto &[file, digest] : bundle.head.fileDigests) {
    const auto text = bundle.fileContents.find(digest);
    if (text == bundle.fileContents.end())
      return absl::NotFoundError(absl::StrCat("contents with digest ", digest,
                                              " for ", file, " are missing"));
    if (digestHex(text->second) != digest)
      return absl::DataLossError(absl::StrCat("contents with digest ", digest,
                                              " for ", file,
                                              " are corrupt: digest mismatch"));
    addRoute(file, text->second, &routes, &faults);
  }
  if (!faults.empty())
    return absl::InvalidArgumentError(toString(faults.front()));
  return routes;
}

RouteTable checkRouteFiles(const std::map<std::string, std::string> &files,
                           Faults *faults) {
  RouteTable routes;
  for (const auto &[file, text] : files)
    addRoute(file, text, &routes, faults);
  return routes;
}

std::string headKey(absl::string_view prefix) {
  return absl::StrCat(prefix, "head");
}

std::string routeFileKey(absl::string_view prefix, absl::string_view digest) {
  return absl::StrCat(prefix, "piece/", digest);
}

} // namespace auburnspring
