#ifndef AUBURNSPRING_SERVING_STREAM_ORIGIN_EXCHANGE_H
#define AUBURNSPRING_SERVING_STREAM_ORIGIN_EXCHANGE_H

#include "auburnspring/decision/stream_origin_check.h"
#include "auburnspring/decision/stream_origin_holders.h"
#include "auburnspring/decision/stream_origins.h"
#include "auburnspring/http/timer.h"
#include "auburnspring/serving/peer_network.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// Shares with the peers where streams began. In a fleet whose heartbeats reach
/// all hosts they carry it; in a larger one a few hosts hold each origin.
class StreamOriginExchange {
public:
  /// How long the peers' replies are awaited, and how often those that have not
  /// replied are asked in that time: messages get lost while hosts start or
  /// connections break.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(150);
  static constexpr int MaxRounds = 3;

  /// Receives the origin, or nothing if no peer knows it for certain.
  using Handler = std::function<void(std::optional<StreamOrigin>)>;
  struct Counters {
    std::uint64_t queries = 0;
    /// Queries that began from an origin which was not settled.
    std::uint64_t checks = 0;
    /// Queries that have ended without an origin.
    std::uint64_t unanswered = 0;
  };

  StreamOriginExchange(asio::io_context &io, PeerNetwork *peers)
      : io_(io), peers_(peers) {}

  /// Records the origin of a stream of this host. What corrects an origin that
  /// peers may know is sent at once, and to the host that writes it to the
  /// store that it is bound.
  void record(StreamOrigin origin);
  /// Another host is to decide where the stream begins.
  void disown(const std::string &id) { origins_.disown(id); }
  std::optional<StreamOrigins::Found> find(const std::string &id) const;
  /// What is known of the origin is not settled, and the host that recorded it
  /// is still listed, so that it may yet reply.
  bool maySettle(const std::string &id) const;
  /// Asks the peers that may know the stream. The handler may be called before
  /// this returns.
  void query(const std::string &id, Handler handler);

  /// Origins that the peer has recorded, or that come from the store if `from`
  /// is empty.
  void onOrigins(const std::string &from,
                 const std::vector<StreamOrigin> &origins);
  void onQuery(const std::string &from, const StreamOriginQuery &query);
  void onReply(const std::string &from, const StreamOriginReply &reply);

  /// Sends again what this host has recorded since then and the peer is to
  /// know.
  void repeat(const std::string &host, TimePoint since);

  /// Origins for the next heartbeat.
  std::vector<StreamOrigin> takeForHeartbeat();
  /// Sends what is to be announced outside of heartbeats.
  void tick();
  /// Sends all that is to be announced.
  void announce();

  /// Sets the pools whose streams' origins are to be in the store.
  void setStoredPools(std::set<std::string> pools);
  /// Whether the host reaches the store and so may write there for others.
  void setStoreReachable(const std::string &host, bool isReachable);
  /// Bound origins that this host is to write to the store now.
  std::vector<StreamOrigin> takeForStore();
  void onStored(const std::vector<StreamOrigin> &origins) {
    origins_.onStored(origins);
  }
  void onStoreContentLost();
  /// Each heartbeat reaches all peers.
  bool heartbeatsReachAll() const;

  const StreamOrigins &origins() const { return origins_; }
  const Counters &counters() const { return counters_; }
  std::size_t size() const { return origins_.size(); }

private:
  struct Query {
    Query(asio::io_context &io, StreamOriginCheck initialCheck)
        : check(std::move(initialCheck)), timer(io) {}
    std::string id;
    Handler handler;
    StreamOriginCheck check;
    int rounds = 0;
    http::Timer timer;
  };

  /// Chooses anew which hosts write to the store.
  void updateWriters();
  /// The host that writes the origin to the store; empty if there is none.
  std::string writerOf(const std::string &id) const;
  std::vector<std::string> peersToAsk(const std::string &id) const;
  /// Asks those that have not replied, unless the time is over.
  void startRound(std::uint64_t number);
  void finishQuery(std::uint64_t number);

  asio::io_context &io_;
  PeerNetwork *peers_;
  StreamOrigins origins_;
  std::map<std::uint64_t, Query> queries_;
  std::uint64_t nextQuery_ = 1;
  Counters counters_;
  bool hasStoredPools_ = false;
  std::set<std::string> withoutStore_;
  std::optional<StreamOriginHolders> writers_;
  TimePoint writersChosenAt_;
};

} // namespace auburnspring

#endif
