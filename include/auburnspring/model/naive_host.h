#ifndef AUBURNSPRING_MODEL_NAIVE_HOST_H
#define AUBURNSPRING_MODEL_NAIVE_HOST_H

#include "auburnspring/model/host_under_test.h"

#include <memory>

namespace auburnspring {

/// A baseline for comparison with the product: round-robin selection and
/// immediate retries, without claims, limits, budgets or early refusal.
std::unique_ptr<HostUnderTest> makeNaiveHost(EntryHost::Options options);

} // namespace auburnspring

#endif
