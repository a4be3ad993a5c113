#include "auburnspring/shell/caller_desk.h"

namespace auburnspring {

void CallerDesk::open(RequestId request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  places_[request] = std::make_shared<Place>();
}

std::shared_ptr<CallerDesk::Place> CallerDesk::find(RequestId request) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = places_.find(request);
  return found == places_.end() ? nullptr : found->second;
}

CallerDesk::Delivery CallerDesk::wait(RequestId request, Duration wait) {
  Delivery delivery;
  const std::shared_ptr<Place> place = find(request);
  if (!place)
    return delivery;
  std::unique_lock<std::mutex> lock(place->mutex);
  place->wake.wait_for(lock, wait, [&place] {
    return place->answer.has_value() || !place->streamed.empty();
  });
  delivery.streamed.swap(place->streamed);
  delivery.answer = place->answer;
  return delivery;
}

void CallerDesk::close(RequestId request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  places_.erase(request);
}

void CallerDesk::deliver(const StreamToCaller &part) {
  const std::shared_ptr<Place> place = find(part.request);
  if (!place)
    return;
  const std::lock_guard<std::mutex> lock(place->mutex);
  place->streamed += part.text;
  place->wake.notify_one();
}

void CallerDesk::deliver(const AnswerCaller &answer) {
  const std::shared_ptr<Place> place = find(answer.request);
  if (!place)
    return;
  const std::lock_guard<std::mutex> lock(place->mutex);
  place->answer = answer;
  place->wake.notify_one();
}

} // namespace auburnspring
