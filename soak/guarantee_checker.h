#ifndef AUBURNSPRING_SOAK_GUARANTEE_CHECKER_H
#define AUBURNSPRING_SOAK_GUARANTEE_CHECKER_H

#include "soak/call_outcome.h"
#include "soak/crashing_part_checker.h"
#include "soak/disruption_log.h"
#include "soak/limit_checker.h"
#include "soak/sent_call.h"
#include "soak/stream_checker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring::soak {

/// Bounds of the guarantees, as documented for users.
struct GuaranteeBounds {
  /// From the end of a disruption until time bounds apply again.
  Duration settlingTime = std::chrono::milliseconds(3000);
  Duration drainSlack = std::chrono::milliseconds(2000);
  /// From an upstream's refusal of a host until it gets no more requests than
  /// the limit from it.
  Duration refusalSlack = std::chrono::milliseconds(500);
  std::int64_t refusalLimit = 2;
  Duration configurationSlack = std::chrono::milliseconds(2000);
  /// From serving a version until no older one may be served.
  Duration rollbackSlack = std::chrono::milliseconds(250);
  /// From a request's last byte until it is forwarded, at a planned stop.
  Duration acceptSlack = std::chrono::milliseconds(200);
  Duration responseSlack = std::chrono::milliseconds(500);
  double retryRatio = 0.2;
  std::int64_t retrySlack = 40;
  Duration retryWindow = std::chrono::seconds(10);
};

/// Checks what callers and upstreams observe in a run against the documented
/// guarantees.
///
/// Time bounds apply only to connected hosts: no disruption of the host, of the
/// store or of every host within the settling time before.
class GuaranteeChecker {
public:
  explicit GuaranteeChecker(const GuaranteeBounds &bounds) : bounds_(bounds) {}

  DisruptionLog &disruptions() { return disruptions_; }

  void onSent(const SentCall &call);
  /// An upstream, of the software version if given, starts to execute the
  /// request.
  void onRun(const std::string &id, const std::string &pool, TimePoint at,
             std::string_view version = {});
  /// The caller gets an event of a stream from that software version.
  void onEvent(const std::string &id, int number, std::string_view version);
  /// The host closes its connection to an upstream that is silent for a while.
  void onLeftInPause(const std::string &id, const std::string &upstream);
  /// An upstream receives the request, whether or not it executes it.
  void onArrival(const std::string &id, const std::string &pool,
                 const std::string &upstream, TimePoint at);
  void onOutcome(const std::string &id, const CallOutcome &outcome,
                 TimePoint at);

  /// The store has accepted a configuration, or the draining state of an
  /// upstream.
  void onConfiguration(std::int64_t version, TimePoint at);
  void onUpstreamDraining(const std::string &upstream, TimePoint at);

  /// An upstream has stated in its response to the request that it is leaving,
  /// or that it wants no more requests of the sender for a time.
  void onLeavingStated(const std::string &id, const std::string &upstream,
                       TimePoint at);
  void onHostRefused(const std::string &id, const std::string &upstream,
                     Duration retryAfter, TimePoint at);

  /// An upstream has crashed under the crashing part.
  void onPartCrash(TimePoint at) { crashingPart_.onCrash(at); }

  /// An upstream begins to name a limit or ceases to; a response names it.
  void onLimit(const std::string &upstream, std::optional<double> perSecond,
               TimePoint at) {
    limits_.onLimit(upstream, perSecond, at);
  }
  void onLimitNamed(const std::string &id, const std::string &upstream,
                    TimePoint at);

  /// The host's process was paused, and resumed.
  void onPaused(const std::string &host, TimePoint at);
  void onResumed(const std::string &host, TimePoint at);

  /// The host's process was sent SIGTERM, and has ended.
  void onStopRequested(const std::string &host, TimePoint at);
  void onStopped(const std::string &host, TimePoint at);

  void reportViolation(const std::string &guarantee, const std::string &what);

  /// Checks the guarantees that need the whole run. No disruption affects
  /// requests sent after `recoveredAt`.
  void checkAtEnd(TimePoint recoveredAt);

  const std::vector<std::string> &violations() const { return violations_; }
  std::size_t sentCount() const { return calls_.size(); }
  std::size_t servedCount() const { return served_; }
  /// One line for each request that counts as lost, within the limit or beyond.
  const std::vector<std::string> &lostRequests() const { return lost_; }
  const LimitChecker &limits() const { return limits_; }
  const StreamChecker &streams() const { return streams_; }
  const CrashingPartChecker &crashingPart() const { return crashingPart_; }
  /// Share of the requests sent after `recoveredAt` that were served.
  double recoveredShare() const { return recoveredShare_; }

private:
  struct Call {
    SentCall sent;
    CallOutcome outcome;
    bool isFinished = false;
    TimePoint finishedAt;
    std::int64_t runs = 0;
    TimePoint firstRunAt;
    std::int64_t arrivals = 0;
    /// Software versions of the upstreams that ran it.
    std::set<std::string, std::less<>> versions;
    /// The upstream that was left in its pause.
    std::string pausedUpstream;
    bool isLost = false;

    bool isServed() const {
      return outcome.status == 200 && outcome.isComplete;
    }
  };

  /// An incarnation of a host, as seen by one upstream.
  struct Sender {
    std::string host;
    std::uint64_t incarnation = 0;
    std::string upstream;
    bool operator<(const Sender &other) const;
  };
  struct Refusal {
    TimePoint at;
    TimePoint until;
    std::int64_t arrivals = 0;
  };

  Sender senderOf(const Call &call, const std::string &upstream) const;
  void checkStatements(const Call &call, const std::string &upstream,
                       TimePoint at);
  bool isConnected(const std::string &host, TimePoint at) const;
  bool isConnected(const std::string &host, TimePoint from, TimePoint to) const;
  void checkRefusal(const Call &call);
  void checkBody(const Call &call);
  void checkConfiguration(const Call &call, TimePoint at, bool isServed);
  void checkLost(Call *call);
  void checkRetryBudget();

  GuaranteeBounds bounds_;
  DisruptionLog disruptions_;
  std::map<std::string, Call> calls_;
  StreamChecker streams_;
  CrashingPartChecker crashingPart_;
  LimitChecker limits_;
  std::map<std::int64_t, TimePoint> publishedAt_;
  std::map<std::string, TimePoint> drainingSince_;
  /// Newest version that each incarnation of a host has served, and when.
  std::map<std::pair<std::string, std::uint64_t>,
           std::pair<std::int64_t, TimePoint>>
      newestServed_;
  struct Arrival {
    TimePoint at;
    bool isRetry;
  };
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::map<Sender, TimePoint> leavingStatedAt_;
  std::map<Sender, std::vector<Refusal>> refusals_;
  std::vector<std::string> violations_;
  std::size_t served_ = 0;
  std::size_t reachedDeadline_ = 0;
  std::size_t overdue_ = 0;
  std::size_t lostUndisrupted_ = 0;
  std::vector<std::string> lost_;
  double recoveredShare_ = 1;
};

} // namespace auburnspring::soak

#endif
