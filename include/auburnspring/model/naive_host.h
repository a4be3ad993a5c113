#ifndef AUBURNSPRING_MODEL_NAIVE_HOST_H
#define AUBURNSPRING_MODEL_NAIVE_HOST_H

#include "auburnspring/model/host_under_test.h"

#include <memory>

namespace auburnspring {

/// What a team would write first: workers in turn, every failed attempt tried
/// again at once, no claims, no limits, no budgets, no refusal before the
/// deadline. The product is compared with it.
std::unique_ptr<HostUnderTest> makeNaiveHost(EntryHost::Options options);

} // namespace auburnspring

#endif
