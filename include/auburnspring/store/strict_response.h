#ifndef AUBURNSPRING_STORE_STRICT_RESPONSE_H
#define AUBURNSPRING_STORE_STRICT_RESPONSE_H

#include <Poco/Net/HTTPResponse.h>

#include <iosfwd>

namespace auburnspring {

/// A response to a call of POCO's client that has a well-formed head which
/// tells where the body ends. POCO alone skips lines that are no field, and
/// takes a transfer coding that it doesn't know for none.
class StrictResponse : public Poco::Net::HTTPResponse {
public:
  /// Called by the client session. Throws Poco::Net::MessageException at a head
  /// that is malformed, too long or cut off.
  void read(std::istream &stream) override;
};

} // namespace auburnspring

#endif
