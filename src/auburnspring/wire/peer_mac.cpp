#include "peer_mac.h"

#include <openssl/hmac.h>

namespace auburnspring {

Mac computeMac(absl::string_view bytes, absl::string_view key) {
  Mac mac{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
       mac.data(), &length);
  return mac;
}

} // namespace auburnspring
