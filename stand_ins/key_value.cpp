// Simulates the platform's key-value service: etcd v3's JSON gateway with
// range, put, txn, lease grant, keep-alive, revoke and watch, in memory, with
// the platform's rate limits.
#include "common/stand_in.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace {

using nlohmann::json;
using standin::jsonReply;
using standin::Reply;
using standin::Request;
using Clock = std::chrono::steady_clock;

constexpr std::size_t MaxValueBytes = 1 << 20;
constexpr auto WatchPollInterval = std::chrono::milliseconds(100);

std::string decode(const json &object, const char *field) {
  std::string text;
  if (object.contains(field))
    absl::Base64Unescape(object.at(field).get<std::string>(), &text);
  return text;
}

std::int64_t number(const json &object, const char *field) {
  std::int64_t value = 0;
  if (!object.contains(field))
    return value;
  const json &found = object.at(field);
  if (found.is_number())
    return found.get<std::int64_t>();
  if (!absl::SimpleAtoi(found.get<std::string>(), &value))
    return 0;
  return value;
}

// A token bucket that holds at most one second's worth of calls.
class RateLimit {
public:
  explicit RateLimit(double perSecond)
      : perSecond_(perSecond), tokens_(perSecond), refilledAt_(Clock::now()) {}

  bool tryAcquire() {
    const Clock::time_point now = Clock::now();
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    refilledAt_ = now;
    tokens_ = std::min(perSecond_, tokens_ + elapsed.count() * perSecond_);
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

private:
  double perSecond_;
  double tokens_;
  Clock::time_point refilledAt_;
};

struct Value {
  std::string text;
  std::string previousText;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct Lease {
  std::int64_t seconds = 0;
  Clock::time_point expiresAt;
};

struct Change {
  std::int64_t revision;
  std::string key;
  bool deleted;
  Value value;
};

class KeyValueStandIn : public standin::StandIn {
public:
  KeyValueStandIn(std::int64_t writes, std::int64_t reads)
      : writeLimit_(static_cast<double>(writes)),
        readLimit_(static_cast<double>(reads)) {}

  Reply handle(const Request &request) override {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
      return jsonReply({{"error", "expected a JSON object"}, {"code", 3}}, 400);
    const bool write =
        request.path != "/v3/kv/range" && request.path != "/v3/watch";
    std::unique_lock<std::mutex> lock(mutex_);
    ++(write ? writeCalls_ : readCalls_);
    if (!(write ? writeLimit_ : readLimit_).tryAcquire()) {
      ++refused_;
      return jsonReply({{"error", "too many requests"}, {"code", 8}}, 429);
    }
    expireLeases();
    try {
      return dispatch(request, body, &lock);
    } catch (const json::exception &error) {
      return jsonReply({{"error", error.what()}, {"code", 3}}, 400);
    }
  }

  json counters() override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"writes", writeCalls_},
            {"reads", readCalls_},
            {"refused", refused_},
            {"keys", values_.size()},
            {"revision", revision_}};
  }

private:
  Reply dispatch(const Request &request, const json &body,
                 std::unique_lock<std::mutex> *lock) {
    if (request.path == "/v3/kv/range")
      return jsonReply(range(body));
    if (request.path == "/v3/kv/put")
      return putCall(body);
    if (request.path == "/v3/kv/deleterange")
      return remove(body);
    if (request.path == "/v3/kv/txn")
      return txn(body);
    if (request.path == "/v3/lease/grant")
      return grant(body);
    if (request.path == "/v3/lease/keepalive")
      return keepAlive(body);
    if (request.path == "/v3/lease/revoke") {
      revoke(number(body, "ID"));
      return jsonReply({{"header", header()}});
    }
    if (request.path == "/v3/watch") {
      lock->unlock();
      return watch(body, request);
    }
    return jsonReply({{"error", "not found"}, {"code", 5}}, 404);
  }

  json header() const { return {{"revision", std::to_string(revision_)}}; }

  static json kv(const std::string &key, const Value &value) {
    return {{"key", absl::Base64Escape(key)},
            {"value", absl::Base64Escape(value.text)},
            {"create_revision", std::to_string(value.createRevision)},
            {"mod_revision", std::to_string(value.modRevision)},
            {"version", std::to_string(value.version)},
            {"lease", std::to_string(value.lease)}};
  }

  json range(const json &body) const {
    const std::string key = decode(body, "key");
    const std::string end = decode(body, "range_end");
    json kvs = json::array();
    for (auto it = values_.lower_bound(key); it != values_.end(); ++it) {
      const bool inRange =
          end.empty() ? it->first == key
                      : (end == std::string(1, '\0') || it->first < end);
      if (!inRange)
        break;
      kvs.push_back(kv(it->first, it->second));
    }
    json response = {{"header", header()}};
    response["count"] = std::to_string(kvs.size());
    if (!kvs.empty())
      response["kvs"] = std::move(kvs);
    return response;
  }

  void put(const json &body) {
    const std::string key = decode(body, "key");
    Value &value = values_[key];
    ++revision_;
    if (value.version++ == 0)
      value.createRevision = revision_;
    value.modRevision = revision_;
    value.previousText = std::move(value.text);
    value.text = decode(body, "value");
    value.lease = number(body, "lease");
    recordChange({revision_, key, false, value});
  }

  bool isTooLarge(const json &put) const {
    return decode(put, "value").size() > MaxValueBytes;
  }

  Reply putCall(const json &body) {
    if (isTooLarge(body))
      return jsonReply({{"error", "request is too large"}, {"code", 3}}, 400);
    put(body);
    return jsonReply({{"header", header()}});
  }

  Reply remove(const json &body) {
    const auto found = values_.find(decode(body, "key"));
    const bool present = found != values_.end();
    if (present) {
      ++revision_;
      recordChange({revision_, found->first, true, found->second});
      values_.erase(found);
    }
    return jsonReply({{"header", header()}, {"deleted", present ? "1" : "0"}});
  }

  bool evaluateCompare(const json &compare) const {
    const auto found = values_.find(decode(compare, "key"));
    const bool absent = found == values_.end();
    const std::string target = compare.value("target", "VERSION");
    if (target == "VALUE")
      return !absent && found->second.text == decode(compare, "value");
    std::int64_t actual = 0;
    std::int64_t expected = 0;
    if (target == "MOD") {
      actual = absent ? 0 : found->second.modRevision;
      expected = number(compare, "mod_revision");
    } else if (target == "CREATE") {
      actual = absent ? 0 : found->second.createRevision;
      expected = number(compare, "create_revision");
    } else {
      actual = absent ? 0 : found->second.version;
      expected = number(compare, "version");
    }
    const std::string result = compare.value("result", "EQUAL");
    if (result == "GREATER")
      return actual > expected;
    if (result == "LESS")
      return actual < expected;
    if (result == "NOT_EQUAL")
      return actual != expected;
    return actual == expected;
  }

  Reply txn(const json &body) {
    bool succeeded = true;
    for (const json &compare : body.value("compare", json::array()))
      succeeded = succeeded && evaluateCompare(compare);
    const json operations =
        body.value(succeeded ? "success" : "failure", json::array());
    for (const json &operation : operations)
      if (operation.contains("request_put") &&
          isTooLarge(operation.at("request_put")))
        return jsonReply({{"error", "request is too large"}, {"code", 3}}, 400);
    json responses = json::array();
    for (const json &operation : operations) {
      if (operation.contains("request_put")) {
        put(operation.at("request_put"));
        responses.push_back({{"response_put", {{"header", header()}}}});
      } else if (operation.contains("request_range")) {
        responses.push_back(
            {{"response_range", range(operation.at("request_range"))}});
      }
    }
    json response = {{"header", header()}, {"responses", responses}};
    if (succeeded)
      response["succeeded"] = true;
    return jsonReply(response);
  }

  Reply grant(const json &body) {
    std::int64_t id = number(body, "ID");
    if (id == 0)
      id = ++nextLease_;
    Lease &lease = leases_[id];
    lease.seconds = std::max<std::int64_t>(1, number(body, "TTL"));
    lease.expiresAt = Clock::now() + std::chrono::seconds(lease.seconds);
    return jsonReply({{"header", header()},
                      {"ID", std::to_string(id)},
                      {"TTL", std::to_string(lease.seconds)}});
  }

  Reply keepAlive(const json &body) {
    const std::int64_t id = number(body, "ID");
    json result = {{"header", header()}, {"ID", std::to_string(id)}};
    const auto found = leases_.find(id);
    if (found != leases_.end()) {
      found->second.expiresAt =
          Clock::now() + std::chrono::seconds(found->second.seconds);
      result["TTL"] = std::to_string(found->second.seconds);
    }
    return jsonReply({{"result", result}});
  }

  void revoke(std::int64_t id) {
    leases_.erase(id);
    for (auto it = values_.begin(); it != values_.end();) {
      if (it->second.lease != id || id == 0) {
        ++it;
        continue;
      }
      ++revision_;
      recordChange({revision_, it->first, true, it->second});
      it = values_.erase(it);
    }
  }

  void expireLeases() {
    const Clock::time_point now = Clock::now();
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : leases_)
      if (lease.expiresAt <= now)
        expired.push_back(id);
    for (const std::int64_t id : expired)
      revoke(id);
  }

  void recordChange(Change change) {
    constexpr std::size_t MaxChanges = 10000;
    changes_.push_back(std::move(change));
    if (changes_.size() > MaxChanges)
      changes_.pop_front();
    changed_.notify_all();
  }

  Reply watch(const json &body, const Request &request) {
    const json create = body.value("create_request", json::object());
    const std::string key = decode(create, "key");
    const std::string end = decode(create, "range_end");
    std::int64_t from = number(create, "start_revision");
    const auto peerClosed = request.peerClosed;
    Reply reply;
    reply.headers["Content-Type"] = "application/json";
    reply.stream = [this, key, end, from,
                    peerClosed](std::ostream &out) mutable {
      out << json{{"result", {{"header", {}}, {"created", true}}}}.dump()
          << "\n"
          << std::flush;
      std::unique_lock<std::mutex> lock(mutex_);
      if (from == 0)
        from = revision_ + 1;
      while (!isStopping() && out.good() && !peerClosed()) {
        json events = json::array();
        for (const Change &change : changes_) {
          const bool inRange =
              change.key == key ||
              (!end.empty() && change.key >= key && change.key < end);
          if (change.revision < from || !inRange)
            continue;
          json event = {{"kv", kv(change.key, change.value)}};
          if (change.deleted)
            event["type"] = "DELETE";
          events.push_back(std::move(event));
        }
        from = revision_ + 1;
        if (!events.empty()) {
          const json result = {{"header", header()}, {"events", events}};
          lock.unlock();
          out << json{{"result", result}}.dump() << "\n" << std::flush;
          lock.lock();
        }
        changed_.wait_for(lock, WatchPollInterval);
      }
    };
    return reply;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Value> values_;
  std::map<std::int64_t, Lease> leases_;
  std::deque<Change> changes_;
  std::int64_t revision_ = 1;
  std::int64_t nextLease_ = 1000;
  RateLimit writeLimit_;
  RateLimit readLimit_;
  std::uint64_t writeCalls_ = 0;
  std::uint64_t readCalls_ = 0;
  std::uint64_t refused_ = 0;
};

} // namespace

int main(int argc, char **argv) {
  const standin::StandInOptions options = standin::parseStandInOptions(
      argc, argv,
      "stand_in_key_value - the platform's key-value service in memory\n"
      "values: writes_per_second (400), reads_per_second (2000)");
  KeyValueStandIn standIn(options.number("writes_per_second", 400),
                          options.number("reads_per_second", 2000));
  return standIn.run(options);
}
