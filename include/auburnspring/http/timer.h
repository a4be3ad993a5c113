#ifndef AUBURNSPRING_HTTP_TIMER_H
#define AUBURNSPRING_HTTP_TIMER_H

#include "auburnspring/base/handler_scope.h"
#include "auburnspring/base/time.h"

#include <asio/steady_timer.hpp>

#include <utility>

namespace auburnspring::http {

/// A one-shot timer that belongs to the object its handler refers to. The
/// handler does not run once the timer has been cancelled, started again or
/// destroyed. asio's timers do not promise this: a handler whose time has come
/// is queued, and runs without an error although the timer is cancelled before
/// its turn.
class Timer {
public:
  template <typename Context>
  explicit Timer(Context &&context) : timer_(std::forward<Context>(context)) {}

  template <typename Handler> void startAfter(Duration delay, Handler handler) {
    scope_.reset();
    timer_.expires_after(delay);
    wait(std::move(handler));
  }

  template <typename Handler> void startAt(TimePoint time, Handler handler) {
    scope_.reset();
    timer_.expires_at(time);
    wait(std::move(handler));
  }

  void cancel() {
    scope_.reset();
    timer_.cancel();
  }

private:
  template <typename Handler> void wait(Handler handler) {
    timer_.async_wait(scope_.bind(
        [handler = std::move(handler)](asio::error_code error) mutable {
          if (!error)
            handler();
        }));
  }

  asio::steady_timer timer_;
  HandlerScope scope_;
};

} // namespace auburnspring::http

#endif
