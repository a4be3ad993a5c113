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

/// One accepted publish, kept in the head's history.
struct PublishRecord {
  std::uint64_t generation = 0;
  /// Chosen by the publisher; tells its own publish from a rival's.
  std::string publishId;
  std::string author;
  WallTime time{0};
  /// What was changed, such as "routes 3 changed" or "drain engine-4".
  std::string change;
};

/// The single record that says which configuration is in force.
struct ConfigurationHead {
  std::uint64_t generation = 0;
  /// Digest of each route file by the file's name.
  std::map<std::string, std::string> pieces;
  /// Upstreams that operators have taken out of service.
  std::vector<std::string> drained;
  /// The last publishes, newest first, at most MaxHistory.
  std::vector<PublishRecord> history;
};

constexpr std::size_t MaxHistory = 50;

std::string encodeHead(const ConfigurationHead &head);
absl::StatusOr<ConfigurationHead> decodeHead(absl::string_view text);

/// A head with the text of every piece: what one host hands to another.
struct ConfigurationBundle {
  ConfigurationHead head;
  /// Text of each piece by its digest.
  std::map<std::string, std::string> texts;
};

/// Routes by name, parsed from a whole bundle.
using RouteTable = std::map<std::string, std::shared_ptr<const Route>>;

/// Checks every piece's digest and parses it. Refuses a bundle with a missing
/// or damaged piece, a faulty route or a route name that stands twice.
absl::StatusOr<RouteTable> buildRoutes(const ConfigurationBundle &bundle);

/// As buildRoutes, for files that are not published yet: file name to text.
RouteTable checkRouteFiles(const std::map<std::string, std::string> &files,
                           Faults *faults);

/// Keys below the settings' key_prefix.
std::string headKey(absl::string_view prefix);
std::string pieceKey(absl::string_view prefix, absl::string_view digest);

} // namespace auburnspring

#endif
