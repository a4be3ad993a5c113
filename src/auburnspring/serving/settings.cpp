#include "auburnspring/serving/settings.h"

#include "auburnspring/config/field_reader.h"
#include "auburnspring/config/located_json.h"

namespace auburnspring {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr double MaxSeconds = 3600;

Endpoint readEndpoint(FieldReader *reader, const char *name) {
  std::string text;
  reader->text(name, &text, Presence::Required);
  const std::optional<Endpoint> endpoint = parseEndpoint(text);
  if (!endpoint && !text.empty())
    reader->addFault(name, "is not of the form IP:PORT");
  return endpoint.value_or(Endpoint());
}

Endpoint readPort(FieldReader *reader, const char *name,
                  const std::string &ip) {
  std::int64_t port = 0;
  reader->integer(name, &port, 1, MaxPort, Presence::Required);
  return {ip, static_cast<std::uint16_t>(port)};
}

/// Reads a duration that the file gives in a unit of `unitMicros`.
Duration readDuration(FieldReader *reader, const char *name, double unitMicros,
                      Duration defaultValue) {
  double value = static_cast<double>(defaultValue.count()) / unitMicros;
  reader->number(name, &value, 0, MaxSeconds * 1e6 / unitMicros,
                 Presence::Optional);
  return Duration(static_cast<std::int64_t>(value * unitMicros));
}

Duration readSeconds(FieldReader *reader, const char *name,
                     Duration defaultValue) {
  return readDuration(reader, name, 1e6, defaultValue);
}

Duration readMillis(FieldReader *reader, const char *name,
                    Duration defaultValue) {
  return readDuration(reader, name, 1e3, defaultValue);
}

} // namespace

std::optional<ServingSettings> parseServingSettings(absl::string_view file,
                                                    absl::string_view text,
                                                    Faults *faults) {
  const std::size_t faultsBefore = faults->size();
  const LocatedJson document = parseLocatedJson(file, text, faults);
  if (faults->size() > faultsBefore)
    return std::nullopt;
  FieldReader reader(document, document.root, "", faults);
  ServingSettings settings;
  std::string ip;
  reader.text("host", &settings.host, Presence::Required);
  reader.text("data_centre", &settings.dataCentre, Presence::Required);
  settings.callers = readEndpoint(&reader, "callers");
  settings.readiness = readEndpoint(&reader, "readiness");
  reader.text("ip", &ip, Presence::Required);
  settings.peers = readPort(&reader, "peer_port", ip);
  settings.metrics = readPort(&reader, "metrics_port", ip);
  std::int64_t handOverPort = 0;
  reader.integer("hand_over_port", &handOverPort, 0, MaxPort,
                 Presence::Optional);
  settings.handOver = {ip, static_cast<std::uint16_t>(handOverPort)};
  reader.text("peer_key", &settings.peerKey, Presence::Required);
  settings.store = readEndpoint(&reader, "store");
  reader.text("log_level", &settings.logLevel, Presence::Optional);
  reader.integer("log_lines_per_second", &settings.logLinesPerSecond, 1, 100000,
                 Presence::Optional);
  reader.number("processor_share", &settings.processorShare, 0.001, 1024,
                Presence::Optional);
  reader.number("retry_ratio", &settings.retryRatio, 0, 10, Presence::Optional);
  reader.number("retry_slack", &settings.retrySlack, 0, 1000000,
                Presence::Optional);
  settings.retryWindow =
      readSeconds(&reader, "retry_window_s", settings.retryWindow);
  reader.number("cold_overshoot", &settings.coldOvershoot, 1, 100,
                Presence::Optional);
  reader.number("cold_slack", &settings.coldSlack, 0, 1000000,
                Presence::Optional);
  settings.evacuationTime =
      readMillis(&reader, "evacuation_ms", settings.evacuationTime);
  settings.stopTimeout =
      readSeconds(&reader, "stop_timeout_s", settings.stopTimeout);
  reader.rejectUnknownFields();
  if (faults->size() > faultsBefore)
    return std::nullopt;
  return settings;
}

} // namespace auburnspring
