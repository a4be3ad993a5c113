#ifndef AUBURNSPRING_DECISION_REQUEST_NAME_H
#define AUBURNSPRING_DECISION_REQUEST_NAME_H

#include <string>
#include <string_view>

namespace auburnspring {

/// Name by which the hosts know a request that comes again: a digest of what
/// stays the same when its caller repeats it. The target is the path with its
/// query.
std::string requestName(std::string_view target, std::string_view caller,
                        std::string_view body);

/// True for names made by requestName().
bool isRequestName(std::string_view name);

} // namespace auburnspring

#endif
