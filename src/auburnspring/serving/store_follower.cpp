#include "auburnspring/serving/store_follower.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"

#include <algorithm>

namespace auburnspring {

namespace {

/// Everything in the store is followed by one watch; what is of no concern is
/// small and changes rarely.
constexpr const char *EverythingPrefix = "";
/// A watch that has nothing to tell is answered after this time. It and the
/// time-out of a call bound how long a silent connection goes unnoticed.
constexpr Duration WatchWait = std::chrono::seconds(5);
/// Watches that are answered sooner follow each other at an interval that grows
/// with the fleet, so that a storm of changes costs few calls. It stays well
/// within the time in which a change must be in force.
constexpr Duration ShortestWatch = std::chrono::milliseconds(100);
constexpr Duration LongestPace = std::chrono::milliseconds(500);
constexpr Duration PacePerHost = std::chrono::milliseconds(8);
constexpr Duration LeaseLife = std::chrono::milliseconds(4000);
constexpr Duration RenewInterval = std::chrono::milliseconds(1000);
constexpr Duration FirstRetry = std::chrono::milliseconds(150);
constexpr Duration LongestRetry = std::chrono::milliseconds(1200);

} // namespace

StoreFollower::StoreFollower(asio::io_context &io, MetadataStore *store,
                             Options options, Events events)
    : store_(store), options_(std::move(options)), events_(std::move(events)),
      readTimer_(io), renewTimer_(io), random_(options_.seed) {}

void StoreFollower::start() {
  read();
  registerHost();
}

Duration StoreFollower::jittered(Duration span) {
  std::uniform_real_distribution<double> factor(0.5, 1.0);
  return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) *
                                            factor(random_)));
}

void StoreFollower::setReachable(bool reachable, std::string_view why) {
  failures_ = reachable ? 0 : failures_ + 1;
  if (reachable_ == reachable && hasTold_)
    return;
  hasTold_ = true;
  reachable_ = reachable;
  logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
           reachable ? "store_regained" : "store_lost",
           {{"why", std::string(why)},
            {"revision", static_cast<long>(replica_.revision())}});
  events_.onReachable(reachable, why);
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
  if (watching && hasRead_ && !watchPending_)
    scheduleRead(Duration(0));
}

void StoreFollower::restartWatch() {
  // A watch from before an outage may never be answered, though the store is
  // back.
  if (hasRead_ && watching_ && watchPending_)
    scheduleRead(Duration(0));
}

void StoreFollower::publish(const std::vector<StoreChange> &news) {
  if (!news.empty())
    events_.onChanges(news);
}

void StoreFollower::read() {
  ++calls_;
  store_->readAll(EverythingPrefix, [this](absl::StatusOr<StoreRead> result) {
    if (!result.ok()) {
      setReachable(false, std::string(result.status().message()));
      const Duration backoff =
          FirstRetry * (1 << std::min<std::int64_t>(failures_, 4));
      return scheduleRead(jittered(std::min(LongestRetry, backoff)));
    }
    setReachable(true, "read");
    hasRead_ = true;
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
    if (!hasRead_)
      read();
    else if (watching_)
      watch();
  });
}

void StoreFollower::watch() {
  ++calls_;
  watchedAt_ = steadyNow();
  watchPending_ = true;
  store_->watch(
      EverythingPrefix, replica_.revision(), WatchWait,
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
    const Duration took = steadyNow() - watchedAt_;
    const Duration pace =
        std::clamp(PacePerHost * static_cast<std::int64_t>(hosts_),
                   ShortestWatch, LongestPace);
    return scheduleRead(std::max(Duration(0), pace - took));
  }
  if (result.status().code() == absl::StatusCode::kOutOfRange) {
    logEvent(LogLevel::Info, "store_history_gone",
             {{"revision", static_cast<long>(replica_.revision())}});
    // What a host that no longer watches lacks comes from its peers.
    return watching_ ? read() : void();
  }
  // A cut watch alone does not mean that the store is away; a renewal that
  // fails too does.
  ++failures_;
  const Duration backoff =
      FirstRetry * (1 << std::min<std::int64_t>(failures_, 3));
  scheduleRead(jittered(std::min(LongestRetry, backoff)));
}

void StoreFollower::registerHost() {
  ++calls_;
  store_->createLease(LeaseLife, [this](absl::StatusOr<std::int64_t> lease) {
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
  ++calls_;
  store_->put(
      options_.hostKey, leaving_ ? options_.leavingValue : options_.hostValue,
      lease_,
      [this, leaving = leaving_](const absl::StatusOr<std::int64_t> &written) {
        registered_ = written.ok();
        if (!written.ok())
          lease_ = 0;
        // The host may have begun to stop meanwhile.
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
  ++calls_;
  store_->renewLease(lease_, [this](const absl::StatusOr<Duration> &life) {
    if (life.ok()) {
      setReachable(true, "renewal");
    } else if (life.status().code() == absl::StatusCode::kNotFound) {
      lease_ = 0;
      registered_ = false;
      setReachable(true, "lease ended");
      return registerHost();
    } else {
      setReachable(false, std::string(life.status().message()));
    }
    scheduleRenewal(RenewInterval);
  });
}

void StoreFollower::leave() {
  leaving_ = true;
  // Otherwise the entry is written when its lease is there.
  if (registered_)
    writeEntry();
}

void StoreFollower::withdraw() {
  renewTimer_.cancel();
  if (!registered_)
    return;
  ++calls_;
  store_->remove(
      options_.hostKey, [](const absl::StatusOr<std::int64_t> &result) {
        // The lease ends soon in any case.
        if (!result.ok())
          logEvent(LogLevel::Info, "host_entry_not_removed",
                   {{"error", std::string(result.status().message())}});
      });
}

void StoreFollower::applyFromPeer(bool isWhole, std::int64_t revision,
                                  const std::vector<StoreChange> &changes) {
  if (revision <= replica_.revision())
    return;
  publish(isWhole ? replica_.replace(changes, revision)
                  : replica_.apply(changes, revision));
}

} // namespace auburnspring
