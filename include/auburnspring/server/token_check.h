#ifndef AUBURNSPRING_SERVER_TOKEN_CHECK_H
#define AUBURNSPRING_SERVER_TOKEN_CHECK_H

#include "auburnspring/config/settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <string>

namespace auburnspring {

/// Knows organisations and the operator by their tokens. Tokens are kept as
/// digests, so that a lookup takes the same time for any wrong token.
class TokenCheck {
public:
  explicit TokenCheck(const Settings &settings);

  /// The organisation that the header "Bearer TOKEN" belongs to; null if none.
  const Organisation *organisation(absl::string_view authorization) const;

  bool isOperator(absl::string_view authorization) const;

private:
  absl::flat_hash_map<std::string, Organisation> organisations_;
  std::string operatorDigest_;
};

} // namespace auburnspring

#endif
