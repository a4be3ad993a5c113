#ifndef AUBURNSPRING_CTL_HOST_CLIENT_H
#define AUBURNSPRING_CTL_HOST_CLIENT_H

#include "auburnspring/config/settings.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnspring {

/// One entry host as reported by a member of the cluster.
struct HostEntry {
  std::string name;
  Endpoint endpoint;
  std::string state;
  std::string dataCentre;

  bool isUp() const { return state == "alive" || state == "suspect"; }
};

/// Queries entry hosts with the operator token.
class HostClient {
public:
  explicit HostClient(std::string operatorToken);

  /// Returns the JSON body of a GET request. PermissionDenied if the HTTP
  /// status is not 200, DataLoss if the body is not valid JSON.
  absl::StatusOr<nlohmann::json> getJson(const Endpoint &endpoint,
                                         const std::string &path) const;

  /// All entry hosts in the member list of the host at `endpoint`.
  absl::StatusOr<std::vector<HostEntry>>
  listHosts(const Endpoint &endpoint) const;

private:
  std::string token_;
};

} // namespace auburnspring

#endif
