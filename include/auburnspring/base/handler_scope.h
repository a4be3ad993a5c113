#ifndef AUBURNSPRING_BASE_HANDLER_SCOPE_H
#define AUBURNSPRING_BASE_HANDLER_SCOPE_H

#include <memory>
#include <utility>

namespace auburnspring {

/// Ties handlers that run later to the object that they refer to. The object
/// holds the scope as a member and binds each handler that it passes on; a
/// bound handler does nothing once the scope has been reset or destroyed, even
/// if it was queued before. So a handler may refer to its object without a
/// check of its own.
///
/// Handlers run, and the scope is reset and ends, on one thread. Other threads
/// may bind to a scope that is never reset.
class HandlerScope {
public:
  HandlerScope() = default;
  HandlerScope(const HandlerScope &) = delete;
  HandlerScope &operator=(const HandlerScope &) = delete;

  /// Returns a handler with the same arguments and no result.
  template <typename Handler> auto bind(Handler handler) const {
    return [token = std::weak_ptr<const Token>(token_),
            handler = std::move(handler)](auto &&...arguments) mutable {
      if (!token.expired())
        handler(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Ends all handlers that were bound so far.
  void reset() { token_ = std::make_shared<const Token>(); }

private:
  struct Token {};

  std::shared_ptr<const Token> token_ = std::make_shared<const Token>();
};

} // namespace auburnspring

#endif
