#ifndef AUBURNSPRING_CTL_FILE_COLLECTOR_H
#define AUBURNSPRING_CTL_FILE_COLLECTOR_H

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <map>
#include <string>

namespace auburnspring {

/// Reads one file whole.
absl::StatusOr<std::string> readFile(const std::string &path);

/// Collects the route files that `paths` name: files as they are, and every
/// *.route.json below a directory. Keys are paths as they were found, without
/// a leading "./".
absl::StatusOr<std::map<std::string, std::string>>
collectRouteFiles(absl::Span<const std::string> paths);

} // namespace auburnspring

#endif
