#ifndef AUBURNSPRING_SERVING_PERMIT_LEASE_H
#define AUBURNSPRING_SERVING_PERMIT_LEASE_H

#include "auburnspring/decision/permit_end.h"

#include <functional>
#include <memory>
#include <utility>

namespace auburnspring {

/// The permit of a request in progress, which ends with this object.
class PermitLease {
public:
  using Release = std::function<void(PermitEnd end)>;

  explicit PermitLease(Release release) : release_(std::move(release)) {}
  ~PermitLease() { release_(end_); }
  PermitLease(const PermitLease &) = delete;
  PermitLease &operator=(const PermitLease &) = delete;

  void setEnd(PermitEnd end) { end_ = end; }

private:
  Release release_;
  PermitEnd end_ = PermitEnd::Done;
};

using PermitLeasePtr = std::shared_ptr<PermitLease>;

} // namespace auburnspring

#endif
