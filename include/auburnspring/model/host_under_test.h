#ifndef AUBURNSPRING_MODEL_HOST_UNDER_TEST_H
#define AUBURNSPRING_MODEL_HOST_UNDER_TEST_H

#include "auburnspring/decision/entry_host.h"

#include <memory>

namespace auburnspring {

/// What the model drives: the product, or a naive version beside it.
class HostUnderTest {
public:
  virtual ~HostUnderTest() = default;
  virtual Actions handle(Event event, Instant now) = 0;
  virtual TimePoint nextWake() const = 0;
  virtual bool isReady() const = 0;
  virtual nlohmann::json dump(Instant now) const = 0;
};

/// The product's own decisions.
std::unique_ptr<HostUnderTest> makeEntryHost(EntryHost::Options options);

} // namespace auburnspring

#endif
