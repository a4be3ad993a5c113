#ifndef AUBURNSPRING_SHELL_RESPONSE_DISPATCHER_H
#define AUBURNSPRING_SHELL_RESPONSE_DISPATCHER_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/action.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace auburnspring {

/// Delivers the responses of EntryHost to the HTTP threads that wait for them.
class ResponseDispatcher {
public:
  /// What `wait` returns: streamed text, the final response, or neither after a
  /// timeout.
  struct Delivery {
    std::string streamed;
    std::optional<RespondToCaller> response;
  };

  /// Adds a request. Called before the request is posted to EntryHost, so that
  /// no delivery is lost.
  void addRequest(RequestId request);

  /// Blocks until the next delivery, at most `timeout`.
  Delivery wait(RequestId request, Duration timeout);

  /// Removes a request; later deliveries to it are dropped.
  void removeRequest(RequestId request);

  void deliver(const StreamToCaller &part);
  void deliver(const RespondToCaller &response);

private:
  struct PendingRequest {
    std::mutex mutex;
    std::condition_variable wake;
    std::string streamed;
    std::optional<RespondToCaller> response;
  };

  std::shared_ptr<PendingRequest> find(RequestId request) const;

  mutable std::mutex mutex_;
  // Shared ownership, since a response can arrive while the waiting thread
  // removes the request.
  std::map<RequestId, std::shared_ptr<PendingRequest>> pending_;
};

} // namespace auburnspring

#endif
