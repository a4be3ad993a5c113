#ifndef AUBURNSPRING_CONFIG_ROUTE_PARSER_H
#define AUBURNSPRING_CONFIG_ROUTE_PARSER_H

#include "auburnspring/config/fault.h"
#include "auburnspring/config/route.h"

#include <absl/strings/string_view.h>

#include <optional>

namespace auburnspring {

/// Parses one route file. All faults are added to `faults`; the result is empty
/// if there is any.
std::optional<Route> parseRoute(absl::string_view file, absl::string_view text,
                                Faults *faults);

} // namespace auburnspring

#endif
