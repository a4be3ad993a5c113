#ifndef AUBURNSPRING_SERVING_ATTEMPT_H
#define AUBURNSPRING_SERVING_ATTEMPT_H

#include "auburnspring/decision/attempt_verdict.h"
#include "auburnspring/decision/stream_pace.h"
#include "auburnspring/decision/upstream_state.h"
#include "auburnspring/http/client_call.h"
#include "auburnspring/serving/dialect.h"
#include "auburnspring/serving/event_splitter.h"
#include "auburnspring/serving/permit_lease.h"
#include "auburnspring/serving/response_share.h"
#include "auburnspring/serving/stream_meter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspring {

/// Tokens that an attempt adds to the load of an engine.
struct AttemptTokens {
  /// Prompt tokens that are not in a shared prefix.
  std::int64_t prefill = 0;
  /// Tokens held in the KV cache until the attempt ends.
  std::int64_t kvCache = 0;
  /// Prompt tokens, of all requests there, that the engine has to prefill
  /// before the first event.
  std::int64_t pending = 0;
};

/// What the response to an attempt should be.
enum class ExpectedBody {
  /// Bytes that this host doesn't read.
  Opaque,
  /// A stream of events from its beginning.
  Events,
  /// The rest of a stream whose first events the caller has.
  FurtherEvents,
};

/// One dispatch of a request to one upstream. It counts toward the upstream's
/// load from start() until it ends or is cancelled.
class Attempt {
public:
  struct Events {
    /// The head of the response has been received.
    std::function<void()> onHead;
    /// Bytes of the response body; the head is known by then.
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
  };

  Attempt(asio::io_context &io, const Dialect *dialect,
          UpstreamStatePtr upstream, AttemptTokens tokens,
          ExpectedBody expected, ResponseBudget *budget);
  ~Attempt();
  Attempt(const Attempt &) = delete;
  Attempt &operator=(const Attempt &) = delete;

  void setEvents(Events events) { events_ = std::move(events); }
  /// The permit that the attempt holds until it ends.
  void setLease(PermitLeasePtr lease) { lease_ = std::move(lease); }
  void start(const http::RequestHead &head, std::string_view body,
             const std::string &requestId, TimePoint now);
  /// Closes the connection and discards the body; no further event follows.
  void cancel();
  /// Ends the attempt as failed, since `part` of the response has no end within
  /// `bytes`.
  void endUnbounded(std::string_view part, std::size_t bytes);

  /// Called at the first event of a stream: the engine has finished prefill.
  void notePrefillDone();

  /// Notes an event that the caller did not have. Returns true if it is at
  /// least `span` after the attempt's first one.
  bool noteEvent(TimePoint at, Duration span);
  /// The attempt has shown that its request crashes no upstream.
  bool isSound() const { return isSound_; }
  void setSound() { isSound_ = true; }

  /// The attempt is a peer's, which serves the request for this host.
  bool isHandOver() const { return isHandOver_; }
  void setHandOver() { isHandOver_ = true; }
  /// The peer states that the request did not run.
  void setNotRun() { responseInfo_.isNotRun = true; }

  const UpstreamState &upstream() const { return *upstream_; }
  const UpstreamStatePtr &upstreamState() const { return upstream_; }
  UpstreamState *mutableUpstream() { return upstream_.get(); }
  /// The response is a stream of events that may be forwarded.
  bool isEventStream() const;
  const http::ResponseHead &head() const { return head_; }
  const ResponseInfo &responseInfo() const { return responseInfo_; }
  const std::string &body() const { return body_; }
  /// Appends to the body of a call's response. Returns false, and appends
  /// nothing, if the host has no room for it.
  bool appendBody(std::string_view bytes);
  /// Appends to the body of a stream and adds the events that this completes
  /// to `events`. Returns false if the host has no room for what is left.
  bool splitEvents(std::string_view bytes, std::vector<StreamEvent> *events);
  const EventSplitter &splitter() const { return splitter_; }
  StreamMeter &meter() { return meter_; }
  StreamPace &pace() { return pace_; }
  TimePoint startedAt() const { return startedAt_; }
  const AttemptTokens &tokens() const { return tokens_; }
  bool hasEnded() const { return verdict_.has_value(); }
  /// How the attempt ended; not set before that, or if it was cancelled.
  std::optional<AttemptVerdict> verdict() const { return verdict_; }
  /// The response has neither a length nor chunks.
  bool isUnframed() const;
  /// Why the verdict is not Answered, for log lines.
  const std::string &failureReason() const { return failureReason_; }

private:
  void end(http::CallStatus callStatus, std::string_view reason);
  AttemptEvidence evidence(http::CallStatus callStatus) const;
  ContentEnd contentEnd() const;
  /// Removes this attempt from the load of the upstream.
  void releaseLoad();
  /// Frees a body that is of no use any more.
  void discardBody();

  const Dialect *dialect_;
  UpstreamStatePtr upstream_;
  AttemptTokens tokens_;
  ExpectedBody expected_;
  PermitLeasePtr lease_;
  Events events_;
  http::ResponseHead head_;
  ResponseInfo responseInfo_;
  /// Counts what body_ and splitter_ hold.
  ResponseShare share_;
  std::string body_;
  EventSplitter splitter_;
  StreamMeter meter_;
  StreamPace pace_;
  std::string requestId_;
  TimePoint startedAt_;
  bool prefillDone_ = false;
  bool isSound_ = false;
  bool isHandOver_ = false;
  std::optional<TimePoint> firstEventAt_;
  bool loadReleased_ = true;
  std::optional<AttemptVerdict> verdict_;
  std::string failureReason_;
  asio::io_context &io_;
  std::unique_ptr<http::ClientCall> call_;
};

} // namespace auburnspring

#endif
