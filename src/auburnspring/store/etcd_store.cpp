#include "auburnspring/store/etcd_store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace auburnspring {

namespace {

constexpr int Ok = 200;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

std::string toBase64(const std::string &text) {
  return absl::Base64Escape(text);
}

// The gateway writes 64-bit numbers as texts.
std::int64_t readNumber(const nlohmann::json &json) {
  if (json.is_number_integer())
    return json.get<std::int64_t>();
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(json.get_ref<const std::string &>(), &number))
    return 0;
  return number;
}

// The first key-value pair of a range response, or an absent key.
KvReply readRange(const nlohmann::json &range, KvStatus status) {
  KvReply reply;
  reply.status = status;
  const auto kvs = range.find("kvs");
  if (kvs == range.end() || kvs->empty())
    return reply;
  const nlohmann::json &kv = kvs->at(0);
  reply.revision = readNumber(kv.at("mod_revision"));
  if (kv.contains("value"))
    absl::Base64Unescape(kv.at("value").get<std::string>(), &reply.value);
  return reply;
}

KvReply readTxn(const nlohmann::json &json) {
  if (!json.value("succeeded", false))
    return readRange(json.at("responses").at(0).at("response_range"),
                     KvStatus::Conflict);
  KvReply reply;
  reply.status = KvStatus::Ok;
  reply.revision = readNumber(json.at("header").at("revision"));
  return reply;
}

KvReply failed(KvStatus status) {
  KvReply reply;
  reply.status = status;
  return reply;
}

// A refusal that the service makes before it acts; any other failure leaves
// open whether a write took effect.
bool isRefusal(const HttpAnswer &answer) {
  return answer.status == TooManyRequests ||
         answer.status == ServiceUnavailable;
}

} // namespace

EtcdStore::EtcdStore(Endpoint endpoint, Duration timeout)
    : endpoint_(std::move(endpoint)), timeout_(timeout) {}

KvReply EtcdStore::call(const KvOperation &operation) {
  switch (operation.verb) {
  case KvVerb::Get:
    return get(operation);
  case KvVerb::PutIf:
    return putIf(operation);
  case KvVerb::Delete:
    return remove(operation);
  }
  return failed(KvStatus::Unavailable);
}

KvReply EtcdStore::remove(const KvOperation &operation) const {
  const nlohmann::json request = {{"key", toBase64(operation.key)}};
  const absl::StatusOr<HttpAnswer> answer =
      post("/v3/kv/deleterange", request.dump());
  const bool done = answer.ok() && answer->status == Ok;
  return failed(done ? KvStatus::Ok : KvStatus::Unavailable);
}

absl::StatusOr<HttpAnswer> EtcdStore::post(const std::string &path,
                                           std::string body) const {
  HttpCall call;
  call.method = "POST";
  call.path = path;
  call.body = std::move(body);
  call.headers["Content-Type"] = "application/json";
  call.connectTimeout = timeout_;
  call.answerTimeout = timeout_;
  return callHttp(endpoint_, call);
}

KvReply EtcdStore::get(const KvOperation &operation) const {
  const nlohmann::json request = {{"key", toBase64(operation.key)}};
  const absl::StatusOr<HttpAnswer> answer =
      post("/v3/kv/range", request.dump());
  if (!answer.ok() || answer->status != Ok)
    return failed(KvStatus::Unavailable);
  const nlohmann::json json =
      nlohmann::json::parse(answer->body, nullptr, false);
  try {
    return readRange(json, KvStatus::Ok);
  } catch (const nlohmann::json::exception &) {
    return failed(KvStatus::Unavailable);
  }
}

KvReply EtcdStore::putIf(const KvOperation &operation) const {
  const std::string key = toBase64(operation.key);
  const nlohmann::json compare = {
      {"key", key},
      {"target", "MOD"},
      {"result", "EQUAL"},
      {"mod_revision", std::to_string(operation.expectedRevision)}};
  const nlohmann::json put = {{"key", key},
                              {"value", toBase64(operation.value)}};
  nlohmann::json request;
  request["compare"] = nlohmann::json::array({compare});
  request["success"] =
      nlohmann::json::array({nlohmann::json{{"request_put", put}}});
  request["failure"] = nlohmann::json::array(
      {nlohmann::json{{"request_range", {{"key", key}}}}});
  const absl::StatusOr<HttpAnswer> answer = post("/v3/kv/txn", request.dump());
  if (!answer.ok())
    return failed(wasNotSent(answer.status()) ? KvStatus::Unavailable
                                              : KvStatus::Unknown);
  if (isRefusal(*answer))
    return failed(KvStatus::Unavailable);
  if (answer->status != Ok)
    return failed(KvStatus::Unknown);
  const nlohmann::json json =
      nlohmann::json::parse(answer->body, nullptr, false);
  try {
    return readTxn(json);
  } catch (const nlohmann::json::exception &) {
    return failed(KvStatus::Unknown);
  }
}

} // namespace auburnspring
