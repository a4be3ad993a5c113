#include "part_quarantine_codec.h"

namespace auburnspring {

namespace {

/// Entries that are read of one message, above what any host sends.
constexpr std::size_t MaxEntries = 1024;

} // namespace

nlohmann::json toJson(const std::vector<PartQuarantine> &states) {
  nlohmann::json list = nlohmann::json::array();
  for (const PartQuarantine &state : states)
    list.push_back({state.part, state.generation, state.trials,
                    state.firstCrashAge.count(), state.nextTrialIn.count(),
                    state.idleFor.count(), state.isConfirmed, state.evidence});
  return list;
}

std::vector<PartQuarantine> readQuarantines(const nlohmann::json &json) {
  std::vector<PartQuarantine> states;
  for (const nlohmann::json &fields : json) {
    if (states.size() >= MaxEntries)
      break;
    states.push_back(
        {fields.at(0).get<std::string>(), fields.at(1).get<std::uint64_t>(),
         fields.at(2).get<std::uint32_t>(), fields.at(6).get<bool>(),
         Duration(fields.at(3).get<std::int64_t>()),
         fields.at(7).get<std::string>(),
         Duration(fields.at(4).get<std::int64_t>()),
         Duration(fields.at(5).get<std::int64_t>())});
  }
  return states;
}

nlohmann::json toJson(const PartCrashReport &report) {
  nlohmann::json list = nlohmann::json::array();
  for (const PartCrash &crash : report.crashes)
    list.push_back({crash.part, crash.upstream, crash.startedAtMillis,
                    crash.age.count(), crash.isDistinguishing,
                    crash.ranFor.count()});
  return list;
}

nlohmann::json toJson(const PartQuarantineUpdate &update) {
  return toJson(update.states);
}

nlohmann::json toJson(const PartTrialRequest &request) {
  return {{"n", request.number}, {"part", request.part}};
}

nlohmann::json toJson(const PartTrialReply &reply) {
  return {{"n", reply.number}, {"granted", reply.granted}};
}

PartCrashReport readCrashReport(const nlohmann::json &json) {
  PartCrashReport report;
  for (const nlohmann::json &fields : json) {
    if (report.crashes.size() >= MaxEntries)
      break;
    report.crashes.push_back(
        {fields.at(0).get<std::string>(), fields.at(1).get<std::string>(),
         fields.at(2).get<std::int64_t>(),
         Duration(fields.at(3).get<std::int64_t>()), fields.at(4).get<bool>()});
    // Hosts of earlier releases do not send it.
    if (fields.size() > 5)
      report.crashes.back().ranFor = Duration(fields.at(5).get<std::int64_t>());
  }
  return report;
}

} // namespace auburnspring
