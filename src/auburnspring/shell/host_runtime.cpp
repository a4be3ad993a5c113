#include "auburnspring/shell/host_runtime.h"

#include "auburnspring/base/digest.h"
#include "auburnspring/base/log.h"
#include "auburnspring/store/host_list_client.h"

#include <algorithm>
#include <chrono>

namespace auburnspring {

namespace {

constexpr Duration MaxTimerWait = std::chrono::milliseconds(50);
constexpr Duration MinTimerWait = std::chrono::milliseconds(1);
constexpr Duration StopPollInterval = std::chrono::milliseconds(20);

Instant readClock() {
  Instant now;
  now.steady =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  now.wall = std::chrono::duration_cast<WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
  return now;
}

std::uint64_t newIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

EntryHost::Options hostOptions(const Settings &settings,
                               std::uint64_t incarnation) {
  EntryHost::Options options;
  options.host = settings.host;
  options.dataCentre = settings.dataCentre;
  options.incarnation = incarnation;
  options.seed = stableHash(settings.host, incarnation);
  options.maxRequests = static_cast<std::size_t>(settings.maxRequests);
  options.ledger.host = settings.host;
  options.ledger.incarnation = incarnation;
  options.ledger.shard.keyPrefix = settings.keyPrefix;
  options.ledger.writesPerSecond =
      static_cast<double>(settings.ledgerWritesPerSecond);
  options.ledger.shards = static_cast<std::size_t>(settings.ledgerShards);
  options.ledger.shard.retention =
      std::chrono::duration_cast<WallTime>(settings.ledgerRetention);
  options.ledger.maxStoredResponseBytes =
      static_cast<std::size_t>(settings.maxStoredResponseBytes);
  options.ledger.seed = options.seed + 1;
  options.membership.self.host = settings.host;
  options.membership.self.endpoint = settings.peerListen;
  options.membership.self.callerEndpoint = settings.listen;
  options.membership.self.dataCentre = settings.dataCentre;
  options.membership.self.incarnation = incarnation;
  options.membership.seeds = settings.seeds;
  options.membership.seed = options.seed + 2;
  options.configuration.keyPrefix = settings.keyPrefix;
  options.configuration.watcherInterval = settings.headPollInterval;
  options.configuration.seed = options.seed + 3;
  return options;
}

} // namespace

HostRuntime::HostRuntime(Settings settings)
    : settings_(std::move(settings)), incarnation_(newIncarnation()),
      host_(hostOptions(settings_, incarnation_)),
      store_(settings_.keyValueEndpoint) {}

HostRuntime::~HostRuntime() = default;

absl::Status HostRuntime::start() {
  KeyValueExecutor::Options executorOptions;
  executorOptions.callsPerSecond = settings_.keyValueCallsPerSecond;
  executorOptions.burst =
      std::max<std::int64_t>(4, settings_.keyValueCallsPerSecond / 2);
  keyValue_ = std::make_unique<KeyValueExecutor>(
      executorOptions, &store_, [this](KvCallId call, KvReply reply) {
        deliver(KvReplyReceived{call, std::move(reply)});
      });
  AttemptRunner::Options attemptOptions;
  attemptOptions.maxThreads = static_cast<int>(settings_.maxRequests) * 2;
  attempts_ = std::make_unique<AttemptRunner>(
      attemptOptions, [this](Event event) { deliver(std::move(event)); });
  PeerMesh::Options meshOptions;
  meshOptions.host = settings_.host;
  meshOptions.incarnation = incarnation_;
  meshOptions.listen = settings_.peerListen;
  meshOptions.peerKey = settings_.peerKey;
  mesh_ = std::make_unique<PeerMesh>(
      meshOptions, [this](const std::string &from, PeerMessage message) {
        deliver(PeerMessageReceived{from, std::move(message)});
      });
  if (absl::Status status = mesh_->start(); !status.ok())
    return status;
  threads_.emplace_back([this] { runTimer(); });
  threads_.emplace_back([this] { pollHostList(); });
  threads_.emplace_back([this] { pollLoadReports(); });
  return absl::OkStatus();
}

bool HostRuntime::stop() {
  deliver(StopRequested{});
  const TimePoint stopDeadline = readClock().steady + settings_.stopTimeout;
  while (host_.openRequests() > 0 && readClock().steady < stopDeadline)
    std::this_thread::sleep_for(StopPollInterval);
  const bool clean = host_.openRequests() == 0;
  stopping_ = true;
  wake_.notify_all();
  for (std::thread &thread : threads_)
    thread.join();
  threads_.clear();
  if (clean)
    attempts_->join();
  keyValue_->stop();
  mesh_->stop();
  return clean;
}

RequestId HostRuntime::submit(RequestArrived request) {
  const RequestId id = nextRequest_++;
  request.request = id;
  responses_.addRequest(id);
  deliver(std::move(request));
  return id;
}

ResponseDispatcher::Delivery HostRuntime::wait(RequestId request,
                                               Duration timeout) {
  return responses_.wait(request, timeout);
}

void HostRuntime::finish(RequestId request, bool callerDisconnected) {
  responses_.removeRequest(request);
  if (callerDisconnected)
    deliver(CallerDisconnected{request});
}

nlohmann::json HostRuntime::dump() const {
  nlohmann::json json = host_.dump(readClock());
  if (keyValue_) {
    const KeyValueExecutor::Counters calls = keyValue_->counters();
    json["key_value"] = {{"made", calls.issued},
                         {"refused", calls.refused},
                         {"failed", calls.failed}};
  }
  if (mesh_) {
    const PeerMesh::Counters mesh = mesh_->counters();
    json["peer_mesh"] = {{"messages_sent", mesh.messagesSent},
                         {"bytes_sent", mesh.bytesSent},
                         {"messages_received", mesh.messagesReceived},
                         {"bytes_received", mesh.bytesReceived},
                         {"refused", mesh.messagesRejected}};
  }
  return json;
}

std::size_t HostRuntime::inFlightAt(const std::string &upstream) const {
  return host_.inFlightAt(upstream);
}

void HostRuntime::deliver(Event event) {
  const bool isTick = std::holds_alternative<Tick>(event);
  Actions actions = host_.handle(std::move(event), readClock());
  for (Action &action : actions)
    perform(std::move(action));
  if (!isTick)
    wakeTimer();
}

void HostRuntime::perform(Action action) {
  std::visit([this](auto &typed) { execute(std::move(typed)); }, action);
}

void HostRuntime::execute(StartAttempt &&action) {
  logEvent(LogLevel::Debug, "attempt_started",
           {{"attempt", toString(action.attempt)},
            {"upstream", action.upstream},
            {"route", action.route}});
  attempts_->start(std::move(action));
}

void HostRuntime::execute(const CancelAttempt &action) {
  attempts_->cancel(action);
}

void HostRuntime::execute(const RespondToCaller &action) {
  logEvent(LogLevel::Info, "request_answered",
           {{"request", action.request},
            {"outcome", toString(action.outcome)},
            {"reason", action.reason}});
  responses_.deliver(action);
}

void HostRuntime::execute(const StreamToCaller &action) {
  responses_.deliver(action);
}

void HostRuntime::execute(CallKeyValue &&action) {
  keyValue_->submit(std::move(action));
}

void HostRuntime::execute(SendToPeer &&action) {
  mesh_->send(action.host, action.endpoint, std::move(action.message));
}

void HostRuntime::execute(const WriteLogEntry &action) {
  std::string text;
  for (const LogEntryField &field : action.fields) {
    if (!text.empty())
      text += ' ';
    text += std::string(field.key) + "=" + field.value;
  }
  const LogLevel level =
      action.level == LogEntryLevel::Warning ? LogLevel::Warning
      : action.level == LogEntryLevel::Info  ? LogLevel::Info
                                             : LogLevel::Debug;
  logEvent(level, action.event, {{"detail", text}});
}

void HostRuntime::wakeTimer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    timerWoken_ = true;
  }
  wake_.notify_all();
}

void HostRuntime::runTimer() {
  while (!stopping_) {
    deliver(Tick{});
    const TimePoint now = readClock().steady;
    const TimePoint due = std::min(host_.nextWake(), now + MaxTimerWait);
    const Duration wait = std::max(MinTimerWait, Duration(due - now));
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, wait, [this] { return timerWoken_ || stopping_; });
    timerWoken_ = false;
  }
}

bool HostRuntime::sleepFor(Duration duration) {
  const TimePoint until = readClock().steady + duration;
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_ && readClock().steady < until)
    wake_.wait_for(lock, std::min<Duration>(std::chrono::milliseconds(50),
                                            until - readClock().steady));
  return !stopping_;
}

void HostRuntime::pollHostList() {
  HostListClient client(settings_.hostListEndpoint);
  bool failing = false;
  do {
    absl::StatusOr<std::optional<HostList>> result = client.fetch();
    if (result.ok() == failing) {
      failing = !result.ok();
      logEvent(failing ? LogLevel::Warning : LogLevel::Info,
               failing ? "host_list_unreachable" : "host_list_reachable",
               {{"detail", std::string(result.status().message())}});
    }
    if (!result.ok() || !result->has_value())
      continue;
    deliver(HostListRead{std::move(**result)});
  } while (sleepFor(settings_.hostListInterval));
}

// Polls the upstreams one at a time at a fixed rate, so that the load does not
// grow with their number; the age of the reports does.
void HostRuntime::pollLoadReports() {
  std::vector<ListedUpstream> unpolled;
  TimePoint roundStart{};
  while (!stopping_) {
    if (unpolled.empty()) {
      const TimePoint next = roundStart + settings_.loadReportInterval;
      const TimePoint now = readClock().steady;
      if (next > now && !sleepFor(next - now))
        return;
      roundStart = readClock().steady;
      unpolled = host_.polledUpstreams();
    }
    if (!unpolled.empty()) {
      absl::StatusOr<LoadReport> report = fetchLoadReport(unpolled.back());
      unpolled.pop_back();
      if (report.ok())
        deliver(LoadReported{*std::move(report)});
    }
    if (!sleepFor(std::chrono::seconds(1) / settings_.loadPollsPerSecond))
      return;
  }
}

} // namespace auburnspring
