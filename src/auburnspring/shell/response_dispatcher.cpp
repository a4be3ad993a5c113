#include "auburnspring/shell/response_dispatcher.h"

namespace auburnspring {

void ResponseDispatcher::addRequest(RequestId request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pending_[request] = std::make_shared<PendingRequest>();
}

std::shared_ptr<ResponseDispatcher::PendingRequest>
ResponseDispatcher::find(RequestId request) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = pending_.find(request);
  return found == pending_.end() ? nullptr : found->second;
}

ResponseDispatcher::Delivery ResponseDispatcher::wait(RequestId request,
                                                      Duration timeout) {
  Delivery delivery;
  const std::shared_ptr<PendingRequest> pending = find(request);
  if (!pending)
    return delivery;
  std::unique_lock<std::mutex> lock(pending->mutex);
  pending->wake.wait_for(lock, timeout, [&pending] {
    return pending->response.has_value() || !pending->streamed.empty();
  });
  delivery.streamed.swap(pending->streamed);
  delivery.response = pending->response;
  return delivery;
}

void ResponseDispatcher::removeRequest(RequestId request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pending_.erase(request);
}

void ResponseDispatcher::deliver(const StreamToCaller &part) {
  const std::shared_ptr<PendingRequest> pending = find(part.request);
  if (!pending)
    return;
  const std::lock_guard<std::mutex> lock(pending->mutex);
  pending->streamed += part.text;
  pending->wake.notify_one();
}

void ResponseDispatcher::deliver(const RespondToCaller &response) {
  const std::shared_ptr<PendingRequest> pending = find(response.request);
  if (!pending)
    return;
  const std::lock_guard<std::mutex> lock(pending->mutex);
  pending->response = response;
  pending->wake.notify_one();
}

} // namespace auburnspring
