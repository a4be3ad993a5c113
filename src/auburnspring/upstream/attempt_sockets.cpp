#include "attempt_sockets.h"

#include "auburnspring/base/clock.h"

#include <Poco/Exception.h>

namespace auburnspring {

namespace {

/// An attempt may end this long after its deadline.
constexpr Duration ScanInterval = std::chrono::milliseconds(50);

void shutdownSocket(Poco::Net::StreamSocket *socket) {
  try {
    socket->shutdown();
  } catch (const Poco::Exception &) {
    // Already closed.
  }
}

} // namespace

AttemptSockets::AttemptSockets() : watcher_([this] { watchDeadlines(); }) {}

AttemptSockets::~AttemptSockets() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  watcher_.join();
}

void AttemptSockets::addPending(const AttemptId &id, TimePoint deadline) {
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_[id].deadline = deadline;
  if (entries_.size() == 1)
    changed_.notify_one();
}

void AttemptSockets::add(const AttemptId &id,
                         const Poco::Net::StreamSocket &socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry &entry = entries_[id];
  entry.socket = socket;
  entry.connected = true;
  if (entry.cancelled || entry.expired)
    shutdownSocket(&entry.socket);
}

void AttemptSockets::cancel(const AttemptId &id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  found->second.cancelled = true;
  if (found->second.connected)
    shutdownSocket(&found->second.socket);
}

bool AttemptSockets::remove(const AttemptId &id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return false;
  const bool cancelled = found->second.cancelled;
  entries_.erase(found);
  return cancelled;
}

void AttemptSockets::watchDeadlines() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (entries_.empty())
      changed_.wait(lock);
    else
      changed_.wait_for(lock, ScanInterval);
    const TimePoint now = steadyNow();
    for (auto &item : entries_) {
      Entry &entry = item.second;
      if (entry.expired || now < entry.deadline)
        continue;
      entry.expired = true;
      if (entry.connected)
        shutdownSocket(&entry.socket);
    }
  }
}

} // namespace auburnspring
