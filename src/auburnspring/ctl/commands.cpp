#include "commands.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/decision/ledger_page.h"
#include "auburnspring/publishing/publisher.h"
#include "auburnspring/store/etcd_store.h"
#include "auburnspring/store/http_call.h"
#include "file_collector.h"
#include "host_client.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

namespace auburnspring {

namespace {

constexpr auto DrainPoll = std::chrono::milliseconds(200);
constexpr int MaxDrainPolls = 1500;

WallTime wallNow() {
  return std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string newPublishId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

std::string shownTime(WallTime time) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}",
                     fmt::gmtime(static_cast<std::time_t>(time.count())));
}

int fail(const absl::Status &status, int code) {
  fmt::print(stderr, "{}\n", std::string(status.message()));
  return code;
}

int usage(const CommandLine &line) {
  fmt::print(stderr, "{}", helpText(line.command));
  return ExitUsage;
}

void printFaults(const Faults &faults, bool json) {
  if (!json) {
    for (const Fault &fault : faults)
      fmt::print("{}\n", toString(fault));
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const Fault &fault : faults)
    list.push_back({{"file", fault.file},
                    {"line", fault.line},
                    {"field", fault.field},
                    {"text", fault.text}});
  fmt::print("{}\n", nlohmann::json{{"faults", list}}.dump(2));
}

// The settings with what most commands make from them.
class Session {
public:
  explicit Session(Settings settings, const CommandLine &line)
      : settings_(std::move(settings)), store_(settings_.keyValue),
        hosts_(settings_.operatorToken) {
    endpoint_ = settings_.listen;
    if (!line.host.empty())
      endpoint_ = parseEndpoint(line.host).value_or(Endpoint());
  }

  const Settings &settings() const { return settings_; }
  const Endpoint &endpoint() const { return endpoint_; }
  EtcdStore *store() { return &store_; }
  const HostClient &hosts() const { return hosts_; }

  Publisher publisher() {
    Publisher::Options options;
    options.keyPrefix = settings_.keyPrefix;
    options.pause = [](int attempt) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(50 << std::min(attempt, 4)));
    };
    return Publisher(options, &store_);
  }

  const Organisation *organisation(const std::string &name) const {
    for (const Organisation &organisation : settings_.organisations)
      if (organisation.name == name)
        return &organisation;
    return nullptr;
  }

private:
  Settings settings_;
  EtcdStore store_;
  HostClient hosts_;
  Endpoint endpoint_;
};

int check(const CommandLine &line) {
  if (line.arguments.empty())
    return usage(line);
  const auto files = collectRouteFiles(line.arguments);
  if (!files.ok())
    return fail(files.status(), ExitUsage);
  Faults faults;
  const RouteTable routes = checkRouteFiles(*files, &faults);
  printFaults(faults, line.json);
  if (!line.json)
    fmt::print("{} files, {} routes, {} faults\n", files->size(), routes.size(),
               faults.size());
  return faults.empty() ? ExitOk : ExitNo;
}

int exitCodeOf(PublishStatus status) {
  switch (status) {
  case PublishStatus::Accepted:
  case PublishStatus::Unchanged:
    return ExitOk;
  case PublishStatus::Faulty:
    return ExitNo;
  case PublishStatus::Conflict:
    return ExitConflict;
  case PublishStatus::NotAccepted:
    return ExitUnreachable;
  case PublishStatus::Unsettled:
    return ExitUnsettled;
  }
  return ExitNo;
}

int report(const PublishResult &result, const std::string &id, bool json) {
  if (json) {
    nlohmann::json rivals = nlohmann::json::array();
    for (const PublishRecord &rival : result.rivals)
      rivals.push_back({{"generation", rival.generation},
                        {"author", rival.author},
                        {"change", rival.change}});
    fmt::print("{}\n", nlohmann::json{{"status", toString(result.status)},
                                      {"generation", result.generation},
                                      {"publish_id", id},
                                      {"detail", result.detail},
                                      {"rivals", rivals}}
                           .dump(2));
    return exitCodeOf(result.status);
  }
  printFaults(result.faults, false);
  switch (result.status) {
  case PublishStatus::Accepted:
    fmt::print("accepted as generation {}\n", result.generation);
    break;
  case PublishStatus::Unchanged:
    fmt::print("unchanged, generation {} is in force\n", result.generation);
    break;
  case PublishStatus::Conflict:
    fmt::print("not accepted: generation {} came first\n", result.generation);
    for (const PublishRecord &rival : result.rivals)
      fmt::print("  generation {} by {}: {}\n", rival.generation, rival.author,
                 rival.change);
    break;
  case PublishStatus::NotAccepted:
    fmt::print("not accepted: {}\n", result.detail.empty()
                                         ? "the key-value service is down"
                                         : result.detail);
    break;
  case PublishStatus::Unsettled:
    fmt::print("not settled: run it again with --id {}\n", id);
    break;
  case PublishStatus::Faulty:
    fmt::print("not accepted: the files have faults\n");
    break;
  }
  return exitCodeOf(result.status);
}

int publish(const CommandLine &line, Session *session) {
  if (line.arguments.empty())
    return usage(line);
  const auto files = collectRouteFiles(line.arguments);
  if (!files.ok())
    return fail(files.status(), ExitUsage);
  PublishRequest request;
  request.files = *files;
  request.replaceAll = line.replaceAll;
  request.base = line.base;
  request.publishId = line.publishId.empty() ? newPublishId() : line.publishId;
  request.author = line.author;
  request.time = wallNow();
  return report(session->publisher().publish(request), request.publishId,
                line.json);
}

int status(const CommandLine &line, Session *session) {
  const auto hosts = session->hosts().hosts(session->endpoint());
  if (!hosts.ok())
    return fail(hosts.status(), ExitUnreachable);
  nlohmann::json list = nlohmann::json::array();
  for (const HostEntry &host : *hosts) {
    nlohmann::json entry = {{"host", host.name},
                            {"state", host.state},
                            {"data_centre", host.dataCentre},
                            {"address", toString(host.endpoint)}};
    const auto own =
        host.isUp() ? session->hosts().get(host.endpoint, "/v1/operator/status")
                    : absl::UnavailableError("down");
    entry["answers"] = own.ok();
    if (own.ok()) {
      entry["generation"] = own->at("configuration").at("generation");
      entry["ready"] = own->at("ready");
      entry["open_requests"] = own->at("open_requests");
    }
    list.push_back(std::move(entry));
  }
  if (line.json) {
    fmt::print("{}\n", list.dump(2));
    return ExitOk;
  }
  fmt::print("{:<16} {:<8} {:<12} {:<22} {:>10} {:<6} {:>5}\n", "HOST", "STATE",
             "DATA CENTRE", "ADDRESS", "GENERATION", "READY", "OPEN");
  for (const nlohmann::json &entry : list) {
    const bool answers = entry.at("answers").get<bool>();
    fmt::print("{:<16} {:<8} {:<12} {:<22} {:>10} {:<6} {:>5}\n",
               entry.at("host").get<std::string>(),
               entry.at("state").get<std::string>(),
               entry.at("data_centre").get<std::string>(),
               entry.at("address").get<std::string>(),
               answers ? entry.at("generation").dump() : "silent",
               answers ? entry.at("ready").dump() : "-",
               answers ? entry.at("open_requests").dump() : "-");
  }
  return ExitOk;
}

int dump(const CommandLine &line, Session *session) {
  Endpoint endpoint = session->endpoint();
  if (!line.arguments.empty()) {
    const std::string &wanted = line.arguments.front();
    const std::optional<Endpoint> given = parseEndpoint(wanted);
    if (given) {
      endpoint = *given;
    } else {
      const auto hosts = session->hosts().hosts(endpoint);
      if (!hosts.ok())
        return fail(hosts.status(), ExitUnreachable);
      const auto found = std::find_if(
          hosts->begin(), hosts->end(),
          [&wanted](const HostEntry &host) { return host.name == wanted; });
      if (found == hosts->end())
        return fail(absl::NotFoundError("no host has the name " + wanted),
                    ExitNo);
      endpoint = found->endpoint;
    }
  }
  const auto json = session->hosts().get(endpoint, "/dump");
  if (!json.ok())
    return fail(json.status(), ExitUnreachable);
  fmt::print("{}\n", json->dump(2));
  return ExitOk;
}

int routes(const CommandLine &line, Session *session) {
  const auto json = session->hosts().get(session->endpoint(), "/dump");
  if (!json.ok())
    return fail(json.status(), ExitUnreachable);
  const nlohmann::json &routes = json->at("routes");
  if (line.json) {
    fmt::print("{}\n", routes.dump(2));
    return ExitOk;
  }
  fmt::print("{:<22} {:<14} {:>8} {:<7} {:>9} {:>9}  {}\n", "ROUTE", "OWNER",
             "DEADLINE", "REPEAT", "COMPLETE", "ATTAINED", "STAGES");
  for (const auto &item : routes.items()) {
    std::string stages;
    for (const nlohmann::json &stage : item.value().at("stages")) {
      if (!stages.empty())
        stages += " > ";
      stages += stage.at("name").get<std::string>();
    }
    const nlohmann::json &route = item.value();
    fmt::print("{:<22} {:<14} {:>5} ms {:<7} {:>9} {:>9}  {}\n", item.key(),
               route.at("owner").get<std::string>(),
               route.at("deadline_ms").get<double>(),
               route.at("repeat").get<std::string>(),
               route.at("outcomes").at("complete").get<std::int64_t>(),
               route.at("attained").get<std::int64_t>(), stages);
  }
  return ExitOk;
}

int history(const CommandLine &line, Session *session) {
  const Publisher::HeadReading reading = session->publisher().readHead();
  if (!reading.ok)
    return fail(absl::UnavailableError(reading.detail), ExitUnreachable);
  if (line.json) {
    fmt::print(
        "{}\n",
        nlohmann::json::parse(encodeHead(reading.head)).at("history").dump(2));
    return ExitOk;
  }
  for (const PublishRecord &record : reading.head.history)
    fmt::print("{:>6}  {}  {:<16} {}\n", record.generation,
               shownTime(record.time), record.author, record.change);
  return ExitOk;
}

// What the live hosts say of their work at an upstream.
struct Clearance {
  std::int64_t inFlight = 0;
  std::vector<std::string> busy;
  std::vector<std::string> silent;

  bool isClear() const { return busy.empty() && silent.empty(); }
};

absl::StatusOr<Clearance> askClearance(Session *session,
                                       const std::string &upstream,
                                       std::uint64_t generation) {
  const auto hosts = session->hosts().hosts(session->endpoint());
  if (!hosts.ok())
    return hosts.status();
  Clearance clearance;
  for (const HostEntry &host : *hosts) {
    if (!host.isUp())
      continue;
    const auto status =
        session->hosts().get(host.endpoint, "/v1/operator/status");
    const auto work = session->hosts().get(
        host.endpoint, "/v1/operator/upstreams/" + upstream);
    if (!status.ok() || !work.ok()) {
      clearance.silent.push_back(host.name);
      continue;
    }
    const auto inFlight = work->at("in_flight").get<std::int64_t>();
    const auto runs =
        status->at("configuration").at("generation").get<std::uint64_t>();
    clearance.inFlight += inFlight;
    // A host that does not know of the drain yet may still send work.
    if (inFlight > 0 || runs < generation)
      clearance.busy.push_back(host.name);
  }
  return clearance;
}

int printClearance(const Clearance &clearance, bool json) {
  if (json) {
    fmt::print("{}\n", nlohmann::json{{"clear", clearance.isClear()},
                                      {"in_flight", clearance.inFlight},
                                      {"busy", clearance.busy},
                                      {"silent", clearance.silent}}
                           .dump(2));
    return clearance.isClear() ? ExitOk : ExitNo;
  }
  if (clearance.isClear())
    fmt::print("clear\n");
  for (const std::string &host : clearance.busy)
    fmt::print("not clear: {} has work there or has not heard yet\n", host);
  for (const std::string &host : clearance.silent)
    fmt::print("not clear: {} is silent\n", host);
  return clearance.isClear() ? ExitOk : ExitNo;
}

int setDrained(const CommandLine &line, Session *session, bool drained) {
  if (line.arguments.size() != 1)
    return usage(line);
  const std::string &upstream = line.arguments.front();
  const std::string id =
      line.publishId.empty() ? newPublishId() : line.publishId;
  const PublishResult result = session->publisher().setDrained(
      upstream, drained, id, line.author, wallNow());
  const int code = report(result, id, line.json && !line.wait);
  if (!drained || !line.wait || code != ExitOk)
    return code;
  Clearance clearance;
  for (int poll = 0; poll < MaxDrainPolls; ++poll) {
    const auto asked = askClearance(session, upstream, result.generation);
    if (!asked.ok())
      return fail(asked.status(), ExitUnreachable);
    clearance = *asked;
    if (clearance.isClear())
      break;
    std::this_thread::sleep_for(DrainPoll);
  }
  return printClearance(clearance, line.json);
}

int drain(const CommandLine &line, Session *session) {
  return setDrained(line, session, true);
}

int undrain(const CommandLine &line, Session *session) {
  return setDrained(line, session, false);
}

absl::StatusOr<std::string> readBody(const std::string &file) {
  if (!file.empty())
    return readFile(file);
  return std::string((std::istreambuf_iterator<char>(std::cin)),
                     std::istreambuf_iterator<char>());
}

int call(const CommandLine &line, Session *session) {
  if (line.arguments.size() != 1)
    return usage(line);
  const Organisation *organisation = session->organisation(line.organisation);
  if (organisation == nullptr)
    return fail(absl::NotFoundError("--organisation: the settings have no \"" +
                                    line.organisation + "\""),
                ExitUsage);
  absl::StatusOr<std::string> body = readBody(line.bodyFile);
  if (!body.ok())
    return fail(body.status(), ExitUsage);
  HttpCall request;
  request.method = "POST";
  request.path = "/v1/routes/" + line.arguments.front();
  request.body = *std::move(body);
  request.headers["Authorization"] = "Bearer " + organisation->token;
  request.answerTimeout = std::chrono::seconds(600);
  if (!line.key.empty())
    request.headers["Idempotency-Key"] = line.key;
  if (line.deadlineMillis > 0)
    request.headers["X-Deadline-Ms"] = std::to_string(line.deadlineMillis);
  if (line.stream)
    request.headers["Accept"] = "text/event-stream";
  const auto answer = callHttp(session->endpoint(), request);
  if (!answer.ok())
    return fail(answer.status(), ExitUnreachable);
  const auto outcome = answer->headers.find("X-Outcome");
  const std::string word =
      outcome == answer->headers.end() ? "" : outcome->second;
  if (line.json)
    fmt::print("{}\n", nlohmann::json{{"status", answer->status},
                                      {"outcome", word},
                                      {"body", answer->body}}
                           .dump(2, ' ', false,
                                 nlohmann::json::error_handler_t::replace));
  else
    fmt::print("{}{}", answer->body,
               answer->body.empty() || answer->body.back() == '\n' ? "" : "\n");
  return answer->status == 200 ? ExitOk : ExitNo;
}

int outcome(const CommandLine &line, Session *session) {
  if (line.arguments.size() != 1 || line.organisation.empty() ||
      line.route.empty())
    return usage(line);
  const std::string key =
      scopedKey(line.organisation, line.route, line.arguments.front());
  const std::size_t shard = ledgerShard(
      key, static_cast<std::size_t>(session->settings().ledgerShards));
  const KvReply reply = session->store()->call(
      {KvVerb::Get, ledgerPageKey(session->settings().keyPrefix, shard), "",
       0});
  if (reply.status != KvStatus::Ok)
    return fail(absl::UnavailableError("the key-value service can't be read"),
                ExitUnreachable);
  const auto page = decodePage(reply.revision == 0 ? "" : reply.value);
  if (!page.ok())
    return fail(page.status(), ExitUnreachable);
  const auto found = page->records.find(key);
  if (found == page->records.end()) {
    fmt::print("{}\n", line.json ? R"({"outcome": null})" : "no record");
    return ExitNo;
  }
  const LedgerRecord &record = found->second;
  const std::string word =
      record.outcome ? toString(*record.outcome) : "running or lost";
  if (line.json)
    fmt::print("{}\n", nlohmann::json{{"outcome", word},
                                      {"claimant", record.claimant},
                                      {"time", record.time.count()},
                                      {"answer", record.answer}}
                           .dump(2));
  else
    fmt::print("{} (claimed by {} at {})\n{}{}", word, record.claimant,
               shownTime(record.time), record.answer,
               record.answer.empty() ? "" : "\n");
  return ExitOk;
}

struct Entry {
  const char *name;
  int (*run)(const CommandLine &line, Session *session);
};

constexpr Entry Entries[] = {
    {"publish", publish}, {"status", status},   {"dump", dump},
    {"routes", routes},   {"history", history}, {"drain", drain},
    {"undrain", undrain}, {"call", call},       {"outcome", outcome},
};

std::optional<Settings> loadSettings(const std::string &file) {
  if (file.empty()) {
    fmt::print(stderr, "--settings FILE is required\n");
    return std::nullopt;
  }
  const absl::StatusOr<std::string> text = readFile(file);
  if (!text.ok()) {
    fmt::print(stderr, "{}\n", std::string(text.status().message()));
    return std::nullopt;
  }
  Faults faults;
  std::optional<Settings> settings = parseSettings(file, *text, &faults);
  for (const Fault &fault : faults)
    fmt::print(stderr, "{}\n", toString(fault));
  return settings;
}

} // namespace

int runCommand(const CommandLine &line) {
  if (line.help) {
    fmt::print("{}", helpText(line.command));
    return ExitOk;
  }
  if (line.command == "check")
    return check(line);
  for (const Entry &entry : Entries) {
    if (line.command != entry.name)
      continue;
    std::optional<Settings> settings = loadSettings(line.settingsFile);
    if (!settings)
      return ExitUsage;
    Session session(*std::move(settings), line);
    return entry.run(line, &session);
  }
  fmt::print(stderr, "no command has the name \"{}\"\n", line.command);
  return usage(CommandLine());
}

} // namespace auburnspring
