#ifndef AUBURNSPRING_CONFIG_FAULT_H
#define AUBURNSPRING_CONFIG_FAULT_H

#include <string>
#include <vector>

namespace auburnspring {

/// One fault in a settings or route file.
struct Fault {
  std::string file;
  /// 1-based; 0 if the fault concerns the whole file.
  int line = 0;
  /// Path of the field, such as "stages[2].pool".
  std::string field;
  /// What was found and what is allowed.
  std::string text;
};

using Faults = std::vector<Fault>;

/// "FILE:LINE: FIELD: TEXT", the form that editors recognise as a location.
std::string toString(const Fault &fault);

} // namespace auburnspring

#endif
