#ifndef AUBURNSPRING_DECISION_STREAM_ORIGINS_H
#define AUBURNSPRING_DECISION_STREAM_ORIGINS_H

#include "auburnspring/decision/stream_origin.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspring {

/// The origins of recent streams, of this host and of its peers. An origin is
/// recorded when a stream is dispatched, so that peers know it before the
/// caller has the first event.
class StreamOrigins {
public:
  /// Beyond this number the origins that expire first are dropped.
  static constexpr std::size_t MaxOrigins = 32768;
  /// Beyond this number the oldest that are to be announced are not.
  static constexpr std::size_t MaxPending = 4096;
  static constexpr Duration MaxRetention = std::chrono::minutes(10);
  /// Streams of requests with longer ids are not recorded.
  static constexpr std::size_t MaxIdBytes = 128;

  /// Who recorded an origin.
  enum class Source { Own, Peer };
  struct Found {
    StreamOrigin origin;
    Source source = Source::Own;
    /// Peer that recorded it; empty for this host and if it is not known.
    std::string recorder;

    /// Nothing that a peer knows can correct it. A host learns of its own
    /// dispatches without messages, of those of its peers it may not.
    bool isSettled() const { return origin.isBound || source == Source::Own; }
  };

  /// Records the origin of a stream of this host, to be announced unless it is
  /// known. True if it differs from one that may have been announced.
  bool record(StreamOrigin origin, TimePoint now);
  /// Forgets what this host recorded of a stream that is not bound: from now on
  /// another host decides where it begins.
  void disown(const std::string &id);
  /// Adds an origin that a peer recorded, unless a newer one is known.
  void learn(StreamOrigin origin, TimePoint now, std::string recorder = "");
  std::optional<Found> find(const std::string &id, TimePoint now) const;

  /// Origins recorded since the last call, with the time that they have left.
  std::vector<StreamOrigin> takePending(TimePoint now);
  /// Origins that this host has recorded or changed since then.
  std::vector<StreamOrigin> ownSince(TimePoint since, TimePoint now) const;

  /// Sets the pools whose streams' origins are to outlast all hosts. Those that
  /// are bound are handed out by takeUnstored().
  void setStoredPools(std::set<std::string> pools, TimePoint now);
  bool mustStore(const StreamOrigin &origin) const {
    return origin.isBound && storedPools_.count(origin.pool) > 0;
  }
  /// Bound origins of these pools that were not handed out before.
  std::vector<StreamOrigin> takeUnstored(TimePoint now);
  /// The origins are in the store.
  void onStored(const std::vector<StreamOrigin> &origins);
  /// Hands out again what is not in the store: another host was to write it.
  void requeueUnstored(TimePoint now);
  /// What was in the store may be gone.
  void onStoreContentLost(TimePoint now);

  void dropExpired(TimePoint now);
  std::size_t size() const { return entries_.size(); }

private:
  struct Entry {
    StreamOrigin origin;
    Source source = Source::Own;
    std::string recorder;
    TimePoint recordedAt;
    TimePoint expiresAt;
    bool isStored = false;
  };

  void addPending(const std::string &id);
  void insert(StreamOrigin origin, Source source, std::string recorder,
              TimePoint now);
  void erase(const std::string &id);

  std::unordered_map<std::string, Entry> entries_;
  std::set<std::pair<TimePoint, std::string>> byExpiry_;
  std::deque<std::string> pending_;
  std::set<std::string> storedPools_;
  std::deque<std::string> unstored_;
};

} // namespace auburnspring

#endif
