#include "file_collector.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace auburnspring {

namespace {

namespace fs = std::filesystem;

constexpr const char *RouteFileSuffix = ".route.json";

std::string normalisedPath(const fs::path &path) {
  return path.lexically_normal().generic_string();
}

absl::Status addFile(const fs::path &path,
                     std::map<std::string, std::string> *files) {
  absl::StatusOr<std::string> text = readFile(path.string());
  if (!text.ok())
    return text.status();
  (*files)[normalisedPath(path)] = *std::move(text);
  return absl::OkStatus();
}

absl::Status addDirectory(const fs::path &directory,
                          std::map<std::string, std::string> *files) {
  std::error_code error;
  fs::recursive_directory_iterator it(directory, error);
  if (error)
    return absl::NotFoundError(
        absl::StrCat(directory.string(), ": ", error.message()));
  for (const fs::directory_entry &entry : it) {
    if (!entry.is_regular_file(error) ||
        !absl::EndsWith(entry.path().string(), RouteFileSuffix))
      continue;
    if (absl::Status status = addFile(entry.path(), files); !status.ok())
      return status;
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::string> readFile(const std::string &path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream)
    return absl::NotFoundError(absl::StrCat(path, ": the file can't be read"));
  return std::string((std::istreambuf_iterator<char>(stream)),
                     std::istreambuf_iterator<char>());
}

absl::StatusOr<std::map<std::string, std::string>>
collectRouteFiles(absl::Span<const std::string> paths) {
  std::map<std::string, std::string> files;
  for (const std::string &path : paths) {
    const absl::Status status = fs::is_directory(path)
                                    ? addDirectory(path, &files)
                                    : addFile(path, &files);
    if (!status.ok())
      return status;
  }
  return files;
}

} // namespace auburnspring
