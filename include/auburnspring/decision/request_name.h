#ifndef AUBURNSPRING_DECISION_REQUEST_NAME_H
#define AUBURNSPRING_DECISION_REQUEST_NAME_H

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspring {

/// Name by which the hosts know a request that comes again: a digest of what
/// stays the same when its caller repeats it. The target is the path with its
/// query.
std::string requestName(std::string_view target, std::string_view caller,
                        std::string_view body);

/// Name of the pieces of one of its stages, which may crash upstreams other
/// than those that run the request itself.
std::string stageName(std::string_view requestName, std::uint32_t stage);

/// True for names made by requestName() or stageName().
bool isRequestName(std::string_view name);

} // namespace auburnspring

#endif
