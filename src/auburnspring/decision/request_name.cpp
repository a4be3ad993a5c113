#include "auburnspring/decision/request_name.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace auburnspring {

namespace {

constexpr absl::string_view Prefix = "request-";

absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

} // namespace

std::string requestName(std::string_view target, std::string_view caller,
                        std::string_view body) {
  return absl::StrCat(
      Prefix, digestHex(absl::StrCat(target.size(), " ", view(target), " ",
                                     caller.size(), " ", view(caller), " ",
                                     digestHex(view(body)))));
}

std::string stageName(std::string_view requestName, std::uint32_t stage) {
  return absl::StrCat(view(requestName), ".", stage);
}

bool isRequestName(std::string_view name) {
  return absl::StartsWith(view(name), Prefix);
}

} // namespace auburnspring
