#ifndef AUBURNSPRING_SERVING_ACTIVE_REQUEST_H
#define AUBURNSPRING_SERVING_ACTIVE_REQUEST_H

#include "auburnspring/decision/retry_decision.h"
#include "auburnspring/decision/stage_plan.h"
#include "auburnspring/http/exchange.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/attempt.h"
#include "auburnspring/serving/serving_context.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnspring {

/// One request of a caller, from its arrival to its final response: first the
/// stages, then one attempt at a time at the upstreams of its route. A
/// retryable call may be hedged with a second attempt, and so may a resumable
/// stream whose upstream is silent.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  using FinishedHandler = std::function<void(ActiveRequest *)>;

  /// Retry-After of a refused request if there is no better estimate.
  static constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(300);

  /// Where the request comes from.
  enum class Source { Caller, Peer };

  ActiveRequest(ServingContext *context,
                std::shared_ptr<http::Exchange> exchange, Source source,
                FinishedHandler onFinished);

  /// Header with the fleet's key, in a request that a peer hands over, and one
  /// in a response of its own to such a request if it did not run.
  static constexpr const char *PeerKeyHeader = "X-Auburnspring-Peer-Key";
  static constexpr const char *NotRunHeader = "X-Auburnspring-Not-Run";

  bool isFromPeer() const { return source_ == Source::Peer; }
  void start();
  /// Ends the request because the host is about to stop.
  void endForShutdown();

private:
  /// No attempt is started with less time left than this.
  static constexpr Duration MinAttemptTime = std::chrono::milliseconds(10);

  /// Retry-After of a request that a stopping host has no time for: other hosts
  /// serve it.
  static constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);

  // Arrival.
  bool admit();
  /// False if the host is stopping, and the request would outlast it.
  bool hasTimeBeforeStop() const;
  void begin();
  void chooseUpstreamPool();
  void onCallerDisconnected();
  void onDeadline();
  void endRequest(int statusIfRun, std::string_view reason);

  // Requests and prompt parts that crash upstreams.
  /// Refuses the request if it or a part of it is quarantined, else begins with
  /// it. A quarantined request needs a trial before its stages, whose upstreams
  /// it may crash too.
  void beginUnlessQuarantined();
  void refuseQuarantined(const PartQuarantines::Check &check);
  /// Refuses or holds the request right before an attempt, and returns true if
  /// so. The attempt starts later if the request gets the trial that is due.
  bool holdIfQuarantined();
  /// The request has a trial, and no upstream may have run it so far.
  bool hasOpenTrial() const { return isTrial_ && possibleRuns_ == 0; }
  /// Asks for the trial that is due, then goes on with `next` or refuses.
  void requestTrial(const PartQuarantines::Check &check,
                    void (ActiveRequest::*next)());
  /// The attempt shows that its parts crash no upstream.
  void noteSound(Attempt *attempt);
  /// Tells the guard what the end of the attempt shows of its parts.
  void reportParts(Attempt *attempt);

  // Streams that go on.
  /// True for a request that takes up a stream of which the caller has events.
  bool isResumption() const;
  /// Finds out which software version began the stream that is resumed, then
  /// begins the stages or refuses the request.
  void findOrigin();
  /// The version that began the stream if its pool has shown no other for as
  /// long as a stream lasts, as far as this host knows.
  std::optional<std::string> onlyVersion() const;
  /// Begins the stages if the only version of the pool began the stream, which
  /// the store has to confirm; calls `otherwise` if not.
  void inferOrigin(void (ActiveRequest::*otherwise)());
  /// Looks for the origin in the store.
  void readOrigin();
  /// The time is set if the origin may still become known.
  void refuseUnknownOrigin(std::optional<Duration> retryAfter);
  /// Refuses to resume a stream that the caller does not name.
  void refuseUnnamedOrigin();
  void resumeAt(const StreamOrigin &origin, std::string_view source);
  /// Records that the stream begins at the upstream.
  void recordOrigin(const UpstreamState &upstream);
  /// Software version of the next attempt; not set if any will do.
  std::optional<std::string> requiredVersion() const;
  std::string_view missingUpstreamReason() const;
  void refuseWithoutUpstream();
  /// Has the results made again that were released at the first event.
  bool restartStages();

  // Peers that serve requests for this host.
  /// This host can't serve the request itself: it reaches no upstream of the
  /// pool, or another host knows the version of the stream.
  bool mustHandOver() const;
  /// This host reaches few upstreams of the pool, and a peer more of them.
  bool mayHandOver() const;
  void handOver();
  /// Responds as the peer has: it has tried as many upstreams as the route
  /// allows, and its own responses are no upstream's.
  void relayFromPeer(Attempt *attempt);

  // Stages.
  void startStages();
  void submitReadyStages();
  void onStageOutcome(JobOutcome outcome, const std::string &pool,
                      TimePoint since);
  StageJob makeJob(std::uint32_t stage);
  Duration expectedStageTime(std::uint32_t stage) const;
  Duration expectedTimeAfter(std::uint32_t stage) const;
  Duration retryAfterFor(Duration backlog) const;
  /// The duration lengthened at random, so that callers do not retry at once.
  Duration jittered(Duration duration) const;
  double valueDensity(std::uint32_t stage) const;
  std::string preferredDataCentre(std::uint32_t stage);
  void releaseResults(const std::vector<std::string> &results);

  // Attempts.
  void dispatch();
  EngineChoice selectUpstream(const std::vector<std::string> &inputs);
  EngineChoice selectUpstream(const std::vector<std::string> &inputs,
                              absl::Span<const std::string> avoid);
  void startAttempt(const EngineChoice &choice, PermitLeasePtr lease);
  /// Adds the prompt to the lengths by which the pool is divided.
  void notePromptLength();
  Attempt *addAttempt(const UpstreamStatePtr &upstream, AttemptTokens tokens);
  /// The upstream of the choice names a limit, under which this request has got
  /// a permit or not.
  void onPermit(const EngineChoice &choice, bool granted, PermitLeasePtr lease);
  EngineSpeedEstimator &engineSpeed() const {
    return context_->engineSpeeds[poolName_];
  }
  ForwardingParams forwardingParams(const UpstreamState &upstream) const;
  void onHead(Attempt *attempt);
  /// Leaves the other attempt of a stream a bounded time after this one began.
  void boundOverlap(Attempt *attempt);
  void onBody(Attempt *attempt, std::string_view bytes);
  void recordEventTime(TimePoint now);
  void onEvents(Attempt *attempt, std::string_view bytes);
  void forwardEvents(Attempt *attempt, std::string_view events);
  void startStream(Attempt *attempt);
  /// Makes the attempt the only one, since its events are forwarded now.
  void keepOnly(Attempt *attempt);
  void onAttemptEnd(Attempt *attempt);
  void rerunStages(Attempt *attempt);
  /// A complete response with a server error of an attempt of a call; null if
  /// there is none.
  Attempt *errorResponse() const;
  void decideNextStep(Attempt *attempt);
  /// The peer has refused the request or answered it other than by events.
  bool hasPeerReply(const Attempt &attempt) const;
  /// The parts of the prompt that other requests may share: all but the last.
  absl::Span<const PromptPart> sharedParts() const;
  /// Names of the first of them, for a log line.
  std::string loggedParts() const;
  void recordHealth(Attempt *attempt);
  void armHedgeTimer();
  void onHedge();
  void armStallTimer();
  void onStall();
  bool needsStagesAgain() const;
  bool mayHedgeStream();
  /// Starts a second attempt for a stream, once its stages have run again.
  void hedgeStream();
  /// The second attempt of a stalled stream did not run: tries another one.
  void retryHedge(Attempt *attempt);
  bool takeRetry();
  /// The earliest attempt in progress; null if there is none.
  Attempt *liveAttempt() const;
  bool hasLiveAttempt() const { return liveAttempt() != nullptr; }

  // Responses.
  void relay(Attempt *attempt);
  void refuse(int status, std::string_view reason,
              std::optional<Duration> retryAfter = std::nullopt);
  void abortStream(std::string_view reason);
  void finish(const std::string &outcome, int status, std::string_view reason);
  Duration timeLeft() const;

  ServingContext *context_;
  std::shared_ptr<http::Exchange> exchange_;
  Source source_;
  FinishedHandler onFinished_;
  std::shared_ptr<const RoutingTable> table_;
  const ServedRoute *route_ = nullptr;
  const ServedPool *pool_ = nullptr;
  std::string poolName_;
  std::string organisation_;
  std::int64_t priority_ = 0;
  CallerRequest request_;
  /// Known once the caller is; empty before that.
  std::string requestName_;
  /// Names of the prompt's shared parts, and the request's own.
  std::vector<std::string> partNames_;
  /// This request is the quarantined one that is let through.
  bool isTrial_ = false;
  /// The next attempt waits for a permit of an upstream that names a limit.
  bool awaitsPermit_ = false;
  TimePoint deadline_;
  /// Target time of the response or of a stream's first event.
  TimePoint targetTime_;
  StagePlan plan_;
  TimePoint stagesDoneAt_;
  std::vector<std::unique_ptr<Attempt>> attempts_;
  std::vector<std::string> triedUpstreams_;
  /// The upstream whose response is forwarded; empty before that.
  std::string respondingUpstream_;
  /// Software version at which the stream began; not set for other requests.
  std::optional<std::string> softwareVersion_;
  /// Attempts that an upstream may have run.
  std::int64_t possibleRuns_ = 0;
  http::Timer deadlineTimer_;
  /// Hedge delay of a call, stall timeout of a stream.
  http::Timer progressTimer_;
  /// Bounds how long two upstreams run one stream.
  http::Timer overlapTimer_;
  /// The stream has stalled and no attempt has brought an event since.
  bool isStalled_ = false;
  /// Stages run again for a second attempt of a stream whose first one goes on.
  bool hedgeAwaitsStages_ = false;
  std::optional<std::int64_t> lastEventId_;
  TimePoint firstEventAt_;
  TimePoint lastEventAt_;
  /// Longest pause between two events that were forwarded.
  Duration longestGap_{0};
  bool streamStarted_ = false;
  bool callerDisconnected_ = false;
  bool done_ = false;
  /// Of all that the request waits for. They end with the request, which is
  /// before this object does.
  HandlerScope handlers_;
};

} // namespace auburnspring

#endif
