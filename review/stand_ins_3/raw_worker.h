#ifndef AUBURNSPRING_REVIEW_STAND_INS_3_RAW_WORKER_H
#define AUBURNSPRING_REVIEW_STAND_INS_3_RAW_WORKER_H

#include "record.h"

#include "auburnspring/http/timer.h"
#include "platform/testing/fake_store_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/streambuf.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace auburnspring::review {

/// A model worker whose streams come with neither a length nor chunks and end
/// with their channel. A prompt part may crash it when it has begun to write:
/// its sockets close like those of a process that ends, and it is back after
/// some seconds as a new instance.
class RawWorker {
public:
  struct Options {
    std::string name;
    std::string service;
    std::string zone;
    int slots = 64;
    /// Streams come in chunks instead.
    bool usesChunks = false;
    /// Part that crashes it; empty if none does.
    std::string crashingPart;
    /// The event within which the part crashes it.
    int crashAtEvent = 1;
    Duration downTime = std::chrono::seconds(2);
    int events = 5;
    Duration firstToken = std::chrono::milliseconds(60);
    Duration eventPause = std::chrono::milliseconds(40);
  };
  struct Events {
    std::function<void(const std::string &id, const std::string &parts)>
        onArrival;
    std::function<void()> onCrash;
  };

  RawWorker(asio::io_context &io, Record *record,
            platform::FakeStoreServer *store, Options options, Events events);

  void start();

private:
  struct Channel {
    explicit Channel(asio::ip::tcp::socket peer)
        : socket(std::move(peer)), timer(socket.get_executor()) {}
    asio::ip::tcp::socket socket;
    http::Timer timer;
    asio::streambuf input;
    std::map<std::string, std::string> headers;
    std::string output;
    std::array<char, 256> rest{};
    /// Number of the last event that was written.
    int events = 0;
  };
  using ChannelPtr = std::shared_ptr<Channel>;

  void beat();
  void accept();
  void readHead(const ChannelPtr &channel);
  void readBody(const ChannelPtr &channel);
  void onRequest(const ChannelPtr &channel);
  /// Ends the run when the peer closes the channel.
  void watch(const ChannelPtr &channel);
  void begin(const ChannelPtr &channel);
  void writeEvent(const ChannelPtr &channel);
  void write(const ChannelPtr &channel, const std::string &bytes,
             std::function<void()> next);
  void close(const ChannelPtr &channel);
  void crash();
  bool hasCrashingPart(const ChannelPtr &channel) const;
  std::string framed(const std::string &bytes) const;

  asio::io_context &io_;
  Record *record_;
  platform::FakeStoreServer *store_;
  Options options_;
  Events events_;
  asio::ip::tcp::acceptor acceptor_;
  http::Timer beatTimer_;
  http::Timer downTimer_;
  http::Timer lapseTimer_;
  std::set<ChannelPtr> channels_;
  std::string id_;
  int starts_ = 0;
  bool isDown_ = true;
  std::int64_t born_ = 0;
  std::int64_t sequence_ = 0;
};

} // namespace auburnspring::review

#endif
