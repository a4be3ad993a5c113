#include "auburnspring/config/field_reader.h"
#include "auburnspring/config/settings.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <set>

namespace auburnspring {

namespace {

constexpr std::size_t MinSecretBytes = 8;
constexpr std::int64_t MaxIntervalMillis = 60000;

void readEndpoint(FieldReader *reader, const char *name, Endpoint *out,
                  Presence presence) {
  std::string text;
  reader->text(name, &text, presence);
  if (text.empty())
    return;
  const std::optional<Endpoint> endpoint = parseEndpoint(text);
  if (!endpoint) {
    reader->addFault(name, fmt::format("found \"{}\", wanted IP:PORT", text));
    return;
  }
  *out = *endpoint;
}

// Fault texts must not contain the secret, as they are printed and logged.
void readSecret(FieldReader *reader, const char *name, std::string *out) {
  reader->text(name, out, Presence::Required);
  if (!out->empty() && out->size() < MinSecretBytes)
    reader->addFault(name, fmt::format("a secret must have at least {} bytes",
                                       MinSecretBytes));
}

void readOrganisations(FieldReader *reader, Settings *settings) {
  std::set<std::string> names;
  std::set<std::string> tokens;
  for (FieldReader &entry :
       reader->objects("organisations", Presence::Required)) {
    Organisation organisation;
    entry.text("name", &organisation.name, Presence::Required, 64);
    readSecret(&entry, "token", &organisation.token);
    entry.number("weight", &organisation.weight, 0.001, 1000,
                 Presence::Optional);
    entry.rejectUnknownFields();
    if (!names.insert(organisation.name).second)
      entry.addFault("name", "duplicate organisation name");
    if (!tokens.insert(organisation.token).second)
      entry.addFault("token", "another organisation has the same token");
    settings->organisations.push_back(std::move(organisation));
  }
}

void readPeers(FieldReader *reader, Settings *settings) {
  for (FieldReader &entry : reader->objects("peers", Presence::Optional)) {
    Seed seed;
    entry.text("name", &seed.name, Presence::Required, 64);
    readEndpoint(&entry, "address", &seed.endpoint, Presence::Required);
    entry.rejectUnknownFields();
    if (seed.name != settings->host)
      settings->seeds.push_back(std::move(seed));
  }
}

void readLimits(FieldReader *reader, Settings *settings) {
  reader->integer("max_requests", &settings->maxRequests, 1, 100000,
                  Presence::Optional);
  reader->integer("max_body_bytes", &settings->maxBodyBytes, 1, 16 << 20,
                  Presence::Optional);
  reader->integer("max_kept_answer_bytes", &settings->maxStoredResponseBytes, 1,
                  65536, Presence::Optional);
  reader->millis("ledger_retention_ms", &settings->ledgerRetention, 1000,
                 std::int64_t{86400000} * 30, Presence::Optional);
  reader->integer("ledger_shards", &settings->ledgerShards, 1, 65536,
                  Presence::Optional);
  reader->integer("ledger_writes_per_second", &settings->ledgerWritesPerSecond,
                  1, 10000, Presence::Optional);
  reader->integer("key_value_calls_per_second",
                  &settings->keyValueCallsPerSecond, 1, 2000,
                  Presence::Optional);
  reader->millis("head_poll_ms", &settings->headPollInterval, 50,
                 MaxIntervalMillis, Presence::Optional);
  reader->millis("host_list_ms", &settings->hostListInterval, 50,
                 MaxIntervalMillis, Presence::Optional);
  reader->millis("load_report_ms", &settings->loadReportInterval, 50,
                 MaxIntervalMillis, Presence::Optional);
  reader->integer("load_polls_per_second", &settings->loadPollsPerSecond, 1,
                  10000, Presence::Optional);
  reader->millis("stop_timeout_ms", &settings->stopTimeout, 0, 3600000,
                 Presence::Optional);
}

} // namespace

std::optional<Endpoint> parseEndpoint(absl::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos || colon == 0)
    return std::nullopt;
  Endpoint endpoint;
  endpoint.ip = std::string(text.substr(0, colon));
  if (endpoint.ip.find_first_not_of("0123456789.") != std::string::npos)
    return std::nullopt;
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535)
    return std::nullopt;
  endpoint.port = static_cast<std::uint16_t>(port);
  return endpoint;
}

std::string toString(const Endpoint &endpoint) {
  return fmt::format("{}:{}", endpoint.ip, endpoint.port);
}

std::optional<Settings> parseSettings(absl::string_view file,
                                      absl::string_view text, Faults *faults) {
  const std::size_t before = faults->size();
  const LocatedJson document = parseLocatedJson(file, text, faults);
  if (faults->size() > before)
    return std::nullopt;
  Settings settings;
  FieldReader reader(document, document.root, "", faults);
  reader.text("host", &settings.host, Presence::Required, 64);
  reader.text("data_centre", &settings.dataCentre, Presence::Required, 64);
  reader.text("region", &settings.region, Presence::Optional, 64);
  readEndpoint(&reader, "listen", &settings.listen, Presence::Required);
  readEndpoint(&reader, "peer_listen", &settings.peerListen,
               Presence::Required);
  readSecret(&reader, "peer_key", &settings.peerKey);
  readPeers(&reader, &settings);
  readEndpoint(&reader, "key_value", &settings.keyValueEndpoint,
               Presence::Required);
  reader.text("key_prefix", &settings.keyPrefix, Presence::Optional, 64);
  readEndpoint(&reader, "host_list", &settings.hostListEndpoint,
               Presence::Required);
  readSecret(&reader, "operator_token", &settings.operatorToken);
  readOrganisations(&reader, &settings);
  static constexpr const char *LogLevels[] = {"debug", "info", "warning",
                                              "error"};
  std::size_t level = 1;
  reader.choice("log_level", LogLevels, &level, Presence::Optional);
  settings.logLevel = LogLevels[level];
  readLimits(&reader, &settings);
  reader.rejectUnknownFields();
  if (faults->size() > before)
    return std::nullopt;
  return settings;
}

} // namespace auburnspring
