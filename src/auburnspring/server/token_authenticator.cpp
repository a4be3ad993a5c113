#include "auburnspring/server/token_authenticator.h"

#include <absl/strings/match.h>
#include <openssl/sha.h>

namespace auburnspring {

namespace {

constexpr absl::string_view BearerPrefix = "Bearer ";

std::string sha256(absl::string_view text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         reinterpret_cast<unsigned char *>(&digest[0]));
  return digest;
}

std::string tokenDigest(absl::string_view authorization) {
  if (!absl::StartsWith(authorization, BearerPrefix))
    return "";
  return sha256(authorization.substr(BearerPrefix.size()));
}

} // namespace

TokenAuthenticator::TokenAuthenticator(const Settings &settings)
    : operatorDigest_(sha256(settings.operatorToken)) {
  for (const Organisation &organisation : settings.organisations) {
    Organisation entry = organisation;
    entry.token.clear();
    organisations_[sha256(organisation.token)] = std::move(entry);
  }
}

const Organisation *
TokenAuthenticator::organisation(absl::string_view authorization) const {
  const auto found = organisations_.find(tokenDigest(authorization));
  return found == organisations_.end() ? nullptr : &found->second;
}

bool TokenAuthenticator::isOperator(absl::string_view authorization) const {
  return tokenDigest(authorization) == operatorDigest_;
}

} // namespace auburnspring
