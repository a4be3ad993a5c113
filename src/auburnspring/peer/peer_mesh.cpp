#include "auburnspring/peer/peer_mesh.h"

#include "auburnspring/base/log.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <map>
#include <thread>

namespace auburnspring {

namespace {

using WsServer = websocketpp::server<websocketpp::config::asio>;
using WsClient = websocketpp::client<websocketpp::config::asio_client>;
using Clock = std::chrono::steady_clock;

constexpr std::size_t MaxWaiting = 64;
constexpr std::size_t MaxBufferedBytes = 8 << 20;
constexpr long HandshakeTimeoutMillis = 2000;

} // namespace

// All state is used on the io thread alone; other threads post to it.
class PeerMesh::Impl {
public:
  Impl(Options options, Receive receive)
      : options_(std::move(options)), receive_(std::move(receive)) {}

  absl::Status start();
  void stop();
  void send(const std::string &host, const Endpoint &endpoint,
            PeerMessage message);
  Counters counters() const;

private:
  struct Link {
    WsClient::connection_ptr connection;
    bool open = false;
    Clock::time_point since;
    Clock::time_point lastUsed;
    std::vector<std::string> waiting;
  };

  struct Seen {
    std::uint64_t incarnation = 0;
    std::uint64_t count = 0;
  };

  void sendNow(const std::string &host, const Endpoint &endpoint,
               const std::string &bytes);
  Link *openLink(const std::string &host, const Endpoint &endpoint);
  void closeLink(const std::string &host);
  void limitSilence(const WsClient::connection_ptr &connection);
  void dropOldest();
  void onOpen(const std::string &host, const WsClient::connection_ptr &link);
  void onEnd(const std::string &host, const WsClient::connection_ptr &link);
  void write(Link *link, const std::string &bytes);
  void onBytes(const std::string &bytes);
  bool isReplay(const PeerEnvelope &envelope);

  Options options_;
  Receive receive_;
  asio::io_service io_;
  WsServer server_;
  WsClient client_;
  std::thread thread_;
  std::map<std::string, Link> links_;
  std::map<std::string, Seen> seen_;
  std::atomic<std::uint64_t> count_{0};
  std::atomic<std::uint64_t> messagesSent_{0};
  std::atomic<std::uint64_t> bytesSent_{0};
  std::atomic<std::uint64_t> messagesReceived_{0};
  std::atomic<std::uint64_t> bytesReceived_{0};
  std::atomic<std::uint64_t> refused_{0};
};

absl::Status PeerMesh::Impl::start() {
  websocketpp::lib::error_code error;
  server_.clear_access_channels(websocketpp::log::alevel::all);
  server_.clear_error_channels(websocketpp::log::elevel::all);
  client_.clear_access_channels(websocketpp::log::alevel::all);
  client_.clear_error_channels(websocketpp::log::elevel::all);
  server_.init_asio(&io_, error);
  if (!error)
    client_.init_asio(&io_, error);
  server_.set_reuse_addr(true);
  server_.set_max_message_size(MaxEnvelopeBytes);
  client_.set_open_handshake_timeout(HandshakeTimeoutMillis);
  client_.set_close_handshake_timeout(HandshakeTimeoutMillis);
  server_.set_open_handshake_timeout(HandshakeTimeoutMillis);
  server_.set_close_handshake_timeout(HandshakeTimeoutMillis);
  server_.set_message_handler([this](const websocketpp::connection_hdl &,
                                     const WsServer::message_ptr &message) {
    onBytes(message->get_payload());
  });
  if (!error)
    server_.listen(asio::ip::tcp::endpoint(
                       asio::ip::address::from_string(options_.listen.ip),
                       options_.listen.port),
                   error);
  if (!error)
    server_.start_accept(error);
  if (error)
    return absl::UnavailableError("can't listen for peers on " +
                                  toString(options_.listen) + ": " +
                                  error.message());
  thread_ = std::thread([this] { io_.run(); });
  return absl::OkStatus();
}

void PeerMesh::Impl::stop() {
  if (!thread_.joinable())
    return;
  io_.stop();
  thread_.join();
}

void PeerMesh::Impl::send(const std::string &host, const Endpoint &endpoint,
                          PeerMessage message) {
  PeerEnvelope envelope;
  envelope.from = options_.host;
  envelope.to = host;
  envelope.incarnation = options_.incarnation;
  envelope.message = std::move(message);
  // Counted on the io thread, so that the order of counts is that of writes.
  io_.post([this, envelope = std::move(envelope), endpoint]() mutable {
    envelope.count = ++count_;
    const std::string bytes = encodeEnvelope(envelope, options_.peerKey);
    if (bytes.size() <= MaxEnvelopeBytes)
      sendNow(envelope.to, endpoint, bytes);
  });
}

void PeerMesh::Impl::sendNow(const std::string &host, const Endpoint &endpoint,
                             const std::string &bytes) {
  const auto found = links_.find(host);
  const bool old = found != links_.end() && Clock::now() - found->second.since >
                                                options_.maxConnectionAge;
  if (old)
    closeLink(host);
  Link *link =
      found != links_.end() && !old ? &found->second : openLink(host, endpoint);
  if (link == nullptr)
    return;
  link->lastUsed = Clock::now();
  if (link->open)
    return write(link, bytes);
  if (link->waiting.size() < MaxWaiting)
    link->waiting.push_back(bytes);
}

PeerMesh::Impl::Link *PeerMesh::Impl::openLink(const std::string &host,
                                               const Endpoint &endpoint) {
  if (links_.size() >= options_.maxConnections)
    dropOldest();
  websocketpp::lib::error_code error;
  const WsClient::connection_ptr connection =
      client_.get_connection("ws://" + toString(endpoint) + "/", error);
  if (error)
    return nullptr;
  connection->set_open_handler(
      [this, host, connection](const websocketpp::connection_hdl &) {
        onOpen(host, connection);
      });
  const auto ended = [this, host,
                      connection](const websocketpp::connection_hdl &) {
    onEnd(host, connection);
  };
  connection->set_tcp_post_init_handler(
      [this, connection](const websocketpp::connection_hdl &) {
        limitSilence(connection);
      });
  connection->set_fail_handler(ended);
  connection->set_close_handler(ended);
  Link &link = links_[host];
  link.connection = connection;
  link.since = Clock::now();
  client_.connect(connection);
  return &link;
}

void PeerMesh::Impl::limitSilence(const WsClient::connection_ptr &connection) {
  if (options_.unacknowledgedLimit == Duration(0))
    return;
  const int millis = static_cast<int>(toMillis(options_.unacknowledgedLimit));
  const int handle = connection->get_raw_socket().native_handle();
  if (setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
                 sizeof(millis)) != 0)
    logEvent(LogLevel::Debug, "peer_socket_option_refused");
}

void PeerMesh::Impl::closeLink(const std::string &host) {
  const auto found = links_.find(host);
  const WsClient::connection_ptr connection = found->second.connection;
  links_.erase(found);
  websocketpp::lib::error_code ignored;
  connection->close(websocketpp::close::status::normal, "", ignored);
  // The handlers hold the connection itself; let it go.
  connection->set_open_handler(nullptr);
  connection->set_tcp_post_init_handler(nullptr);
  connection->set_fail_handler(nullptr);
  connection->set_close_handler(nullptr);
}

void PeerMesh::Impl::dropOldest() {
  auto oldest = links_.begin();
  for (auto it = links_.begin(); it != links_.end(); ++it)
    if (it->second.lastUsed < oldest->second.lastUsed)
      oldest = it;
  const std::string host = oldest->first;
  closeLink(host);
}

void PeerMesh::Impl::onOpen(const std::string &host,
                            const WsClient::connection_ptr &connection) {
  const auto found = links_.find(host);
  if (found == links_.end() || found->second.connection != connection)
    return;
  found->second.open = true;
  std::vector<std::string> waiting = std::move(found->second.waiting);
  for (const std::string &bytes : waiting)
    write(&found->second, bytes);
}

void PeerMesh::Impl::onEnd(const std::string &host,
                           const WsClient::connection_ptr &connection) {
  const auto found = links_.find(host);
  if (found != links_.end() && found->second.connection == connection) {
    links_.erase(found);
    if (options_.onLost)
      options_.onLost(host);
  }
  // Posted, since the handler that runs now holds the connection.
  io_.post([connection] {
    connection->set_open_handler(nullptr);
    connection->set_tcp_post_init_handler(nullptr);
    connection->set_fail_handler(nullptr);
    connection->set_close_handler(nullptr);
  });
}

void PeerMesh::Impl::write(Link *link, const std::string &bytes) {
  if (link->connection->get_buffered_amount() > MaxBufferedBytes)
    return;
  const websocketpp::lib::error_code error =
      link->connection->send(bytes, websocketpp::frame::opcode::binary);
  if (error)
    return;
  ++messagesSent_;
  bytesSent_ += bytes.size();
}

bool PeerMesh::Impl::isReplay(const PeerEnvelope &envelope) {
  constexpr std::size_t MaxSeen = 10000;
  if (seen_.size() >= MaxSeen && seen_.count(envelope.from) == 0)
    return true;
  Seen &seen = seen_[envelope.from];
  if (options_.incarnationsGrow && envelope.incarnation < seen.incarnation)
    return true;
  if (envelope.incarnation == seen.incarnation && envelope.count <= seen.count)
    return true;
  seen = {envelope.incarnation, envelope.count};
  return false;
}

void PeerMesh::Impl::onBytes(const std::string &bytes) {
  absl::StatusOr<PeerEnvelope> envelope =
      decodeEnvelope(bytes, options_.peerKey);
  if (!envelope.ok()) {
    ++refused_;
    return logEvent(LogLevel::Warning, "peer_message_refused",
                    {{"error", std::string(envelope.status().message())}});
  }
  if (envelope->to != options_.host || isReplay(*envelope)) {
    ++refused_;
    return;
  }
  ++messagesReceived_;
  bytesReceived_ += bytes.size();
  receive_(envelope->from, std::move(envelope->message));
}

PeerMesh::Counters PeerMesh::Impl::counters() const {
  return {messagesSent_, bytesSent_, messagesReceived_, bytesReceived_,
          refused_};
}

PeerMesh::PeerMesh(Options options, Receive receive)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(receive))) {}
PeerMesh::~PeerMesh() { stop(); }
absl::Status PeerMesh::start() { return impl_->start(); }
void PeerMesh::stop() { impl_->stop(); }
void PeerMesh::send(const std::string &host, const Endpoint &endpoint,
                    PeerMessage message) {
  impl_->send(host, endpoint, std::move(message));
}
PeerMesh::Counters PeerMesh::counters() const { return impl_->counters(); }

} // namespace auburnspring
