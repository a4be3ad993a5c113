#ifndef AUBURNSPRING_UPSTREAM_ATTEMPT_SOCKETS_H
#define AUBURNSPRING_UPSTREAM_ATTEMPT_SOCKETS_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/ids.h"

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace auburnspring {

/// Sockets by attempt. A cancellation shuts a socket down, and so does the
/// attempt's deadline: timeouts bound single reads, and bytes may trickle.
/// Thread-safe.
class AttemptSockets {
public:
  AttemptSockets();
  ~AttemptSockets();
  AttemptSockets(const AttemptSockets &) = delete;
  AttemptSockets &operator=(const AttemptSockets &) = delete;

  void addPending(const AttemptId &id, TimePoint deadline);
  void add(const AttemptId &id, const Poco::Net::StreamSocket &socket);
  void cancel(const AttemptId &id);
  /// Removes the attempt; true if it was cancelled.
  bool remove(const AttemptId &id);

private:
  struct Entry {
    Poco::Net::StreamSocket socket;
    TimePoint deadline;
    bool connected = false;
    bool cancelled = false;
    bool expired = false;
  };

  /// Shuts down the sockets of attempts whose deadline has passed.
  void watchDeadlines();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<AttemptId, Entry> entries_;
  bool stopping_ = false;
  std::thread watcher_;
};

} // namespace auburnspring

#endif
