#ifndef AUBURNSPRING_SHELL_CALLER_DESK_H
#define AUBURNSPRING_SHELL_CALLER_DESK_H

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

/// Where a caller's thread waits for what the decisions answer.
class CallerDesk {
public:
  /// What a waiting thread is handed: streamed text, the final answer, or
  /// neither if the wait ran out.
  struct Delivery {
    std::string streamed;
    std::optional<AnswerCaller> answer;
  };

  /// Opens a place for a request, before the decisions hear of it.
  void open(RequestId request);

  /// Waits for the next delivery, at most `wait`.
  Delivery wait(RequestId request, Duration wait);

  /// Closes the place; what is delivered later is dropped.
  void close(RequestId request);

  void deliver(const StreamToCaller &part);
  void deliver(const AnswerCaller &answer);

private:
  struct Place {
    std::mutex mutex;
    std::condition_variable wake;
    std::string streamed;
    std::optional<AnswerCaller> answer;
  };

  std::shared_ptr<Place> find(RequestId request) const;

  mutable std::mutex mutex_;
  // Shared with the waiting thread, since an answer can arrive as it leaves.
  std::map<RequestId, std::shared_ptr<Place>> places_;
};

} // namespace auburnspring

#endif
