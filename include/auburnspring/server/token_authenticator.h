#ifndef AUBURNSPRING_SERVER_TOKEN_AUTHENTICATOR_H
#define AUBURNSPRING_SERVER_TOKEN_AUTHENTICATOR_H

#include "auburnspring/config/settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <string>

namespace auburnspring {

/// Authenticates organisations and the operator by bearer token. Only digests
/// are stored and compared, so that a lookup takes the same time for any
/// invalid token.
class TokenAuthenticator {
public:
  explicit TokenAuthenticator(const Settings &settings);

  /// Returns the organisation of an Authorization header "Bearer TOKEN", or
  /// null if the token is unknown.
  const Organisation *organisation(absl::string_view authorization) const;

  bool isOperator(absl::string_view authorization) const;

private:
  absl::flat_hash_map<std::string, Organisation> organisations_;
  std::string operatorDigest_;
};

} // namespace auburnspring

#endif
