// Simulates a model engine: streamed completions with priority, cancellation by
// disconnect, resumption after text already sent, a prompt-prefix cache of
// limited size, cache events that arrive late and with gaps, orders whose
// fencing token is checked or ignored, and silence in the middle of a
// generation.
#include "common/upstream_stand_in.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <deque>
#include <list>
#include <thread>

namespace {

using nlohmann::json;
using standin::jsonReply;
using standin::Reply;
using standin::Request;
using Clock = std::chrono::steady_clock;

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t MaxEvents = 1000;
constexpr auto PollInterval = std::chrono::milliseconds(5);
// One in this many cache events is never published.
constexpr std::uint64_t DroppedEventInterval = 7;

// The n-th token of the completion of a prompt; the same on every engine of one
// software version.
std::string tokenAt(const std::string &prompt, const std::string &version,
                    std::size_t n) {
  const std::uint64_t seed =
      version.empty() ? 0 : auburnspring::stableHash(version);
  const std::uint64_t hash =
      auburnspring::stableHash(prompt, seed + static_cast<std::uint64_t>(n));
  return fmt::format("{:03x} ", hash & 0xfff);
}

class EngineStandIn : public standin::UpstreamStandIn {
public:
  explicit EngineStandIn(const standin::StandInOptions &options)
      : UpstreamStandIn(options),
        prefillMicros_(options.number("prefill_us_per_token", 200)),
        decodeMillis_(options.number("decode_ms", 5)),
        completionTokens_(options.number("answer_tokens", 24)),
        cacheSize_(static_cast<std::size_t>(options.number("cache", 16))),
        eventLag_(options.number("event_lag_ms", 500)),
        checksFencing_(options.number("checks_fencing", 1) != 0),
        silence_(options.number("silent_ms", 0)),
        silentShare_(options.share("silent_share", 0)) {}

  Reply execute(const Request &request, const json &body) override {
    const std::string prompt = body.value("prompt", "");
    const std::string resumeText = body.value("resume_text", "");
    const auto promptTokens =
        static_cast<std::int64_t>(prompt.size() / BytesPerToken + 1);
    const std::int64_t cached = touchPrefixCache(prompt, promptTokens);
    const std::int64_t tokenCount = std::min(
        completionTokens_, body.value("max_tokens", std::int64_t{256}));
    const std::string attempt = body.at("attempt").get<std::string>();
    const auto peerClosed = request.peerClosed;
    Reply reply;
    reply.headers["Content-Type"] = "text/event-stream";
    reply.stream = [=](std::ostream &out) {
      const Clock::time_point start = Clock::now();
      std::this_thread::sleep_for(
          std::chrono::microseconds(prefillMicros_ * (promptTokens - cached)));
      const std::int64_t sent =
          decode(prompt, resumeText, attempt, tokenCount, peerClosed, out);
      if (sent >= 0) {
        const std::chrono::duration<double, std::milli> busy =
            Clock::now() - start;
        const json usage = {{"prompt_tokens", promptTokens},
                            {"cached_tokens", cached},
                            {"completion_tokens", sent}};
        const json last = {
            {"attempt", attempt},
            {"offset", tokenCount * 4},
            {"choices", {{{"text", ""}, {"finish_reason", "stop"}}}},
            {"usage", usage},
            {"busy_ms", busy.count()}};
        out << "data: " << last.dump() << "\n\ndata: [DONE]\n\n" << std::flush;
      }
      releaseSlot();
    };
    return reply;
  }

  Reply handleOther(const Request &request) override {
    if (request.path == "/v1/cache_events")
      return cacheEvents(request);
    if (request.path == "/v1/orders")
      return handleOrder(request);
    return jsonReply({{"error", "not found"}}, 404);
  }

private:
  // Returns the number of tokens sent, or -1 if the client has disconnected.
  std::int64_t decode(const std::string &prompt, const std::string &resumeText,
                      const std::string &attempt, std::int64_t tokenCount,
                      const std::function<bool()> &peerClosed,
                      std::ostream &out) {
    const auto first =
        static_cast<std::int64_t>(resumeText.size() / BytesPerToken);
    std::size_t offset = resumeText.size();
    std::int64_t sent = 0;
    const std::int64_t silentAt =
        drawSilence() ? first + (tokenCount - first) / 2 : -1;
    for (std::int64_t n = first; n < tokenCount; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(decodeMillis_));
      if (n == silentAt)
        beSilent(peerClosed);
      while (faults().isFrozen() && !isStopping())
        std::this_thread::sleep_for(PollInterval);
      if (isStopping() || !out.good() || peerClosed())
        return -1;
      const std::string token =
          tokenAt(prompt, version(), static_cast<std::size_t>(n));
      const json event = {
          {"attempt", attempt},
          {"offset", offset},
          {"choices", {{{"text", token}, {"finish_reason", nullptr}}}}};
      out << "data: " << event.dump() << "\n\n" << std::flush;
      offset += token.size();
      ++sent;
    }
    return sent;
  }

  // True for an evenly spread share of the generations.
  bool drawSilence() {
    const auto number = static_cast<double>(++generations_);
    return std::floor(number * silentShare_) >
           std::floor((number - 1) * silentShare_);
  }

  void beSilent(const std::function<bool()> &peerClosed) {
    const Clock::time_point end = Clock::now() + silence_;
    while (Clock::now() < end && !isStopping() && !peerClosed())
      std::this_thread::sleep_for(PollInterval);
  }

  std::int64_t touchPrefixCache(const std::string &prompt,
                                std::int64_t tokens) {
    const std::uint64_t prefix =
        auburnspring::stableHash(prompt.substr(0, PrefixBytes));
    const std::lock_guard<std::mutex> lock(cacheMutex_);
    const auto found = std::find(cache_.begin(), cache_.end(), prefix);
    const bool hit = found != cache_.end();
    if (hit)
      cache_.erase(found);
    else
      publish("stored", prefix);
    cache_.push_front(prefix);
    if (cache_.size() > cacheSize_) {
      publish("evicted", cache_.back());
      cache_.pop_back();
    }
    const auto prefixTokens =
        static_cast<std::int64_t>(PrefixBytes / BytesPerToken);
    return hit ? std::min(tokens, prefixTokens) : 0;
  }

  void publish(const char *kind, std::uint64_t prefix) {
    if (++eventCount_ % DroppedEventInterval == 0)
      return;
    events_.push_back({eventCount_, Clock::now(), kind, prefix});
    if (events_.size() > MaxEvents)
      events_.pop_front();
  }

  Reply cacheEvents(const Request &request) {
    std::uint64_t since = 0;
    const std::size_t sinceStart = request.query.find("since=");
    if (sinceStart != std::string::npos &&
        !absl::SimpleAtoi(request.query.substr(sinceStart + 6), &since))
      return jsonReply({{"error", "since: expected a number"}}, 400);
    json events = json::array();
    const std::lock_guard<std::mutex> lock(cacheMutex_);
    for (const CacheEvent &event : events_)
      if (event.number > since && event.at + eventLag_ <= Clock::now())
        events.push_back({{"number", event.number},
                          {"kind", event.kind},
                          {"prefix", event.prefix}});
    return jsonReply({{"events", events}});
  }

  Reply handleOrder(const Request &request) {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("fencing"))
      return jsonReply({{"error", "expected an object with fencing"}}, 400);
    const auto fencingToken = body.at("fencing").get<std::int64_t>();
    const std::lock_guard<std::mutex> lock(cacheMutex_);
    if (checksFencing_ && fencingToken < highestFencingToken_)
      return jsonReply(
          {{"error", "stale fencing token"}, {"highest", highestFencingToken_}},
          409);
    highestFencingToken_ = std::max(highestFencingToken_, fencingToken);
    state_ = body;
    return jsonReply({{"state", state_}});
  }

  struct CacheEvent {
    std::uint64_t number;
    Clock::time_point at;
    const char *kind;
    std::uint64_t prefix;
  };

  std::int64_t prefillMicros_;
  std::int64_t decodeMillis_;
  std::int64_t completionTokens_;
  std::size_t cacheSize_;
  std::chrono::milliseconds eventLag_;
  bool checksFencing_;
  std::chrono::milliseconds silence_;
  double silentShare_;
  std::atomic<std::uint64_t> generations_{0};
  std::mutex cacheMutex_;
  std::list<std::uint64_t> cache_;
  std::deque<CacheEvent> events_;
  std::uint64_t eventCount_ = 0;
  std::int64_t highestFencingToken_ = 0;
  json state_;
};

} // namespace

int main(int argc, char **argv) {
  const standin::StandInOptions options = standin::parseStandInOptions(
      argc, argv,
      "stand_in_engine - a model engine\n"
      "values: prefill_us_per_token (200), decode_ms (5), answer_tokens (24), "
      "cache (16 prefixes), event_lag_ms (500), checks_fencing (1), slots (8), "
      "max_queued (256), report_lag_ms (200), incarnation (1), version (none; "
      "the text depends on it), silent_ms (0; silence in the middle of a "
      "generation), silent_share (0; of the generations, up to 1)");
  EngineStandIn standIn(options);
  return standIn.run(options);
}
