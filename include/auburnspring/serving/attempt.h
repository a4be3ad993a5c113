#ifndef AUBURNSPRING_SERVING_ATTEMPT_H
#define AUBURNSPRING_SERVING_ATTEMPT_H

#include "auburnspring/decision/attempt_verdict.h"
#include "auburnspring/decision/served_upstream.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/serving/dialect.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspring {

/// Tokens that an attempt brings to an engine.
struct AttemptTokens {
  std::int64_t toRead = 0;
  std::int64_t toHold = 0;
};

/// One dispatch of a request to one upstream. It counts toward the upstream's
/// load from its start to its end.
class Attempt {
public:
  struct Events {
    /// Bytes of a whole answer's or a stream's body, with its head known.
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
  };

  Attempt(asio::io_context &io, const Dialect *dialect,
          ServedUpstreamPtr upstream, AttemptTokens tokens);
  ~Attempt();
  Attempt(const Attempt &) = delete;
  Attempt &operator=(const Attempt &) = delete;

  void setEvents(Events events) { events_ = std::move(events); }
  void start(const http::RequestHead &head, std::string_view body,
             const std::string &requestId, TimePoint now);
  /// Closes the connection; no event follows.
  void cancel();

  /// The first event of a stream has come: the prompt has been read.
  void notePromptRead();

  const ServedUpstream &upstream() const { return *upstream_; }
  ServedUpstream *mutableUpstream() { return upstream_.get(); }
  bool hasHead() const { return head_.status != 0; }
  const http::ResponseHead &head() const { return head_; }
  const AnswerFacts &facts() const { return facts_; }
  std::string &body() { return body_; }
  TimePoint startedAt() const { return startedAt_; }
  bool hasEnded() const { return ended_; }
  http::CallEnd end() const { return end_; }
  const std::string &why() const { return why_; }

  /// What decideNext() needs to know.
  AttemptReport report() const;

private:
  void settle();

  const Dialect *dialect_;
  ServedUpstreamPtr upstream_;
  AttemptTokens tokens_;
  Events events_;
  http::ResponseHead head_;
  AnswerFacts facts_;
  std::string body_;
  std::string requestId_;
  TimePoint startedAt_;
  bool promptRead_ = false;
  bool settled_ = true;
  bool ended_ = false;
  http::CallEnd end_ = http::CallEnd::NotSent;
  std::string why_;
  asio::io_context &io_;
  std::unique_ptr<http::ClientCall> call_;
};

} // namespace auburnspring

#endif
