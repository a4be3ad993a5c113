#ifndef AUBURNSPRING_MODEL_HOST_UNDER_TEST_H
#define AUBURNSPRING_MODEL_HOST_UNDER_TEST_H

#include "auburnspring/decision/entry_host.h"

#include <memory>

namespace auburnspring {

/// The host that the simulation drives: the product's EntryHost, or the naive
/// baseline.
class HostUnderTest {
public:
  virtual ~HostUnderTest() = default;
  virtual Actions handle(Event event, Instant now) = 0;
  virtual TimePoint nextWake() const = 0;
  virtual bool isReady() const = 0;
  virtual nlohmann::json dump(Instant now) const = 0;
};

/// Wraps the product's EntryHost.
std::unique_ptr<HostUnderTest> makeEntryHost(EntryHost::Options options);

} // namespace auburnspring

#endif
