#ifndef AUBURNSPRING_CONFIG_LOCATED_JSON_H
#define AUBURNSPRING_CONFIG_LOCATED_JSON_H

#include "auburnspring/config/fault.h"

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace auburnspring {

/// A parsed JSON document with the line number of each value. Comments are
/// accepted.
struct LocatedJson {
  std::string file;
  nlohmann::json root;
  /// Path to line; a path is such as "stages[2].pool", and "" is the root.
  std::map<std::string, int> lines;

  /// 0 if the document has no value at `path`.
  int lineOf(const std::string &path) const;
};

/// Parses `text`. A syntax error or a duplicate field is added to `faults`;
/// after a syntax error the root is null.
LocatedJson parseLocatedJson(absl::string_view file, absl::string_view text,
                             Faults *faults);

} // namespace auburnspring

#endif
