#ifndef AUBURNSPRING_CTL_FILE_COLLECTOR_H
#define AUBURNSPRING_CTL_FILE_COLLECTOR_H

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <map>
#include <string>

namespace auburnspring {

/// Returns the contents of a file; NotFound if it can't be opened.
absl::StatusOr<std::string> readFile(const std::string &path);

/// Returns path to contents of the route files in `paths`: each file, and every
/// *.route.json below each directory. Paths are normalised, without a leading
/// "./".
absl::StatusOr<std::map<std::string, std::string>>
collectRouteFiles(absl::Span<const std::string> paths);

} // namespace auburnspring

#endif
