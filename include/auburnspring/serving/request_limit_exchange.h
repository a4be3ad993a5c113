#ifndef AUBURNSPRING_SERVING_REQUEST_LIMIT_EXCHANGE_H
#define AUBURNSPRING_SERVING_REQUEST_LIMIT_EXCHANGE_H

#include "auburnspring/decision/cold_terms.h"
#include "auburnspring/decision/pool_rejections.h"
#include "auburnspring/decision/upstream_registry.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/dialect.h"
#include "auburnspring/serving/peer_network.h"
#include "auburnspring/serving/permit_lease.h"
#include "auburnspring/serving/serving_metrics.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// Keeps the requests of all hosts to an upstream within its limits, for
/// whatever reason it has them. The batching host of its pool gives the
/// permits; the others ask for one before each request to such an upstream.
class RequestLimitExchange {
public:
  /// The lease is null unless granted.
  using Handler = std::function<void(bool granted, PermitLeasePtr lease)>;

  /// What the upstreams of a pool take while they are cold, and for how long
  /// they are after a start.
  struct ColdPolicy {
    ColdTerms terms;
    Duration coldTime{0};
  };
  using ColdPolicyLookup = std::function<ColdPolicy(const std::string &pool)>;

  RequestLimitExchange(asio::io_context &io, PeerNetwork *peers,
                       UpstreamRegistry *registry, ServingMetrics *metrics,
                       std::uint64_t seed)
      : io_(io), peers_(peers), registry_(registry), metrics_(metrics),
        random_(seed) {}

  void setColdPolicy(ColdPolicyLookup lookup) {
    coldPolicy_ = std::move(lookup);
  }

  /// Applies what a response states, to a request that was sent at `sentAt`.
  void onResponse(const ResponseInfo &response,
                  const UpstreamStatePtr &upstream, TimePoint sentAt);
  /// True if a request to the upstream needs a permit.
  bool needsPermit(UpstreamState *upstream);
  /// Asks for the permit to send a request, which is in progress for `holdFor`
  /// at most. If it is denied, the upstream is not available until a later
  /// time. The handler may be called before this returns.
  void acquire(const UpstreamStatePtr &upstream, Duration holdFor,
               Handler handler);
  /// Takes a permit of this host's own; null if there is none yet. For the
  /// calls of the host that batches for the upstream's pool.
  PermitLeasePtr takeOwn(const UpstreamStatePtr &upstream, Duration holdFor);

  void onUpdate(const std::string &from, const UpstreamStatementUpdate &update);
  void onPermitRequest(const std::string &from, const PermitRequest &request);
  void onPermitReply(const PermitReply &reply);
  void onPermitRelease(const PermitRelease &release);
  void onHeartbeat(const std::string &from,
                   const std::vector<UpstreamStatement> &statements);
  /// Sends again which permits have ended since then, in case the peer gave
  /// them.
  void repeat(const std::string &host, TimePoint since);
  /// Limits for the next heartbeat.
  std::vector<UpstreamStatement> statementsForHeartbeat();

  /// Upstreams that are limited now for the reason that the kind stands for.
  std::size_t limitedCount(StatementKind kind) const;

private:
  struct Pending {
    explicit Pending(asio::io_context &io) : timer(io) {}
    UpstreamStatePtr upstream;
    Handler handler;
    std::string giver;
    TimePoint askedAt;
    http::Timer timer;
  };

  /// Applies a statement to this host's state; true if it changes a limit.
  bool apply(const UpstreamStatePtr &upstream,
             const UpstreamStatement &statement, const std::string &source);
  bool learn(const UpstreamStatement &stated, const std::string &source);
  void announce(const UpstreamState &upstream, StatementKind kind);
  /// Takes over what a new incarnation has not stated yet from its entry and
  /// its pool.
  void assumeLimits(UpstreamState *upstream, TimePoint now);
  void assumeCold(UpstreamState *upstream, TimePoint now);
  /// For how long this host has given the permits of the pool, in touch with
  /// most hosts; 0 if it does not.
  Duration givingFor(const std::string &pool, TimePoint now);
  LimitTerms termsOf(const UpstreamState &upstream) const;
  /// Gives or denies a permit of this host.
  PermitReply decide(UpstreamState *upstream, Duration holdFor);
  PermitLeasePtr makeLease(const UpstreamStatePtr &upstream,
                           const std::string &giver, std::uint64_t lease);
  void finish(std::uint64_t number, const PermitReply &reply);
  void onTimeout(std::uint64_t number);

  struct SentRelease {
    std::string giver;
    PermitRelease release;
    TimePoint at;
  };

  asio::io_context &io_;
  PeerNetwork *peers_;
  UpstreamRegistry *registry_;
  ServingMetrics *metrics_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, Pending> pending_;
  std::deque<SentRelease> sentReleases_;
  struct Giving {
    TimePoint checkedAt;
    std::optional<TimePoint> since;
  };

  ColdPolicyLookup coldPolicy_ = [](const std::string &) {
    return ColdPolicy();
  };
  std::map<std::string, Giving> giving_;
  /// By pool.
  std::map<std::string, PoolRejections> rejections_;
  std::uint64_t nextNumber_ = 1;
  HandlerScope handlers_;
};

} // namespace auburnspring

#endif
