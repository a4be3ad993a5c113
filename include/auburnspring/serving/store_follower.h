#ifndef AUBURNSPRING_SERVING_STORE_FOLLOWER_H
#define AUBURNSPRING_SERVING_STORE_FOLLOWER_H

#include "auburnspring/decision/store_freshness.h"
#include "auburnspring/decision/store_replica.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/metadata_store.h"

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// Keeps this host's replica of the store up to date with one long-poll watch,
/// and this host's own entry alive with a lease. The lease renewals also show
/// whether the store is reachable. When the store has been restored from a
/// copy, it reads everything again and writes the entry again.
class StoreFollower {
public:
  struct Options {
    std::string hostKey;
    /// Value of the host's entry.
    std::string hostValue;
    /// Value of the entry while the host stops.
    std::string leavingValue;
    std::uint64_t seed = 0;
    /// Items whose keys have this prefix are not part of the replica.
    std::string ignoredPrefix;
  };

  struct Events {
    /// Changes that the replica did not have yet, in order of arrival.
    std::function<void(const StoreUpdate &)> onUpdate;
    std::function<void(bool reachable, std::string_view reason)> onReachable;
    /// The store has been restored from a copy. The update that the copy makes
    /// necessary follows.
    std::function<void()> onRestored;
    /// The replica was replaced as a whole: changes in between that were undone
    /// again are unknown.
    std::function<void()> onHistoryGap;
  };

  /// True if the replica has everything that the store had when it was asked.
  using ConfirmHandler = std::function<void(bool isConfirmed)>;

  StoreFollower(asio::io_context &io, MetadataStore *store, Options options,
                Events events);

  void start();
  /// Marks the entry as leaving, so that peers send this host no new work. The
  /// entry remains, since hosts that start later may still have to exchange
  /// results with this one.
  void announceLeaving();
  /// Removes the entry.
  void deregister();

  /// Applies changes from the replica of a peer; `isSnapshot` if `changes` is a
  /// full snapshot.
  void applyFromPeer(bool isSnapshot, bool removalsAreConfirmed,
                     const StoreVersion &version,
                     const std::vector<StoreChange> &changes);
  /// Handles the version of a peer's replica and the age of its confirmation.
  void onPeerVersion(const StoreVersion &version, Duration age);
  /// Asks the store whether the replica is current, if that was not confirmed
  /// for too long. `rank` is the number of hosts that are to ask before.
  void confirmIfStale(std::size_t rank);
  /// Asks the store for everything that the replica lacks now, and applies it.
  /// One call serves all who ask at the same time.
  void confirm(ConfirmHandler handler);

  /// Sets whether this host watches the store or receives changes from peers.
  void setWatching(bool watching);
  bool isWatching() const { return watching_; }

  /// Number of hosts that share the store.
  void setHostCount(std::size_t hostCount) { hostCount_ = hostCount; }

  const StoreReplica &replica() const { return replica_; }
  /// Time since the replica was last confirmed to be current.
  Duration versionAge() const;
  bool isReachable() const { return reachable_; }
  std::uint64_t storeCalls() const { return storeCalls_; }
  /// How often the store has been restored from a copy.
  std::uint64_t restoreCount() const { return restoreCount_; }

private:
  void read();
  void watch();
  void scheduleRead(Duration after);
  void renew();
  void writeEntry();
  void registerHost();
  void scheduleRenewal(Duration after);
  void setReachable(bool reachable, std::string_view reason);
  void restartWatch();
  void onRead(const absl::StatusOr<StoreRead> &result);
  void onWatch(const absl::StatusOr<StoreRead> &result);
  /// Renews the lease at once, to find out whether the store can be reached.
  void checkReachable();
  StoreUpdate applyWatch(const StoreRead &read);
  /// Calls the store for those who wait for a confirmation.
  void startConfirmation();
  /// The items that are part of the replica.
  std::vector<StoreChange>
  replicated(const std::vector<StoreChange> &changes) const;
  /// Revision from which the next watch goes on.
  std::int64_t watchedRevision() const;
  void onEra(std::int64_t era, std::string_view source);
  bool hasCurrentSnapshot() const;
  Duration watchInterval() const;
  void publish(const StoreUpdate &update);
  Duration jittered(Duration duration);

  MetadataStore *store_;
  Options options_;
  Events events_;
  StoreReplica replica_;
  StoreFreshness freshness_;
  /// Newest era that the store or a peer has stated.
  std::optional<std::int64_t> era_;
  std::uint64_t restoreCount_ = 0;
  http::Timer readTimer_;
  http::Timer renewTimer_;
  std::mt19937_64 random_;
  std::int64_t lease_ = 0;
  /// Number of the current registration. Responses to calls of older ones are
  /// ignored: their lease is gone.
  std::uint64_t registration_ = 0;
  bool registered_ = false;
  bool renewalPending_ = false;
  bool reachable_ = false;
  bool reachabilityReported_ = false;
  TimePoint startedAt_;
  TimePoint watchStartedAt_;
  bool watching_ = true;
  /// Number of the latest watch. Responses to older, abandoned watches are
  /// still applied.
  std::uint64_t watchNumber_ = 0;
  /// Number of the latest full read; the results of older ones are ignored.
  std::uint64_t readNumber_ = 0;
  bool watchPending_ = false;
  /// State up to which the latest watches have brought ignored items alone.
  /// The replica's version stays as it was, so that peers fetch nothing.
  StoreVersion ignoredUpTo_;
  bool lastWatchWasIgnored_ = false;
  bool leaving_ = false;
  std::int64_t failures_ = 0;
  /// Those who wait for the next confirmation; one call is in progress at a
  /// time, and those who asked after it was sent wait for another.
  std::vector<ConfirmHandler> confirmations_;
  bool confirming_ = false;
  http::Timer confirmTimer_;
  std::uint64_t storeCalls_ = 0;
  std::size_t hostCount_ = 1;
  /// Of the calls of the store, which may outlive this object.
  HandlerScope handlers_;
};

} // namespace auburnspring

#endif
