#include "raw_worker.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <istream>
#include <utility>

namespace auburnspring::review {

namespace {

using asio::ip::tcp;

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1200);
/// The entry of a worker that is silent for this long is removed.
constexpr Duration LapseTime = 3 * HeartbeatInterval;

} // namespace

RawWorker::RawWorker(asio::io_context &io, Record *record,
                     platform::FakeStoreServer *store, Options options,
                     Events events)
    : io_(io), record_(record), store_(store), options_(std::move(options)),
      events_(std::move(events)), acceptor_(io), beatTimer_(io), downTimer_(io),
      lapseTimer_(io) {}

void RawWorker::start() {
  ++starts_;
  id_ = fmt::format("{}-{}", options_.name, starts_);
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  sequence_ = 0;
  isDown_ = false;
  acceptor_ = tcp::acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
  record_->add(fmt::format("worker={} starts", id_));
  beat();
  accept();
}

void RawWorker::beat() {
  beatTimer_.startAfter(HeartbeatInterval, [this] { beat(); });
  const nlohmann::json entry = {
      {"Service", options_.service},
      {"Address",
       "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
      {"Zone", options_.zone},
      {"Version", "v1"},
      {"Slots", options_.slots},
      {"State", "ready"},
      {"ColdRemainingMs", 0},
      {"Sequence", ++sequence_},
      {"born", born_}};
  store_->put("servers/" + id_, entry.dump());
}

void RawWorker::accept() {
  acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
    if (error)
      return;
    const auto channel = std::make_shared<Channel>(std::move(socket));
    channels_.insert(channel);
    readHead(channel);
    accept();
  });
}

void RawWorker::readHead(const ChannelPtr &channel) {
  asio::async_read_until(
      channel->socket, channel->input, "\r\n\r\n",
      [this, channel](asio::error_code error, std::size_t) {
        if (error)
          return close(channel);
        std::istream lines(&channel->input);
        std::string line;
        std::getline(lines, line);
        while (std::getline(lines, line) && line != "\r") {
          const std::size_t colon = line.find(':');
          if (colon == std::string::npos)
            continue;
          channel->headers[absl::AsciiStrToLower(line.substr(0, colon))] =
              std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)));
        }
        readBody(channel);
      });
}

void RawWorker::readBody(const ChannelPtr &channel) {
  std::size_t length = 0;
  if (!absl::SimpleAtoi(channel->headers["content-length"], &length))
    length = 0;
  const std::size_t missing = length - std::min(length, channel->input.size());
  asio::async_read(channel->socket, channel->input,
                   asio::transfer_exactly(missing),
                   [this, channel](asio::error_code error, std::size_t) {
                     if (error)
                       return close(channel);
                     onRequest(channel);
                   });
}

void RawWorker::onRequest(const ChannelPtr &channel) {
  const std::string &id = channel->headers["attempt-id"];
  if (channel->headers["expected-instance"] != id_)
    return write(channel,
                 "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ +
                     "\r\nContent-Length: 0\r\n\r\n",
                 [this, channel] { close(channel); });
  const std::string &lastEvent = channel->headers["last-event-id"];
  if (!absl::SimpleAtoi(lastEvent, &channel->events))
    channel->events = 0;
  record_->add(fmt::format("request={} reaches={} parts={} after_event={}", id,
                           id_, channel->headers["prompt-prefix"],
                           channel->events));
  events_.onArrival(id, channel->headers["prompt-prefix"]);
  watch(channel);
  channel->timer.startAfter(options_.firstToken,
                            [this, channel] { begin(channel); });
}

void RawWorker::watch(const ChannelPtr &channel) {
  channel->socket.async_read_some(
      asio::buffer(channel->rest),
      [this, channel](asio::error_code error, std::size_t) {
        if (error)
          return close(channel);
        watch(channel);
      });
}

void RawWorker::begin(const ChannelPtr &channel) {
  const std::string &id = channel->headers["attempt-id"];
  const std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Attempt-Id: {}\r\nResponse-Signature: {}.{}\r\n{}\r\n\r\n",
      id, id_, id,
      options_.usesChunks ? "Transfer-Encoding: chunked" : "Connection: close");
  write(channel, head, [this, channel] {
    channel->timer.startAfter(options_.eventPause,
                              [this, channel] { writeEvent(channel); });
  });
}

bool RawWorker::hasCrashingPart(const ChannelPtr &channel) const {
  const std::string &part = options_.crashingPart;
  return !part.empty() && channel->headers["prompt-prefix"].find(part + ":") !=
                              std::string::npos;
}

std::string RawWorker::framed(const std::string &bytes) const {
  return options_.usesChunks
             ? fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes)
             : bytes;
}

void RawWorker::writeEvent(const ChannelPtr &channel) {
  ++channel->events;
  const std::string &id = channel->headers["attempt-id"];
  // It ends within the event.
  if (channel->events == options_.crashAtEvent && hasCrashingPart(channel))
    return write(channel, framed(fmt::format("id: {}\nda", channel->events)),
                 [this, id] {
                   record_->add(fmt::format("request={} crashes={}", id, id_));
                   crash();
                 });
  const bool isLast = channel->events >= options_.events;
  std::string bytes = framed(
      fmt::format("id: {}\ndata: {}\n\n", channel->events, channel->events));
  if (isLast && options_.usesChunks)
    bytes += "0\r\n\r\n";
  write(channel, bytes, [this, channel, isLast] {
    if (isLast)
      return close(channel);
    channel->timer.startAfter(options_.eventPause,
                              [this, channel] { writeEvent(channel); });
  });
}

void RawWorker::write(const ChannelPtr &channel, const std::string &bytes,
                      std::function<void()> next) {
  channel->output = bytes;
  asio::async_write(channel->socket, asio::buffer(channel->output),
                    [this, channel, next = std::move(next)](
                        asio::error_code error, std::size_t) {
                      if (error)
                        return close(channel);
                      next();
                    });
}

void RawWorker::close(const ChannelPtr &channel) {
  channel->timer.cancel();
  asio::error_code ignored;
  channel->socket.close(ignored);
  channels_.erase(channel);
}

void RawWorker::crash() {
  if (std::exchange(isDown_, true))
    return;
  events_.onCrash();
  beatTimer_.cancel();
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (const ChannelPtr &channel : std::set<ChannelPtr>(channels_))
    close(channel);
  // The store removes the entry of a worker that it does not hear.
  lapseTimer_.startAfter(LapseTime,
                         [this, id = id_] { store_->remove("servers/" + id); });
  downTimer_.startAfter(options_.downTime, [this] { start(); });
}

} // namespace auburnspring::review
