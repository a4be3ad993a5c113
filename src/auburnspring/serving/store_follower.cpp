#include "auburnspring/serving/store_follower.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/decision/store_watcher_selector.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnspring {

namespace {

/// One watch covers the whole store: keys that are not needed are small and
/// change rarely.
constexpr const char *AllKeysPrefix = "";
/// A watch without changes ends after this time. StoreFreshness notices earlier
/// if it was lost.
constexpr Duration WatchTimeout = std::chrono::seconds(15);
/// Least interval between watches right after the start, when this host does
/// not know yet how large the fleet is, and how long that applies.
/// Also after a watch that brought ignored items alone: more of them follow.
constexpr Duration StartWatchInterval = std::chrono::milliseconds(500);
constexpr Duration StartPeriod = std::chrono::milliseconds(1500);
/// Peers find out by heartbeats and probes that a host has ended; its lease
/// only ends its entry.
constexpr Duration LeaseTtl = std::chrono::seconds(10);
constexpr Duration RenewInterval = std::chrono::milliseconds(4500);
/// Delay before a failed registration or renewal is repeated: several attempts
/// fit into the TTL, and peers can't send to a host that isn't registered.
constexpr Duration RetryDelay = std::chrono::milliseconds(800);
/// If nothing has confirmed the replica for this long, the store was away, and
/// entries that are missing now may have expired meanwhile.
constexpr Duration MaxUnconfirmedTime = std::chrono::milliseconds(2500);
/// Least time from one confirmation on demand to the next.
constexpr Duration ConfirmInterval = std::chrono::milliseconds(20);
constexpr Duration MinRetryDelay = std::chrono::milliseconds(150);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(1200);

} // namespace

StoreFollower::StoreFollower(asio::io_context &io, MetadataStore *store,
                             Options options, Events events)
    : store_(store), options_(std::move(options)), events_(std::move(events)),
      readTimer_(io), renewTimer_(io), random_(options_.seed),
      confirmTimer_(io) {
  store_->setEraHandler([this](std::int64_t era) { onEra(era, "store"); });
}

Duration StoreFollower::versionAge() const {
  return freshness_.age(steadyNow());
}

bool StoreFollower::hasCurrentSnapshot() const {
  return replica_.version().revision > 0 &&
         replica_.version().era == era_.value_or(0);
}

void StoreFollower::start() {
  startedAt_ = steadyNow();
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
            {"era", static_cast<long>(replica_.version().era)},
            {"revision", static_cast<long>(replica_.version().revision)}});
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
            {"revision", static_cast<long>(replica_.version().revision)}});
  if (watching && replica_.version().revision > 0 && !watchPending_)
    scheduleRead(Duration(0));
}

void StoreFollower::restartWatch() {
  // A watch from before an outage may never complete, even if the store is
  // reachable again.
  if (hasCurrentSnapshot() && watching_ && watchPending_)
    scheduleRead(Duration(0));
}

void StoreFollower::publish(const StoreUpdate &update) {
  if (!update.changes.empty())
    events_.onUpdate(update);
}

void StoreFollower::onEra(std::int64_t era, std::string_view source) {
  if (era_ && era <= *era_)
    return;
  const std::optional<std::int64_t> before = std::exchange(era_, era);
  if (!before)
    return;
  ++restoreCount_;
  logEvent(LogLevel::Warning, "store_restored",
           {{"from_era", static_cast<long>(*before)},
            {"era", static_cast<long>(era)},
            {"revision", static_cast<long>(replica_.version().revision)},
            {"source", std::string(source)}});
  events_.onRestored();
  // The copy may lack this host's lease and entry.
  registered_ = false;
  lease_ = 0;
  renewTimer_.cancel();
  registerHost();
  if (!watching_ || hasCurrentSnapshot())
    return;
  // The pending watch waits for a revision that the store may never reach.
  ++watchNumber_;
  watchPending_ = false;
  read();
}

void StoreFollower::read() {
  ++storeCalls_;
  // The watch that follows brings a first read up to date, however old it is.
  const bool isFirst = replica_.version().revision == 0;
  store_->readAll(AllKeysPrefix,
                  isFirst ? MetadataStore::ReadMode::MayBeStale
                          : MetadataStore::ReadMode::Current,
                  handlers_.bind([this, number = ++readNumber_](
                                     const absl::StatusOr<StoreRead> &result) {
                    if (number == readNumber_)
                      onRead(result);
                  }));
}

void StoreFollower::onRead(const absl::StatusOr<StoreRead> &result) {
  if (!result.ok()) {
    setReachable(false, std::string(result.status().message()));
    const Duration backoff =
        MinRetryDelay * (1 << std::min<std::int64_t>(failures_, 4));
    return scheduleRead(jittered(std::min(MaxRetryDelay, backoff)));
  }
  setReachable(true, "read");
  events_.onHistoryGap();
  publish(replica_.replace(replicated(result->changes), result->version));
  freshness_.onConfirmed(steadyNow());
  if (watching_)
    watch();
}

void StoreFollower::scheduleRead(Duration after) {
  readTimer_.startAfter(after, [this] {
    if (!hasCurrentSnapshot())
      read();
    else if (watching_)
      watch();
  });
}

void StoreFollower::watch() {
  ++storeCalls_;
  watchStartedAt_ = steadyNow();
  watchPending_ = true;
  store_->watch(AllKeysPrefix, watchedRevision(), WatchTimeout,
                handlers_.bind([this, number = ++watchNumber_](
                                   const absl::StatusOr<StoreRead> &result) {
                  if (result.ok())
                    publish(applyWatch(*result));
                  if (number == watchNumber_)
                    onWatch(result);
                }));
}

StoreUpdate StoreFollower::applyWatch(const StoreRead &read) {
  if (freshness_.age(steadyNow()) > MaxUnconfirmedTime && reachable_) {
    setReachable(false, "unconfirmed");
    setReachable(true, "watch");
  }
  if (read.version.era == replica_.version().era)
    freshness_.onConfirmed(steadyNow());
  const std::vector<StoreChange> changes = replicated(read.changes);
  lastWatchWasIgnored_ = changes.empty() && !read.changes.empty();
  if (!lastWatchWasIgnored_)
    return replica_.apply(changes, read.version);
  ignoredUpTo_ = std::max(ignoredUpTo_, read.version);
  return {};
}

std::vector<StoreChange>
StoreFollower::replicated(const std::vector<StoreChange> &changes) const {
  if (options_.ignoredPrefix.empty())
    return changes;
  std::vector<StoreChange> kept;
  std::copy_if(changes.begin(), changes.end(), std::back_inserter(kept),
               [&](const StoreChange &change) {
                 return !absl::StartsWith(change.key, options_.ignoredPrefix);
               });
  return kept;
}

std::int64_t StoreFollower::watchedRevision() const {
  const StoreVersion &version = replica_.version();
  return ignoredUpTo_.era == version.era
             ? std::max(version.revision, ignoredUpTo_.revision)
             : version.revision;
}

void StoreFollower::checkReachable() {
  // The renewal has a longer timeout, which also a slow store meets.
  if (!reachable_ || lease_ == 0 || renewalPending_)
    return;
  renewTimer_.cancel();
  renew();
}

void StoreFollower::confirmIfStale(std::size_t rank) {
  // A renewal in progress shows as well whether the store responds.
  if (!watching_ || !watchPending_ || !reachable_ || renewalPending_ ||
      !freshness_.mustAsk(rank, steadyNow()))
    return;
  ++storeCalls_;
  store_->poll(
      AllKeysPrefix, watchedRevision(),
      handlers_.bind([this](const absl::StatusOr<StoreRead> &result) {
        if (!result.ok())
          return checkReachable();
        const StoreUpdate update = applyWatch(*result);
        if (update.changes.empty())
          return;
        logEvent(
            LogLevel::Warning, "store_watch_lost",
            {{"revision", static_cast<long>(replica_.version().revision)},
             {"changes", static_cast<unsigned long>(update.changes.size())}});
        publish(update);
        restartWatch();
      }));
}

void StoreFollower::confirm(ConfirmHandler handler) {
  confirmations_.push_back(std::move(handler));
  if (!confirming_)
    startConfirmation();
}

void StoreFollower::startConfirmation() {
  confirming_ = true;
  ++storeCalls_;
  store_->poll(
      AllKeysPrefix, watchedRevision(),
      handlers_.bind([this, waiting = std::exchange(confirmations_, {})](
                         const absl::StatusOr<StoreRead> &result) {
        if (result.ok())
          publish(applyWatch(*result));
        const bool isConfirmed =
            result.ok() && result->version.era == replica_.version().era;
        for (const ConfirmHandler &handler : waiting)
          handler(isConfirmed);
        confirmTimer_.startAfter(ConfirmInterval, [this] {
          confirming_ = false;
          if (!confirmations_.empty())
            startConfirmation();
        });
      }));
}

Duration StoreFollower::watchInterval() const {
  const Duration interval = StoreWatcherSelector::watchInterval(hostCount_);
  return steadyNow() < startedAt_ + StartPeriod || lastWatchWasIgnored_
             ? std::max(StartWatchInterval, interval)
             : interval;
}

void StoreFollower::onWatch(const absl::StatusOr<StoreRead> &result) {
  watchPending_ = false;
  if (result.ok()) {
    setReachable(true, "watch");
    const Duration elapsed = steadyNow() - watchStartedAt_;
    return scheduleRead(std::max(Duration(0), watchInterval() - elapsed));
  }
  if (result.status().code() == absl::StatusCode::kOutOfRange) {
    logEvent(LogLevel::Info, "store_history_gone",
             {{"revision", static_cast<long>(replica_.version().revision)}});
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
  const auto onLease = [this, registration = ++registration_](
                           const absl::StatusOr<std::int64_t> &lease) {
    if (registration != registration_)
      return;
    if (!lease.ok()) {
      setReachable(false, std::string(lease.status().message()));
      return scheduleRenewal(jittered(RetryDelay));
    }
    setReachable(true, "lease");
    lease_ = *lease;
    writeEntry();
  };
  store_->createLease(LeaseTtl, handlers_.bind(onLease));
}

void StoreFollower::writeEntry() {
  ++storeCalls_;
  store_->put(
      options_.hostKey, leaving_ ? options_.leavingValue : options_.hostValue,
      lease_,
      handlers_.bind([this, leaving = leaving_, registration = registration_](
                         const absl::StatusOr<std::int64_t> &written) {
        if (registration != registration_)
          return;
        registered_ = written.ok();
        if (!written.ok()) {
          lease_ = 0;
          return scheduleRenewal(jittered(RetryDelay));
        }
        // The host may have begun to stop in the meantime.
        if (leaving != leaving_)
          return writeEntry();
        scheduleRenewal(jittered(RenewInterval));
      }));
}

void StoreFollower::scheduleRenewal(Duration after) {
  renewTimer_.startAfter(after,
                         [this] { lease_ == 0 ? registerHost() : renew(); });
}

void StoreFollower::renew() {
  ++storeCalls_;
  renewalPending_ = true;
  const auto onRenewal = [this, registration = registration_](
                             const absl::StatusOr<Duration> &ttl) {
    renewalPending_ = false;
    if (registration != registration_)
      return;
    if (ttl.ok()) {
      setReachable(true, "renewal");
    } else if (ttl.status().code() == absl::StatusCode::kNotFound) {
      lease_ = 0;
      registered_ = false;
      setReachable(true, "lease ended");
      return registerHost();
    } else {
      setReachable(false, std::string(ttl.status().message()));
      return scheduleRenewal(jittered(RetryDelay));
    }
    scheduleRenewal(RenewInterval);
  };
  store_->renewLease(lease_, handlers_.bind(onRenewal));
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

void StoreFollower::applyFromPeer(bool isSnapshot, bool removalsAreConfirmed,
                                  const StoreVersion &version,
                                  const std::vector<StoreChange> &changes) {
  if (version <= replica_.version())
    return;
  if (isSnapshot)
    events_.onHistoryGap();
  StoreUpdate update = isSnapshot ? replica_.replace(changes, version)
                                  : replica_.apply(changes, version);
  update.removalsAreConfirmed = removalsAreConfirmed;
  onEra(version.era, "peer");
  publish(update);
  // A watch of this host should have delivered them before.
  restartWatch();
}

void StoreFollower::onPeerVersion(const StoreVersion &version, Duration age) {
  freshness_.onPeerVersion(version, age, replica_.version(), steadyNow());
}

} // namespace auburnspring
