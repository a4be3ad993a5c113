#ifndef AUBURNSPRING_WIRE_STREAM_ORIGIN_PAGE_CODEC_H
#define AUBURNSPRING_WIRE_STREAM_ORIGIN_PAGE_CODEC_H

#include "auburnspring/decision/stream_origin.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// Encodes a page of bound origins for the store, grouped by pool and software
/// version, so that each stream takes little more than its id. Of the times
/// that are left the page keeps the longest.
std::string encodeOriginPage(const std::vector<StreamOrigin> &origins);
absl::StatusOr<std::vector<StreamOrigin>>
decodeOriginPage(std::string_view value);

} // namespace auburnspring

#endif
