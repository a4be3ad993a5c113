#ifndef AUBURNSPRING_CONFIG_LOCATED_JSON_H
#define AUBURNSPRING_CONFIG_LOCATED_JSON_H

#include "auburnspring/config/fault.h"

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace auburnspring {

/// A JSON document with comments that remembers the line of each value.
struct LocatedJson {
  std::string file;
  nlohmann::json root;
  /// Line of each value by its path, such as "stages[2].pool"; "" is the root.
  std::map<std::string, int> lines;

  int lineOf(const std::string &path) const;
};

/// Parses a text. A syntax error or a field given twice is added to `faults`;
/// the result then holds null.
LocatedJson parseLocatedJson(absl::string_view file, absl::string_view text,
                             Faults *faults);

} // namespace auburnspring

#endif
