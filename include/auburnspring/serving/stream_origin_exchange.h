#ifndef AUBURNSPRING_SERVING_STREAM_ORIGIN_EXCHANGE_H
#define AUBURNSPRING_SERVING_STREAM_ORIGIN_EXCHANGE_H

#include "auburnspring/decision/stream_origins.h"
#include "auburnspring/serving/peer_network.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

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

  /// Receives the origin, or nothing if no peer knows it.
  using Handler = std::function<void(std::optional<StreamOrigin>)>;

  StreamOriginExchange(asio::io_context &io, PeerNetwork *peers)
      : io_(io), peers_(peers) {}

  /// Records the origin of a stream of this host. What corrects an origin that
  /// peers may know is sent at once.
  void record(StreamOrigin origin);
  std::optional<StreamOrigins::Found> find(const std::string &id) const;
  /// Asks the peers that may know the stream. The handler may be called before
  /// this returns.
  void query(const std::string &id, Handler handler);

  void onOrigins(const std::vector<StreamOrigin> &origins);
  void onQuery(const std::string &from, const StreamOriginQuery &query);
  void onReply(const std::string &from, const StreamOriginReply &reply);

  /// Origins for the next heartbeat.
  std::vector<StreamOrigin> takeForHeartbeat();
  /// Sends what is to be announced outside of heartbeats.
  void tick();
  /// Sends all that is to be announced.
  void announce();

  std::size_t size() const { return origins_.size(); }

private:
  struct Query {
    std::string id;
    Handler handler;
    /// Peers that have not replied.
    std::set<std::string> missing;
    int rounds = 0;
    std::unique_ptr<asio::steady_timer> timer;
  };

  bool heartbeatsReachAll() const;
  std::vector<std::string> peersToAsk(const std::string &id) const;
  /// Asks those that have not replied, unless the time is over.
  void startRound(std::uint64_t number);
  void finishQuery(std::uint64_t number, std::optional<StreamOrigin> origin);

  asio::io_context &io_;
  PeerNetwork *peers_;
  StreamOrigins origins_;
  std::map<std::uint64_t, Query> queries_;
  std::uint64_t nextQuery_ = 1;
};

} // namespace auburnspring

#endif
