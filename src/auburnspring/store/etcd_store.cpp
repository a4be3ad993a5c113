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

// The gateway encodes 64-bit numbers as strings.
std::int64_t parseInt64(const nlohmann::json &json) {
  if (json.is_number_integer())
    return json.get<std::int64_t>();
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(json.get_ref<const std::string &>(), &number))
    return 0;
  return number;
}

// Returns the first key-value pair, or a reply with no revision if the key is
// absent.
KvReply parseRangeResponse(const nlohmann::json &range, KvStatus status) {
  KvReply reply;
  reply.status = status;
  const auto kvs = range.find("kvs");
  if (kvs == range.end() || kvs->empty())
    return reply;
  const nlohmann::json &kv = kvs->at(0);
  reply.revision = parseInt64(kv.at("mod_revision"));
  if (kv.contains("value"))
    absl::Base64Unescape(kv.at("value").get<std::string>(), &reply.value);
  return reply;
}

KvReply parseTxnResponse(const nlohmann::json &json) {
  if (!json.value("succeeded", false))
    return parseRangeResponse(json.at("responses").at(0).at("response_range"),
                              KvStatus::Conflict);
  KvReply reply;
  reply.status = KvStatus::Ok;
  reply.revision = parseInt64(json.at("header").at("revision"));
  return reply;
}

KvReply replyWithStatus(KvStatus status) {
  KvReply reply;
  reply.status = status;
  return reply;
}

// True if the service rejected the call before executing it. After any other
// error status it is unknown whether a write took effect.
bool wasNotExecuted(const HttpResponse &response) {
  return response.status == TooManyRequests ||
         response.status == ServiceUnavailable;
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
  return replyWithStatus(KvStatus::Unavailable);
}

KvReply EtcdStore::remove(const KvOperation &operation) const {
  const nlohmann::json request = {{"key", toBase64(operation.key)}};
  const absl::StatusOr<HttpResponse> response =
      post("/v3/kv/deleterange", request.dump());
  const bool succeeded = response.ok() && response->status == Ok;
  return replyWithStatus(succeeded ? KvStatus::Ok : KvStatus::Unavailable);
}

absl::StatusOr<HttpResponse> EtcdStore::post(const std::string &path,
                                             std::string body) const {
  HttpCall call;
  call.method = "POST";
  call.path = path;
  call.body = std::move(body);
  call.headers["Content-Type"] = "application/json";
  call.connectTimeout = timeout_;
  call.responseTimeout = timeout_;
  return callHttp(endpoint_, call);
}

KvReply EtcdStore::get(const KvOperation &operation) const {
  const nlohmann::json request = {{"key", toBase64(operation.key)}};
  const absl::StatusOr<HttpResponse> response =
      post("/v3/kv/range", request.dump());
  if (!response.ok() || response->status != Ok)
    return replyWithStatus(KvStatus::Unavailable);
  const nlohmann::json json =
      nlohmann::json::parse(response->body, nullptr, false);
  try {
    return parseRangeResponse(json, KvStatus::Ok);
  } catch (const nlohmann::json::exception &) {
    return replyWithStatus(KvStatus::Unavailable);
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
  const absl::StatusOr<HttpResponse> response =
      post("/v3/kv/txn", request.dump());
  if (!response.ok())
    return replyWithStatus(wasNotSent(response.status()) ? KvStatus::Unavailable
                                                         : KvStatus::Unknown);
  if (wasNotExecuted(*response))
    return replyWithStatus(KvStatus::Unavailable);
  if (response->status != Ok)
    return replyWithStatus(KvStatus::Unknown);
  const nlohmann::json json =
      nlohmann::json::parse(response->body, nullptr, false);
  try {
    return parseTxnResponse(json);
  } catch (const nlohmann::json::exception &) {
    return replyWithStatus(KvStatus::Unknown);
  }
}

} // namespace auburnspring
