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

constexpr auto DrainPollInterval = std::chrono::milliseconds(200);
constexpr int MaxDrainPolls = 1500;

WallTime wallNow() {
  return std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string newPublishId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

std::string formatTime(WallTime time) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}",
                     fmt::gmtime(static_cast<std::time_t>(time.count())));
}

int printError(const absl::Status &status, int code) {
  fmt::print(stderr, "{}\n", std::string(status.message()));
  return code;
}

int printUsage(const CommandLine &line) {
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

// The settings and the clients that are shared by most commands.
class CommandContext {
public:
  explicit CommandContext(Settings settings, const CommandLine &line)
      : settings_(std::move(settings)), store_(settings_.keyValueEndpoint),
        hostClient_(settings_.operatorToken) {
    endpoint_ = settings_.listen;
    if (!line.host.empty())
      endpoint_ = parseEndpoint(line.host).value_or(Endpoint());
  }

  const Settings &settings() const { return settings_; }
  const Endpoint &endpoint() const { return endpoint_; }
  EtcdStore *store() { return &store_; }
  const HostClient &hostClient() const { return hostClient_; }

  Publisher publisher() {
    Publisher::Options options;
    options.keyPrefix = settings_.keyPrefix;
    options.waitBeforeRetry = [](int attempt) {
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
  HostClient hostClient_;
  Endpoint endpoint_;
};

int check(const CommandLine &line) {
  if (line.arguments.empty())
    return printUsage(line);
  const auto files = collectRouteFiles(line.arguments);
  if (!files.ok())
    return printError(files.status(), ExitUsage);
  Faults faults;
  const RouteTable routes = checkRouteFiles(*files, &faults);
  printFaults(faults, line.json);
  if (!line.json)
    fmt::print("{} files, {} routes, {} faults\n", files->size(), routes.size(),
               faults.size());
  return faults.empty() ? ExitOk : ExitNegative;
}

int exitCodeFor(PublishStatus status) {
  switch (status) {
  case PublishStatus::Accepted:
  case PublishStatus::Unchanged:
    return ExitOk;
  case PublishStatus::Faulty:
    return ExitNegative;
  case PublishStatus::Conflict:
    return ExitConflict;
  case PublishStatus::NotAccepted:
    return ExitUnreachable;
  case PublishStatus::Unsettled:
    return ExitUnsettled;
  }
  return ExitNegative;
}

int printResult(const PublishResult &result, const std::string &id, bool json) {
  if (json) {
    nlohmann::json conflicts = nlohmann::json::array();
    for (const PublishRecord &conflict : result.conflicts)
      conflicts.push_back({{"generation", conflict.generation},
                           {"author", conflict.author},
                           {"change", conflict.change}});
    fmt::print("{}\n", nlohmann::json{{"status", toString(result.status)},
                                      {"generation", result.generation},
                                      {"publish_id", id},
                                      {"detail", result.detail},
                                      {"rivals", conflicts}}
                           .dump(2));
    return exitCodeFor(result.status);
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
    for (const PublishRecord &conflict : result.conflicts)
      fmt::print("  generation {} by {}: {}\n", conflict.generation,
                 conflict.author, conflict.change);
    break;
  case PublishStatus::NotAccepted:
    fmt::print("not accepted: {}\n",
               result.detail.empty() ? "the key-value service is unavailable"
                                     : result.detail);
    break;
  case PublishStatus::Unsettled:
    fmt::print("not settled: run it again with --id {}\n", id);
    break;
  case PublishStatus::Faulty:
    fmt::print("not accepted: the files have faults\n");
    break;
  }
  return exitCodeFor(result.status);
}

int publish(const CommandLine &line, CommandContext *context) {
  if (line.arguments.empty())
    return printUsage(line);
  const auto files = collectRouteFiles(line.arguments);
  if (!files.ok())
    return printError(files.status(), ExitUsage);
  PublishRequest request;
  request.files = *files;
  request.replaceAll = line.replaceAll;
  request.base = line.base;
  request.publishId = line.publishId.empty() ? newPublishId() : line.publishId;
  request.author = line.author;
  request.time = wallNow();
  return printResult(context->publisher().publish(request), request.publishId,
                     line.json);
}

int status(const CommandLine &line, CommandContext *context) {
  const auto hosts = context->hostClient().listHosts(context->endpoint());
  if (!hosts.ok())
    return printError(hosts.status(), ExitUnreachable);
  nlohmann::json list = nlohmann::json::array();
  for (const HostEntry &host : *hosts) {
    nlohmann::json entry = {{"host", host.name},
                            {"state", host.state},
                            {"data_centre", host.dataCentre},
                            {"address", toString(host.endpoint)}};
    const auto hostStatus =
        host.isUp() ? context->hostClient().getJson(host.endpoint,
                                                    "/v1/operator/status")
                    : absl::UnavailableError("down");
    entry["answers"] = hostStatus.ok();
    if (hostStatus.ok()) {
      entry["generation"] = hostStatus->at("configuration").at("generation");
      entry["ready"] = hostStatus->at("ready");
      entry["open_requests"] = hostStatus->at("open_requests");
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
    const bool responded = entry.at("answers").get<bool>();
    fmt::print("{:<16} {:<8} {:<12} {:<22} {:>10} {:<6} {:>5}\n",
               entry.at("host").get<std::string>(),
               entry.at("state").get<std::string>(),
               entry.at("data_centre").get<std::string>(),
               entry.at("address").get<std::string>(),
               responded ? entry.at("generation").dump() : "silent",
               responded ? entry.at("ready").dump() : "-",
               responded ? entry.at("open_requests").dump() : "-");
  }
  return ExitOk;
}

int dump(const CommandLine &line, CommandContext *context) {
  Endpoint endpoint = context->endpoint();
  if (!line.arguments.empty()) {
    const std::string &hostArgument = line.arguments.front();
    const std::optional<Endpoint> address = parseEndpoint(hostArgument);
    if (address) {
      endpoint = *address;
    } else {
      const auto hosts = context->hostClient().listHosts(endpoint);
      if (!hosts.ok())
        return printError(hosts.status(), ExitUnreachable);
      const auto found = std::find_if(hosts->begin(), hosts->end(),
                                      [&hostArgument](const HostEntry &host) {
                                        return host.name == hostArgument;
                                      });
      if (found == hosts->end())
        return printError(absl::NotFoundError("unknown host " + hostArgument),
                          ExitNegative);
      endpoint = found->endpoint;
    }
  }
  const auto json = context->hostClient().getJson(endpoint, "/dump");
  if (!json.ok())
    return printError(json.status(), ExitUnreachable);
  fmt::print("{}\n", json->dump(2));
  return ExitOk;
}

int routes(const CommandLine &line, CommandContext *context) {
  const auto json = context->hostClient().getJson(context->endpoint(), "/dump");
  if (!json.ok())
    return printError(json.status(), ExitUnreachable);
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

int history(const CommandLine &line, CommandContext *context) {
  const Publisher::HeadReadResult current = context->publisher().readHead();
  if (!current.ok)
    return printError(absl::UnavailableError(current.detail), ExitUnreachable);
  if (line.json) {
    fmt::print(
        "{}\n",
        nlohmann::json::parse(encodeHead(current.head)).at("history").dump(2));
    return ExitOk;
  }
  for (const PublishRecord &record : current.head.history)
    fmt::print("{:>6}  {}  {:<16} {}\n", record.generation,
               formatTime(record.time), record.author, record.change);
  return ExitOk;
}

// Progress of a drain as reported by the live hosts.
struct DrainProgress {
  std::int64_t inFlight = 0;
  std::vector<std::string> busy;
  std::vector<std::string> unresponsive;

  bool isComplete() const { return busy.empty() && unresponsive.empty(); }
};

absl::StatusOr<DrainProgress> queryDrainProgress(CommandContext *context,
                                                 const std::string &upstream,
                                                 std::uint64_t generation) {
  const auto hosts = context->hostClient().listHosts(context->endpoint());
  if (!hosts.ok())
    return hosts.status();
  DrainProgress progress;
  for (const HostEntry &host : *hosts) {
    if (!host.isUp())
      continue;
    const auto status =
        context->hostClient().getJson(host.endpoint, "/v1/operator/status");
    const auto upstreamStatus = context->hostClient().getJson(
        host.endpoint, "/v1/operator/upstreams/" + upstream);
    if (!status.ok() || !upstreamStatus.ok()) {
      progress.unresponsive.push_back(host.name);
      continue;
    }
    const auto inFlight = upstreamStatus->at("in_flight").get<std::int64_t>();
    const auto hostGeneration =
        status->at("configuration").at("generation").get<std::uint64_t>();
    progress.inFlight += inFlight;
    // A host on an older generation may still send requests to the upstream.
    if (inFlight > 0 || hostGeneration < generation)
      progress.busy.push_back(host.name);
  }
  return progress;
}

int printDrainProgress(const DrainProgress &progress, bool json) {
  if (json) {
    fmt::print("{}\n", nlohmann::json{{"clear", progress.isComplete()},
                                      {"in_flight", progress.inFlight},
                                      {"busy", progress.busy},
                                      {"silent", progress.unresponsive}}
                           .dump(2));
    return progress.isComplete() ? ExitOk : ExitNegative;
  }
  if (progress.isComplete())
    fmt::print("clear\n");
  for (const std::string &host : progress.busy)
    fmt::print("not clear: {} has requests in flight or an older generation\n",
               host);
  for (const std::string &host : progress.unresponsive)
    fmt::print("not clear: {} does not respond\n", host);
  return progress.isComplete() ? ExitOk : ExitNegative;
}

int setDrained(const CommandLine &line, CommandContext *context, bool drained) {
  if (line.arguments.size() != 1)
    return printUsage(line);
  const std::string &upstream = line.arguments.front();
  const std::string id =
      line.publishId.empty() ? newPublishId() : line.publishId;
  const PublishResult result = context->publisher().setDrained(
      upstream, drained, id, line.author, wallNow());
  const int code = printResult(result, id, line.json && !line.wait);
  if (!drained || !line.wait || code != ExitOk)
    return code;
  DrainProgress progress;
  for (int poll = 0; poll < MaxDrainPolls; ++poll) {
    const auto polled =
        queryDrainProgress(context, upstream, result.generation);
    if (!polled.ok())
      return printError(polled.status(), ExitUnreachable);
    progress = *polled;
    if (progress.isComplete())
      break;
    std::this_thread::sleep_for(DrainPollInterval);
  }
  return printDrainProgress(progress, line.json);
}

int drain(const CommandLine &line, CommandContext *context) {
  return setDrained(line, context, true);
}

int undrain(const CommandLine &line, CommandContext *context) {
  return setDrained(line, context, false);
}

absl::StatusOr<std::string> readBody(const std::string &file) {
  if (!file.empty())
    return readFile(file);
  return std::string((std::istreambuf_iterator<char>(std::cin)),
                     std::istreambuf_iterator<char>());
}

int call(const CommandLine &line, CommandContext *context) {
  if (line.arguments.size() != 1)
    return printUsage(line);
  const Organisation *organisation = context->organisation(line.organisation);
  if (organisation == nullptr)
    return printError(
        absl::NotFoundError("--organisation: the settings do not define \"" +
                            line.organisation + "\""),
        ExitUsage);
  absl::StatusOr<std::string> body = readBody(line.bodyFile);
  if (!body.ok())
    return printError(body.status(), ExitUsage);
  HttpCall request;
  request.method = "POST";
  request.path = "/v1/routes/" + line.arguments.front();
  request.body = *std::move(body);
  request.headers["Authorization"] = "Bearer " + organisation->token;
  request.responseTimeout = std::chrono::seconds(600);
  if (!line.key.empty())
    request.headers["Idempotency-Key"] = line.key;
  if (line.deadlineMillis > 0)
    request.headers["X-Deadline-Ms"] = std::to_string(line.deadlineMillis);
  if (line.stream)
    request.headers["Accept"] = "text/event-stream";
  const auto response = callHttp(context->endpoint(), request);
  if (!response.ok())
    return printError(response.status(), ExitUnreachable);
  const auto outcome = response->headers.find("X-Outcome");
  const std::string outcomeName =
      outcome == response->headers.end() ? "" : outcome->second;
  if (line.json)
    fmt::print("{}\n", nlohmann::json{{"status", response->status},
                                      {"outcome", outcomeName},
                                      {"body", response->body}}
                           .dump(2, ' ', false,
                                 nlohmann::json::error_handler_t::replace));
  else
    fmt::print("{}{}", response->body,
               response->body.empty() || response->body.back() == '\n' ? ""
                                                                       : "\n");
  return response->status == 200 ? ExitOk : ExitNegative;
}

int outcome(const CommandLine &line, CommandContext *context) {
  if (line.arguments.size() != 1 || line.organisation.empty() ||
      line.route.empty())
    return printUsage(line);
  const std::string key =
      scopedKey(line.organisation, line.route, line.arguments.front());
  const std::size_t shard = ledgerShard(
      key, static_cast<std::size_t>(context->settings().ledgerShards));
  const KvReply reply = context->store()->call(
      {KvVerb::Get, ledgerPageKey(context->settings().keyPrefix, shard), "",
       0});
  if (reply.status != KvStatus::Ok)
    return printError(
        absl::UnavailableError("the key-value service can't be read"),
        ExitUnreachable);
  const auto page = decodePage(reply.revision == 0 ? "" : reply.value);
  if (!page.ok())
    return printError(page.status(), ExitUnreachable);
  const auto found = page->records.find(key);
  if (found == page->records.end()) {
    fmt::print("{}\n", line.json ? R"({"outcome": null})" : "no record");
    return ExitNegative;
  }
  const LedgerRecord &record = found->second;
  const std::string outcomeName =
      record.outcome ? toString(*record.outcome) : "running or lost";
  if (line.json)
    fmt::print("{}\n", nlohmann::json{{"outcome", outcomeName},
                                      {"claimant", record.claimant},
                                      {"time", record.time.count()},
                                      {"answer", record.response}}
                           .dump(2));
  else
    fmt::print("{} (claimed by {} at {})\n{}{}", outcomeName, record.claimant,
               formatTime(record.time), record.response,
               record.response.empty() ? "" : "\n");
  return ExitOk;
}

struct CommandHandler {
  const char *name;
  int (*run)(const CommandLine &line, CommandContext *context);
};

constexpr CommandHandler CommandHandlers[] = {
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
  for (const CommandHandler &handler : CommandHandlers) {
    if (line.command != handler.name)
      continue;
    std::optional<Settings> settings = loadSettings(line.settingsFile);
    if (!settings)
      return ExitUsage;
    CommandContext context(*std::move(settings), line);
    return handler.run(line, &context);
  }
  fmt::print(stderr, "unknown command \"{}\"\n", line.command);
  return printUsage(CommandLine());
}

} // namespace auburnspring
