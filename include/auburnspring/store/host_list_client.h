#ifndef AUBURNSPRING_STORE_HOST_LIST_CLIENT_H
#define AUBURNSPRING_STORE_HOST_LIST_CLIENT_H

#include "auburnspring/config/settings.h"
#include "auburnspring/decision/upstream_facts.h"

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace auburnspring {

/// Fetches the platform's host list over HTTP with ETag. Not thread-safe.
class HostListClient {
public:
  explicit HostListClient(Endpoint endpoint);

  /// Returns the list, or nullopt if it has not changed since the last fetch.
  absl::StatusOr<std::optional<HostList>> fetch();

private:
  Endpoint endpoint_;
  std::string etag_;
};

/// Parses the JSON body of a host list; DataLoss if it is malformed.
absl::StatusOr<HostList> parseHostList(absl::string_view text);

/// Fetches the load report of one upstream.
absl::StatusOr<LoadReport> fetchLoadReport(const ListedUpstream &upstream);

} // namespace auburnspring

#endif
