#ifndef AUBURNSPRING_DECISION_REQUEST_RUN_H
#define AUBURNSPRING_DECISION_REQUEST_RUN_H

#include "auburnspring/decision/run_context.h"
#include "auburnspring/decision/step.h"
#include "auburnspring/decision/upstream_selection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring {

/// State machine of one request, from its arrival to its single final response
/// and on until its last attempt has ended. The caller holds the mutex of the
/// request's table.
class RequestRun {
public:
  RequestRun(RequestArrived arrived, std::shared_ptr<const LiveRoute> route,
             Instant now);

  void start(const RunContext &context, Step *step);
  void onSlotGranted(const SlotGranted &granted, const RunContext &context,
                     Step *step);
  void onSucceeded(const AttemptSucceeded &event, const RunContext &context,
                   Step *step);
  void onFailed(const AttemptFailed &event, const RunContext &context,
                Step *step);
  void onProgress(const AttemptProgress &event, Step *step);
  void onClaim(const ClaimDecided &event, const RunContext &context,
               Step *step);
  void onCallerDisconnected(const RunContext &context, Step *step);
  void onTimer(const RunContext &context, Step *step);

  /// True when the run can be destroyed.
  bool isOver() const;

  /// True until the final response has been sent.
  bool isOpen() const { return !responded_; }

  /// Time of the next onTimer call; TimePoint::max() if none is needed.
  TimePoint nextWake() const;

  /// Appends the upstream of each attempt in flight, one entry per attempt.
  void collectUpstreams(std::vector<std::string> *names) const;

private:
  /// A deadline is unattainable if even a fast run of the remaining stages
  /// would miss it.
  static constexpr double UnattainableQuantile = 0.1;
  /// Silence of all attempts of a generation after which another one is started
  /// beside them. Sound upstreams are silent for a second or so at times.
  static constexpr Duration SilenceBeforeReplacement =
      std::chrono::milliseconds(1500);

  struct LiveAttempt {
    AttemptId id;
    TrackedUpstreamPtr upstream;
    std::shared_ptr<PoolState> pool;
    TimePoint startedAt;
    bool atMostOnce = false;
    bool cancelled = false;
    /// Streamed text received so far, from the start of the part's result.
    std::string receivedText;
    /// Bytes of the stream are missing; only the final text is used.
    bool hasGap = false;
    /// Start or last output of a generation; none for other attempts.
    std::optional<TimePoint> lastOutputAt;
  };

  struct PartState {
    bool done = false;
    std::uint32_t attempts = 0;
    /// Attempts that were started beside silent ones.
    std::uint32_t replacements = 0;
    std::string result;
    /// Text received from failed attempts; the next attempt continues after
    /// it.
    std::string resumeText;
    /// Software version that wrote the first output. No other version may add
    /// to it; none while there is no output.
    std::optional<std::string> version;
    std::vector<std::string> excludedUpstreams;
    /// The next attempt may go to no excluded upstream, even if there is no
    /// other.
    bool excludesStrictly = false;
    TimePoint hedgeAt = TimePoint::max();
    /// When all attempts of a generation have been silent for too long.
    TimePoint silentAt = TimePoint::max();
    /// Set while a replacement runs beside silent attempts: the first attempt
    /// with more text than this many bytes goes on, and the others end.
    std::optional<std::size_t> contestedBytes;
  };

  enum class Phase { Claiming, AwaitingClaimant, Running, Finished };

  const Route &route() const { return *liveRoute_->route; }
  const Stage &stage() const { return route().stages[stage_]; }
  bool isAtMostOnceStage() const { return route().runsAtMostOnce(stage()); }
  static void cancel(LiveAttempt *attempt, Step *step);
  static void releaseSlot(const std::shared_ptr<PoolState> &pool,
                          const std::string &organisation, Step *step);
  std::shared_ptr<const Pool> pool(const std::string &name,
                                   const RunContext &context) const;

  Duration expectedRemaining(std::size_t stage, double quantile) const;
  bool cannotFinish(TimePoint now, double quantile) const;
  double startQuantile() const;
  Duration expectedWait(const RunContext &context) const;
  std::size_t liveAttempts(std::uint32_t part) const;

  void admit(const RunContext &context, Step *step);
  void requestClaim(bool refresh, const RunContext &context, Step *step);
  void scheduleLedgerPoll(Step *step);
  void relay(const ClaimDecided &event, const RunContext &context, Step *step);
  void beginStage(std::size_t index, const RunContext &context, Step *step);
  void requestSlot(std::uint32_t part, const RunContext &context, Step *step);
  SlotRequest slotRequest(std::uint32_t part) const;
  void dispatch(std::uint32_t part, const RunContext &context, Step *step);
  StartAttempt makeStartAttempt(const LiveAttempt &attempt) const;
  SelectionCriteria selectionCriteria(const PartState &part,
                                      const RunContext &context) const;
  bool canContinue(const PartState &part, const RunContext &context) const;
  std::string noUpstreamReason(const PartState &part) const;
  void bindToVersion(const LiveAttempt &begun, Step *step);
  void setHedge(PartState *part, TimePoint now) const;
  LiveAttempt *findAttempt(const AttemptId &id);
  LiveAttempt endAttempt(LiveAttempt *attempt, Step *step);
  void finishPart(std::uint32_t part, std::string text,
                  const RunContext &context, Step *step);
  void joinStage(const RunContext &context, Step *step);
  void recordFailure(const LiveAttempt &attempt, const AttemptFailed &event,
                     Step *step) const;
  void retryPart(const LiveAttempt &attempt, const RunContext &context,
                 Step *step);
  void hedge(std::uint32_t part, const RunContext &context, Step *step);
  bool takeExtraSlot(std::uint32_t part, Step *step);
  Duration collectSilent(std::uint32_t part, TimePoint now);
  void replaceSilent(std::uint32_t part, const RunContext &context, Step *step);
  void settleContest(const LiveAttempt &winner, Step *step);
  void cancelPart(std::uint32_t part, Step *step);
  void cancelAll(Step *step);
  void complete(const RunContext &context, Step *step);
  void giveUp(const std::string &reason, const RunContext &context, Step *step);
  void reject(const std::string &reason, const RunContext &context, Step *step);
  void respond(RespondToCaller response, const RunContext &context, Step *step);
  void settleClaim(const RunContext &context, Step *step);
  bool mayHaveRunEarlier() const;
  Duration retryAfterDelay(const RunContext &context) const;
  void recordCost(const LiveAttempt &attempt, const Usage &usage, bool useful);
  StageCost &costOf(const AttemptId &id) const;

  RequestArrived arrived_;
  std::shared_ptr<const LiveRoute> liveRoute_;
  std::string scopedKey_;
  std::string nonce_;
  std::string bodyDigest_;
  TimePoint arrivedAt_;
  TimePoint deadline_;
  Phase phase_ = Phase::Running;
  std::size_t stage_ = 0;
  std::shared_ptr<PoolState> stagePool_;
  std::vector<PartState> parts_;
  std::vector<LiveAttempt> attempts_;
  /// Joined result of the last completed stage.
  std::string stageResult_;
  bool responded_ = false;
  /// The ledger holds a claim of this run that is neither recorded nor
  /// released.
  bool claimed_ = false;
  bool claimPending_ = false;
  /// The ledger has confirmed that no earlier call with the key has run.
  bool keyKnownUnused_ = false;
  /// Another host holds the key's claim and may run or have run it.
  bool otherHostMayHaveRun_ = false;
  /// Number of attempts that ran or may have run.
  int possiblyRunAttempts_ = 0;
  bool atMostOnceMayHaveRun_ = false;
  std::uint64_t streamedBytes_ = 0;
  TimePoint ledgerPollAt_ = TimePoint::max();
  Duration ledgerPollDelay_{0};
};

} // namespace auburnspring

#endif
