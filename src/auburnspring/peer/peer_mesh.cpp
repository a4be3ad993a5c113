#include "auburnspring/peer/peer_mesh.h"

#include "auburnspring/base/log.h"
#include "auburnspring/peer/replay_window.h"

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

constexpr std::size_t MaxQueuedMessages = 64;
constexpr std::size_t MaxBufferedBytes = 8 << 20;
constexpr long HandshakeTimeoutMillis = 2000;
/// Least time between two log lines about dropped messages.
constexpr std::chrono::seconds DropLogInterval(1);

/// Large replies carry the versions of what they hold, so that their order
/// doesn't matter, and are the messages that others overtake.
bool mayArriveLate(const PeerMessage &message) {
  return std::holds_alternative<ReplicaReply>(message) ||
         std::holds_alternative<OperatorConfigurationReply>(message);
}

} // namespace

// All state belongs to the I/O thread; other threads post to it.
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
  struct OutboundConnection {
    WsClient::connection_ptr connection;
    bool open = false;
    /// A message for it was not sent.
    bool hasDropped = false;
    Clock::time_point createdAt;
    Clock::time_point lastUsed;
    std::vector<std::string> queuedMessages;
  };

  void sendOnIoThread(const std::string &host, const Endpoint &endpoint,
                      const std::string &bytes);
  OutboundConnection *openConnection(const std::string &host,
                                     const Endpoint &endpoint);
  void closeConnection(const std::string &host);
  /// A connection that this mesh has closed is gone.
  void onRetired(const std::string &host,
                 const WsClient::connection_ptr &connection);
  void setUserTimeout(const WsClient::connection_ptr &connection);
  void closeLeastRecentlyUsed();
  void onOpen(const std::string &host,
              const WsClient::connection_ptr &connection);
  void onClosed(const std::string &host,
                const WsClient::connection_ptr &connection);
  void write(const std::string &host, OutboundConnection *outbound,
             const std::string &bytes);
  /// Counts and logs a message that isn't sent.
  void drop(const std::string &host, std::size_t bytes, const char *reason);
  /// Drops what waits for a connection that is given up.
  void dropQueued(const std::string &host, const OutboundConnection &outbound);
  void reportLost(const std::string &host);
  /// Ends the cycle of a connection and its handlers, which own it.
  void clearHandlers(const WsClient::connection_ptr &connection);
  void onPayload(const std::string &bytes);
  bool isReplay(const PeerEnvelope &envelope);

  Options options_;
  Receive receive_;
  asio::io_service io_;
  WsServer server_;
  WsClient client_;
  std::thread thread_;
  std::map<std::string, OutboundConnection> connections_;
  std::map<std::string, ReplayWindow> senders_;
  Clock::time_point dropLoggedAt_;
  std::atomic<std::uint64_t> lastSequence_{0};
  std::atomic<std::uint64_t> messagesSent_{0};
  std::atomic<std::uint64_t> bytesSent_{0};
  std::atomic<std::uint64_t> messagesReceived_{0};
  std::atomic<std::uint64_t> bytesReceived_{0};
  std::atomic<std::uint64_t> messagesRejected_{0};
  std::atomic<std::uint64_t> messagesDropped_{0};
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
    onPayload(message->get_payload());
  });
  if (!error)
    server_.listen(asio::ip::tcp::endpoint(
                       asio::ip::address::from_string(options_.listen.ip),
                       options_.listen.port),
                   error);
  if (!error)
    server_.start_accept(error);
  if (error)
    return absl::UnavailableError("can't listen for peer connections on " +
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
  // Numbered on the I/O thread, so that the sequence follows the write order.
  io_.post([this, envelope = std::move(envelope), endpoint]() mutable {
    envelope.sequence = ++lastSequence_;
    const std::string bytes = encodeEnvelope(envelope, options_.peerKey);
    if (bytes.size() > MaxEnvelopeBytes)
      return drop(envelope.to, bytes.size(), "too_large");
    sendOnIoThread(envelope.to, endpoint, bytes);
  });
}

void PeerMesh::Impl::sendOnIoThread(const std::string &host,
                                    const Endpoint &endpoint,
                                    const std::string &bytes) {
  const auto found = connections_.find(host);
  const bool expired =
      found != connections_.end() &&
      Clock::now() - found->second.createdAt > options_.maxConnectionAge;
  if (expired)
    closeConnection(host);
  OutboundConnection *outbound = found != connections_.end() && !expired
                                     ? &found->second
                                     : openConnection(host, endpoint);
  if (outbound == nullptr) {
    drop(host, bytes.size(), "no_address");
    return reportLost(host);
  }
  outbound->lastUsed = Clock::now();
  if (outbound->open)
    return write(host, outbound, bytes);
  if (outbound->queuedMessages.size() >= MaxQueuedMessages) {
    outbound->hasDropped = true;
    return drop(host, bytes.size(), "not_connected");
  }
  outbound->queuedMessages.push_back(bytes);
}

void PeerMesh::Impl::drop(const std::string &host, std::size_t bytes,
                          const char *reason) {
  ++messagesDropped_;
  const Clock::time_point now = Clock::now();
  if (now < dropLoggedAt_ + DropLogInterval)
    return;
  dropLoggedAt_ = now;
  logEvent(LogLevel::Warning, "peer_message_dropped",
           {{"peer", host},
            {"reason", reason},
            {"bytes", static_cast<unsigned long>(bytes)},
            {"dropped", static_cast<unsigned long>(messagesDropped_)}});
}

void PeerMesh::Impl::dropQueued(const std::string &host,
                                const OutboundConnection &outbound) {
  for (const std::string &bytes : outbound.queuedMessages)
    drop(host, bytes.size(), "not_connected");
}

void PeerMesh::Impl::reportLost(const std::string &host) {
  if (options_.onConnectionLost)
    options_.onConnectionLost(host);
}

PeerMesh::Impl::OutboundConnection *
PeerMesh::Impl::openConnection(const std::string &host,
                               const Endpoint &endpoint) {
  if (connections_.size() >= options_.maxConnections)
    closeLeastRecentlyUsed();
  websocketpp::lib::error_code error;
  const WsClient::connection_ptr connection =
      client_.get_connection("ws://" + toString(endpoint) + "/", error);
  if (error)
    return nullptr;
  connection->set_open_handler(
      [this, host, connection](const websocketpp::connection_hdl &) {
        onOpen(host, connection);
      });
  const auto onConnectionClosed =
      [this, host, connection](const websocketpp::connection_hdl &) {
        onClosed(host, connection);
      };
  connection->set_tcp_post_init_handler(
      [this, connection](const websocketpp::connection_hdl &) {
        setUserTimeout(connection);
      });
  connection->set_fail_handler(onConnectionClosed);
  connection->set_close_handler(onConnectionClosed);
  OutboundConnection &outbound = connections_[host];
  outbound.connection = connection;
  outbound.createdAt = Clock::now();
  client_.connect(connection);
  return &outbound;
}

void PeerMesh::Impl::setUserTimeout(
    const WsClient::connection_ptr &connection) {
  if (options_.tcpUserTimeout == Duration(0))
    return;
  const int millis = static_cast<int>(toMillis(options_.tcpUserTimeout));
  const int fd = connection->get_raw_socket().native_handle();
  if (setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis)) !=
      0)
    logEvent(LogLevel::Debug, "peer_socket_option_refused");
}

void PeerMesh::Impl::closeConnection(const std::string &host) {
  const auto found = connections_.find(host);
  const WsClient::connection_ptr connection = found->second.connection;
  // Reported once for all, at the end of the connection: a receiver of the
  // report may send at once, and that may be dropped as well.
  const bool hasDropped =
      found->second.hasDropped || !found->second.queuedMessages.empty();
  dropQueued(host, found->second);
  connections_.erase(found);
  const auto onEnd = [this, host,
                      connection](const websocketpp::connection_hdl &) {
    onRetired(host, connection);
  };
  connection->set_fail_handler(onEnd);
  connection->set_close_handler(onEnd);
  websocketpp::lib::error_code error;
  connection->close(websocketpp::close::status::normal, "", error);
  if (error)
    clearHandlers(connection);
  if (hasDropped)
    reportLost(host);
}

void PeerMesh::Impl::onRetired(const std::string &host,
                               const WsClient::connection_ptr &connection) {
  // A peer closes its side once it has read all that was sent before.
  if (connection->get_remote_close_code() ==
      websocketpp::close::status::abnormal_close)
    reportLost(host);
  // Posted, since the handler that is running owns the connection.
  io_.post([this, connection] { clearHandlers(connection); });
}

void PeerMesh::Impl::clearHandlers(const WsClient::connection_ptr &connection) {
  connection->set_open_handler(nullptr);
  connection->set_tcp_post_init_handler(nullptr);
  connection->set_fail_handler(nullptr);
  connection->set_close_handler(nullptr);
}

void PeerMesh::Impl::closeLeastRecentlyUsed() {
  auto leastRecentlyUsed = connections_.begin();
  for (auto it = connections_.begin(); it != connections_.end(); ++it)
    if (it->second.lastUsed < leastRecentlyUsed->second.lastUsed)
      leastRecentlyUsed = it;
  const std::string host = leastRecentlyUsed->first;
  closeConnection(host);
}

void PeerMesh::Impl::onOpen(const std::string &host,
                            const WsClient::connection_ptr &connection) {
  const auto found = connections_.find(host);
  if (found == connections_.end() || found->second.connection != connection)
    return;
  found->second.open = true;
  std::vector<std::string> queuedMessages =
      std::move(found->second.queuedMessages);
  for (const std::string &bytes : queuedMessages)
    write(host, &found->second, bytes);
}

void PeerMesh::Impl::onClosed(const std::string &host,
                              const WsClient::connection_ptr &connection) {
  const auto found = connections_.find(host);
  if (found != connections_.end() && found->second.connection == connection) {
    dropQueued(host, found->second);
    connections_.erase(found);
    reportLost(host);
  }
  // Posted, since the handler that is running owns the connection.
  io_.post([this, connection] { clearHandlers(connection); });
}

void PeerMesh::Impl::write(const std::string &host,
                           OutboundConnection *outbound,
                           const std::string &bytes) {
  if (outbound->connection->get_buffered_amount() > MaxBufferedBytes) {
    outbound->hasDropped = true;
    return drop(host, bytes.size(), "backlog");
  }
  const websocketpp::lib::error_code error =
      outbound->connection->send(bytes, websocketpp::frame::opcode::binary);
  // The end of the connection is reported by itself.
  if (error)
    return drop(host, bytes.size(), "closing");
  ++messagesSent_;
  bytesSent_ += bytes.size();
}

bool PeerMesh::Impl::isReplay(const PeerEnvelope &envelope) {
  constexpr std::size_t MaxSenders = 10000;
  if (senders_.size() >= MaxSenders && senders_.count(envelope.from) == 0)
    return true;
  ReplayWindow &received = senders_[envelope.from];
  if (options_.incarnationsIncrease &&
      envelope.incarnation < received.incarnation())
    return true;
  if (envelope.incarnation != received.incarnation())
    received = ReplayWindow(envelope.incarnation);
  return !received.accept(envelope.sequence, mayArriveLate(envelope.message));
}

void PeerMesh::Impl::onPayload(const std::string &bytes) {
  absl::StatusOr<PeerEnvelope> envelope =
      decodeEnvelope(bytes, options_.peerKey);
  if (!envelope.ok()) {
    ++messagesRejected_;
    return logEvent(LogLevel::Warning, "peer_message_refused",
                    {{"error", std::string(envelope.status().message())}});
  }
  if (envelope->to != options_.host || isReplay(*envelope)) {
    ++messagesRejected_;
    return;
  }
  ++messagesReceived_;
  bytesReceived_ += bytes.size();
  receive_(envelope->from, std::move(envelope->message));
}

PeerMesh::Counters PeerMesh::Impl::counters() const {
  return {messagesSent_,  bytesSent_,        messagesReceived_,
          bytesReceived_, messagesRejected_, messagesDropped_};
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
