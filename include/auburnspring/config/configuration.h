#ifndef AUBURNSPRING_CONFIG_CONFIGURATION_H
#define AUBURNSPRING_CONFIG_CONFIGURATION_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/fault.h"
#include "auburnspring/config/route.h"

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnspring {

/// One accepted publish in the history of the configuration head.
struct PublishRecord {
  std::uint64_t generation = 0;
  /// Set by the publisher; distinguishes its own publish from concurrent ones.
  std::string publishId;
  std::string author;
  WallTime time{0};
  /// Summary, such as "3 files changed, 0 removed" or "drain engine-4".
  std::string change;
};

/// The single stored record that defines the configuration in force.
struct ConfigurationHead {
  std::uint64_t generation = 0;
  /// File name to digest of each route file.
  std::map<std::string, std::string> fileDigests;
  /// Upstreams that operators have taken out of service.
  std::vector<std::string> drained;
  /// The latest publishes, newest first, at most MaxHistory.
  std::vector<PublishRecord> history;
};

constexpr std::size_t MaxHistory = 50;

std::string encodeHead(const ConfigurationHead &head);
absl::StatusOr<ConfigurationHead> decodeHead(absl::string_view text);

/// A head with the contents of all its route files, as sent between hosts.
struct ConfigurationBundle {
  ConfigurationHead head;
  /// Digest to contents of each route file.
  std::map<std::string, std::string> fileContents;
};

/// Routes by name, parsed from a bundle.
using RouteTable = std::map<std::string, std::shared_ptr<const Route>>;

/// Verifies the digest of every route file and parses it. Returns NotFound for
/// missing contents, DataLoss for a digest mismatch and InvalidArgument for a
/// faulty route or a duplicate route name.
absl::StatusOr<RouteTable> buildRoutes(const ConfigurationBundle &bundle);

/// Parses unpublished route files, given as file name to contents. Faults and
/// duplicate route names are added to `faults`.
RouteTable checkRouteFiles(const std::map<std::string, std::string> &files,
                           Faults *faults);

/// Storage keys below `prefix`, the setting key_prefix.
std::string headKey(absl::string_view prefix);
std::string routeFileKey(absl::string_view prefix, absl::string_view digest);

} // namespace auburnspring

#endif
