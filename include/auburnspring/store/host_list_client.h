#ifndef AUBURNSPRING_STORE_HOST_LIST_CLIENT_H
#define AUBURNSPRING_STORE_HOST_LIST_CLIENT_H

#include "auburnspring/config/settings.h"
#include "auburnspring/decision/upstream_facts.h"

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace auburnspring {

/// Reads the platform's host list over HTTP with ETag. One thread uses it.
class HostListClient {
public:
  explicit HostListClient(Endpoint endpoint);

  /// The list, or empty if it has not changed since the last read.
  absl::StatusOr<std::optional<HostList>> read();

private:
  Endpoint endpoint_;
  std::string etag_;
};

/// Parses the list's JSON body.
absl::StatusOr<HostList> parseHostList(absl::string_view text);

/// Asks one upstream for its load.
absl::StatusOr<LoadReport> readLoad(const ListedUpstream &upstream);

} // namespace auburnspring

#endif
