#ifndef AUBURNSPRING_CTL_HOST_CLIENT_H
#define AUBURNSPRING_CTL_HOST_CLIENT_H

#include "auburnspring/config/settings.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnspring {

/// One entry host as a peer of it sees it.
struct HostEntry {
  std::string name;
  Endpoint endpoint;
  std::string state;
  std::string dataCentre;

  bool isUp() const { return state == "alive" || state == "suspect"; }
};

/// Asks entry hosts with the operator's token.
class HostClient {
public:
  explicit HostClient(std::string operatorToken);

  absl::StatusOr<nlohmann::json> get(const Endpoint &endpoint,
                                     const std::string &path) const;

  /// Every entry host that the host at `endpoint` knows of.
  absl::StatusOr<std::vector<HostEntry>> hosts(const Endpoint &endpoint) const;

private:
  std::string token_;
};

} // namespace auburnspring

#endif
