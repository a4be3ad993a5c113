#include "auburnspring/serving/store_follower.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// One watch covers the whole store: keys that are not needed are small and
/// change rarely.
constexpr const char *AllKeysPrefix = "";
/// A watch without changes ends after this time. It and the timeout of a call
/// bound how long an unresponsive connection goes unnoticed.
constexpr Duration WatchTimeout = std::chrono::seconds(5);
/// Minimum interval between watches. It grows with the fleet, so that a burst
/// of changes costs few calls, and stays well below the time within which a
/// change must be in force.
constexpr Duration MinWatchInterval = std::chrono::milliseconds(100);
constexpr Duration MaxWatchInterval = std::chrono::milliseconds(500);
constexpr Duration WatchIntervalPerHost = std::chrono::milliseconds(8);
constexpr Duration LeaseTtl = std::chrono::milliseconds(4000);
constexpr Duration RenewInterval = std::chrono::milliseconds(1000);
constexpr Duration MinRetryDelay = std::chrono::milliseconds(150);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(1200);

} // namespace

StoreFollower::StoreFollower(asio::io_context &io, MetadataStore *store,
                             Options options, Events events)
    : store_(store), options_(std::move(options)), events_(std::move(events)),
      readTimer_(io), renewTimer_(io), random_(options_.seed) {}

void StoreFollower::start() {
  read();
  registerHost();
}

Duration StoreFollower::jittered(Duration duration) {
  std::uniform_real_distribution<double> factor(0.5, 1.0);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor(random_)));
}

void StoreFollower::setReachable(bool reachable, std::string_view reason) {
  failures_ = reachable ? 0 : failures_ + 1;
  if (reachable_ == reachable && reachabilityReported_)
    return;
  reachabilityReported_ = true;
  reachable_ = reachable;
  logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
           reachable ? "store_regained" : "store_lost",
           {{"why", std::string(reason)},
            {"revision", static_cast<long>(replica_.revision())}});
  events_.onReachable(reachable, reason);
  if (reachable)
    restartWatch();
}

void StoreFollower::setWatching(bool watching) {
  if (watching_ == watching)
    return;
  watching_ = watching;
  logEvent(LogLevel::Info, "store_watch",
           {{"watching", watching},
            {"revision", static_cast<long>(replica_.revision())}});
  if (watching && hasSnapshot_ && !watchPending_)
    scheduleRead(Duration(0));
}

void StoreFollower::restartWatch() {
  // A watch from before an outage may never complete, even if the store is
  // reachable again.
  if (hasSnapshot_ && watching_ && watchPending_)
    scheduleRead(Duration(0));
}

void StoreFollower::publish(const std::vector<StoreChange> &changes) {
  if (!changes.empty())
    events_.onChanges(changes);
}

void StoreFollower::read() {
  ++storeCalls_;
  store_->readAll(AllKeysPrefix, [this](absl::StatusOr<StoreRead> result) {
    if (!result.ok()) {
      setReachable(false, std::string(result.status().message()));
      const Duration backoff =
          MinRetryDelay * (1 << std::min<std::int64_t>(failures_, 4));
      return scheduleRead(jittered(std::min(MaxRetryDelay, backoff)));
    }
    setReachable(true, "read");
    hasSnapshot_ = true;
    publish(replica_.replace(result->changes, result->revision));
    if (watching_)
      watch();
  });
}

void StoreFollower::scheduleRead(Duration after) {
  readTimer_.expires_after(after);
  readTimer_.async_wait([this](asio::error_code error) {
    if (error)
      return;
    if (!hasSnapshot_)
      read();
    else if (watching_)
      watch();
  });
}

void StoreFollower::watch() {
  ++storeCalls_;
  watchStartedAt_ = steadyNow();
  watchPending_ = true;
  store_->watch(
      AllKeysPrefix, replica_.revision(), WatchTimeout,
      [this, number = ++watchNumber_](const absl::StatusOr<StoreRead> &result) {
        if (result.ok())
          publish(replica_.apply(result->changes, result->revision));
        if (number == watchNumber_)
          onWatch(result);
      });
}

void StoreFollower::onWatch(const absl::StatusOr<StoreRead> &result) {
  watchPending_ = false;
  if (result.ok()) {
    setReachable(true, "watch");
    const Duration elapsed = steadyNow() - watchStartedAt_;
    const Duration interval =
        std::clamp(WatchIntervalPerHost * static_cast<std::int64_t>(hostCount_),
                   MinWatchInterval, MaxWatchInterval);
    return scheduleRead(std::max(Duration(0), interval - elapsed));
  }
  if (result.status().code() == absl::StatusCode::kOutOfRange) {
    logEvent(LogLevel::Info, "store_history_gone",
             {{"revision", static_cast<long>(replica_.revision())}});
    // A host that no longer watches gets the missing changes from its peers.
    return watching_ ? read() : void();
  }
  // A failed watch alone does not mark the store as unreachable; a failed
  // renewal does.
  ++failures_;
  const Duration backoff =
      MinRetryDelay * (1 << std::min<std::int64_t>(failures_, 3));
  scheduleRead(jittered(std::min(MaxRetryDelay, backoff)));
}

void StoreFollower::registerHost() {
  ++storeCalls_;
  store_->createLease(LeaseTtl, [this](absl::StatusOr<std::int64_t> lease) {
    if (!lease.ok()) {
      setReachable(false, std::string(lease.status().message()));
      return scheduleRenewal(jittered(RenewInterval));
    }
    setReachable(true, "lease");
    lease_ = *lease;
    writeEntry();
  });
}

void StoreFollower::writeEntry() {
  ++storeCalls_;
  store_->put(
      options_.hostKey, leaving_ ? options_.leavingValue : options_.hostValue,
      lease_,
      [this, leaving = leaving_](const absl::StatusOr<std::int64_t> &written) {
        registered_ = written.ok();
        if (!written.ok())
          lease_ = 0;
        // The host may have begun to stop in the meantime.
        else if (leaving != leaving_)
          return writeEntry();
        scheduleRenewal(jittered(RenewInterval));
      });
}

void StoreFollower::scheduleRenewal(Duration after) {
  renewTimer_.expires_after(after);
  renewTimer_.async_wait([this](asio::error_code error) {
    if (error)
      return;
    lease_ == 0 ? registerHost() : renew();
  });
}

void StoreFollower::renew() {
  ++storeCalls_;
  store_->renewLease(lease_, [this](const absl::StatusOr<Duration> &ttl) {
    if (ttl.ok()) {
      setReachable(true, "renewal");
    } else if (ttl.status().code() == absl::StatusCode::kNotFound) {
      lease_ = 0;
      registered_ = false;
      setReachable(true, "lease ended");
      return registerHost();
    } else {
      setReachable(false, std::string(ttl.status().message()));
    }
    scheduleRenewal(RenewInterval);
  });
}

void StoreFollower::announceLeaving() {
  leaving_ = true;
  // Otherwise the entry is written once the lease has been created.
  if (registered_)
    writeEntry();
}

void StoreFollower::deregister() {
  renewTimer_.cancel();
  if (!registered_)
    return;
  ++storeCalls_;
  store_->remove(
      options_.hostKey, [](const absl::StatusOr<std::int64_t> &result) {
        // The lease expires soon in any case.
        if (!result.ok())
          logEvent(LogLevel::Info, "host_entry_not_removed",
                   {{"error", std::string(result.status().message())}});
      });
}

void StoreFollower::applyFromPeer(bool isSnapshot, std::int64_t revision,
                                  const std::vector<StoreChange> &changes) {
  if (revision <= replica_.revision())
    return;
  publish(isSnapshot ? replica_.replace(changes, revision)
                     : replica_.apply(changes, revision));
}

} // namespace auburnspring
