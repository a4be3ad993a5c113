#ifndef AUBURNSPRING_SERVING_STORE_FOLLOWER_H
#define AUBURNSPRING_SERVING_STORE_FOLLOWER_H

#include "auburnspring/decision/store_replica.h"
#include "auburnspring/serving/metadata_store.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace auburnspring {

/// Keeps this host's copy of the store up to date with one long watch, and this
/// host's own entry alive with a lease, whose renewals also tell whether the
/// store answers.
class StoreFollower {
public:
  struct Options {
    std::string hostKey;
    /// What the host's entry says to its peers, and what it says while the
    /// host stops.
    std::string hostValue;
    std::string leavingValue;
    std::uint64_t seed = 0;
  };

  struct Events {
    /// Changes that are news, in order of arrival.
    std::function<void(const std::vector<StoreChange> &)> onChanges;
    std::function<void(bool reachable, std::string_view why)> onReachable;
  };

  StoreFollower(asio::io_context &io, MetadataStore *store, Options options,
                Events events);

  void start();
  /// Tells peers by the entry that they must not count on this host. Those that
  /// start from now on still learn where it is, since it may owe and be owed.
  void leave();
  /// Takes the entry back.
  void withdraw();

  /// Brings changes of a peer in.
  void applyFromPeer(bool isWhole, std::int64_t revision,
                     const std::vector<StoreChange> &changes);

  /// Whether this host watches the store or hears of changes from peers.
  void setWatching(bool watching);
  bool isWatching() const { return watching_; }

  /// How many hosts ask the store.
  void setHostCount(std::size_t hosts) { hosts_ = hosts; }

  const StoreReplica &replica() const { return replica_; }
  bool isReachable() const { return reachable_; }
  std::uint64_t callsMade() const { return calls_; }

private:
  void read();
  void watch();
  void scheduleRead(Duration after);
  void renew();
  void writeEntry();
  void registerHost();
  void scheduleRenewal(Duration after);
  void setReachable(bool reachable, std::string_view why);
  void restartWatch();
  void onWatch(const absl::StatusOr<StoreRead> &result);
  void publish(const std::vector<StoreChange> &news);
  Duration jittered(Duration span);

  MetadataStore *store_;
  Options options_;
  Events events_;
  StoreReplica replica_;
  asio::steady_timer readTimer_;
  asio::steady_timer renewTimer_;
  std::mt19937_64 random_;
  std::int64_t lease_ = 0;
  bool registered_ = false;
  bool reachable_ = false;
  bool hasTold_ = false;
  TimePoint watchedAt_;
  bool watching_ = true;
  /// Number of the watch that the next one follows; an older one has been
  /// given up, and what it still tells is taken.
  std::uint64_t watchNumber_ = 0;
  bool watchPending_ = false;
  bool leaving_ = false;
  bool hasRead_ = false;
  std::int64_t failures_ = 0;
  std::uint64_t calls_ = 0;
  std::size_t hosts_ = 1;
};

} // namespace auburnspring

#endif
