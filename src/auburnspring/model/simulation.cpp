#include "auburnspring/model/simulation.h"

#include "auburnspring/publishing/publisher.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration NotSentDelay = std::chrono::milliseconds(1);
constexpr WallTime WallStart{1700000000};

std::string hostName(std::size_t index) {
  return fmt::format("entry-{}", index + 1);
}

// Incarnations increase within a host and differ between hosts.
std::uint64_t nextIncarnation(std::size_t index, std::uint64_t current) {
  constexpr std::uint64_t Stride = 10000;
  return (current / Stride + 1) * Stride + index;
}

std::size_t hostIndex(const std::string &name) {
  return static_cast<std::size_t>(std::stoul(name.substr(6))) - 1;
}

} // namespace

Simulation::Simulation(Options options)
    : options_(std::move(options)), keyValue_(&queue_, options_.seed + 1),
      random_(options_.seed), hosts_(options_.hosts) {}

Instant Simulation::instant() const {
  const auto elapsed = queue_.now().time_since_epoch();
  return {queue_.now(),
          WallStart + std::chrono::duration_cast<WallTime>(elapsed)};
}

void Simulation::addUpstream(FakeUpstream::Options options) {
  options.seed = random_();
  const std::string name = options.name;
  upstreams_[name] =
      std::make_unique<FakeUpstream>(std::move(options), &queue_);
}

FakeUpstream &Simulation::upstream(const std::string &name) {
  return *upstreams_.at(name);
}

std::vector<FakeUpstream *> Simulation::upstreams() {
  std::vector<FakeUpstream *> all;
  for (const auto &[name, upstream] : upstreams_)
    all.push_back(upstream.get());
  return all;
}

std::vector<FakeUpstream *> Simulation::pool(const std::string &name) {
  std::vector<FakeUpstream *> found;
  for (const auto &[key, upstream] : upstreams_)
    if (upstream->options().pool == name)
      found.push_back(upstream.get());
  return found;
}

EntryHost::Options Simulation::hostOptions(std::size_t index,
                                           std::uint64_t incarnation) const {
  EntryHost::Options options;
  options.host = hostName(index);
  options.dataCentre = fmt::format("dc-{}", index % options_.dataCentres + 1);
  options.incarnation = incarnation;
  options.seed = options_.seed * 1000 + index * 10 + incarnation;
  options.maxRequests = 4096;
  options.ledger.host = options.host;
  options.ledger.incarnation = incarnation;
  options.ledger.seed = options.seed + 1;
  options.membership.self.host = options.host;
  options.membership.self.dataCentre = options.dataCentre;
  options.membership.self.incarnation = incarnation;
  options.membership.seed = options.seed + 2;
  options.configuration.seed = options.seed + 3;
  for (std::size_t i = 0; i < options_.hosts; ++i)
    if (i != index)
      options.membership.seeds.push_back({hostName(i), Endpoint()});
  if (options_.adjustOptions)
    options_.adjustOptions(&options);
  return options;
}

void Simulation::start() {
  snapshotHostList();
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    restart(i);
}

void Simulation::restart(std::size_t index) {
  HostSlot &slot = hosts_[index];
  slot.incarnation = nextIncarnation(index, slot.incarnation);
  slot.frozen = false;
  slot.deferredEvents.clear();
  slot.records.clear();
  slot.attempts.clear();
  slot.tickAt = TimePoint::max();
  slot.host = options_.makeHost(hostOptions(index, slot.incarnation));
  pollHostList(index, slot.incarnation);
  pollLoadReports(index, slot.incarnation);
  deliver(index, slot.incarnation, Tick{});
}

void Simulation::kill(std::size_t index) {
  HostSlot &slot = hosts_[index];
  slot.host.reset();
  slot.incarnation = nextIncarnation(index, slot.incarnation);
}

void Simulation::freeze(std::size_t index) { hosts_[index].frozen = true; }

void Simulation::thaw(std::size_t index) {
  HostSlot &slot = hosts_[index];
  slot.frozen = false;
  const std::vector<Event> deferredEvents = std::move(slot.deferredEvents);
  slot.deferredEvents.clear();
  for (const Event &event : deferredEvents)
    deliver(index, slot.incarnation, event);
  deliver(index, slot.incarnation, Tick{});
}

void Simulation::stop(std::size_t index) {
  deliver(index, hosts_[index].incarnation, StopRequested{});
}

void Simulation::setLinkDown(std::size_t a, std::size_t b, bool down) {
  const auto link = std::make_pair(std::min(a, b), std::max(a, b));
  if (down)
    downLinks_.insert(link);
  else
    downLinks_.erase(link);
}

void Simulation::setHostListFaults(bool stuck, bool empty) {
  hostListStuck_ = stuck;
  hostListEmpty_ = empty;
}

void Simulation::deliver(std::size_t index, std::uint64_t incarnation,
                         Event event) {
  HostSlot &slot = hosts_[index];
  if (!slot.host || slot.incarnation != incarnation)
    return;
  if (slot.frozen) {
    slot.deferredEvents.push_back(std::move(event));
    return;
  }
  handle(index, std::move(event));
}

void Simulation::handle(std::size_t index, Event event) {
  Actions actions = hosts_[index].host->handle(std::move(event), instant());
  for (Action &action : actions)
    perform(index, action);
  if (hosts_[index].host)
    scheduleTick(index);
}

void Simulation::scheduleTick(std::size_t index) {
  HostSlot &slot = hosts_[index];
  // The production event loop waits at least 1 ms, too.
  const TimePoint due =
      std::max(slot.host->nextWake(),
               queue_.now() + Duration(std::chrono::milliseconds(1)));
  if (slot.tickAt <= due && slot.tickAt > queue_.now())
    return;
  slot.tickAt = due;
  queue_.at(due, [this, index, due, incarnation = slot.incarnation] {
    if (hosts_[index].tickAt == due)
      deliver(index, incarnation, Tick{});
  });
}

void Simulation::perform(std::size_t index, Action &action) {
  if (const auto *start = std::get_if<StartAttempt>(&action))
    return startAttempt(index, *start);
  if (const auto *cancel = std::get_if<CancelAttempt>(&action))
    return cancelAttempt(index, *cancel);
  if (const auto *response = std::get_if<RespondToCaller>(&action))
    return respondToCaller(index, *response);
  if (const auto *call = std::get_if<CallKeyValue>(&action))
    return callKeyValue(index, *call);
  if (auto *send = std::get_if<SendToPeer>(&action))
    return sendToPeer(index, std::move(*send));
  const auto *chunk = std::get_if<StreamToCaller>(&action);
  if (chunk == nullptr)
    return;
  const auto found = hosts_[index].records.find(chunk->request);
  if (found == hosts_[index].records.end())
    return;
  CallerRecord &record = records_[found->second];
  if (!record.firstTokenAt)
    record.firstTokenAt = queue_.now();
  record.streamed += chunk->text;
}

void Simulation::startAttempt(std::size_t index, const StartAttempt &action) {
  ++attemptsStarted;
  HostSlot &slot = hosts_[index];
  const std::uint64_t incarnation = slot.incarnation;
  const AttemptId id = action.attempt;
  slot.attempts[id] = action.upstream;
  const auto deliverDelayed = [this, index, incarnation](const Event &event) {
    queue_.after(options_.hostToUpstream, [this, index, incarnation, event] {
      receiveAttemptEvent(index, incarnation, event);
    });
  };
  // As in production, an attempt ends at its deadline, and silence ends none.
  queue_.at(action.deadline, [this, index, incarnation, id] {
    endAttempt(index, incarnation, id, FailureKind::ResponseLost, "timed out");
  });
  queue_.after(options_.hostToUpstream, [this, action, deliverDelayed, id] {
    const auto found = upstreams_.find(action.upstream);
    if (found != upstreams_.end() &&
        found->second->accept(action, deliverDelayed))
      return;
    queue_.after(NotSentDelay, [deliverDelayed, id] {
      deliverDelayed(
          AttemptFailed{id, FailureKind::NotSent, "refused", Usage()});
    });
  });
}

void Simulation::receiveAttemptEvent(std::size_t index,
                                     std::uint64_t incarnation,
                                     const Event &event) {
  HostSlot &slot = hosts_[index];
  if (slot.incarnation != incarnation)
    return;
  if (const auto *succeeded = std::get_if<AttemptSucceeded>(&event))
    slot.attempts.erase(succeeded->attempt);
  else if (const auto *failed = std::get_if<AttemptFailed>(&event))
    slot.attempts.erase(failed->attempt);
  deliver(index, incarnation, event);
}

// Closing the connection also cancels the attempt at the upstream.
void Simulation::endAttempt(std::size_t index, std::uint64_t incarnation,
                            const AttemptId &id, FailureKind kind,
                            const char *detail) {
  HostSlot &slot = hosts_[index];
  const auto found = slot.attempts.find(id);
  if (slot.incarnation != incarnation || found == slot.attempts.end())
    return;
  cancelAtUpstream(found->second, id);
  receiveAttemptEvent(index, incarnation,
                      AttemptFailed{id, kind, detail, Usage()});
}

void Simulation::cancelAtUpstream(const std::string &upstream,
                                  const AttemptId &id) {
  queue_.after(options_.hostToUpstream,
               [this, upstream, id] { upstreams_.at(upstream)->cancel(id); });
}

// The connection is closed, so that the attempt ends also if its upstream
// doesn't respond.
void Simulation::cancelAttempt(std::size_t index, const CancelAttempt &action) {
  const auto found = hosts_[index].attempts.find(action.attempt);
  if (found == hosts_[index].attempts.end())
    return;
  cancelAtUpstream(found->second, action.attempt);
  queue_.after(options_.hostToUpstream * 3,
               [this, index, incarnation = hosts_[index].incarnation,
                id = action.attempt] {
                 endAttempt(index, incarnation, id, FailureKind::Cancelled,
                            "cancelled");
               });
}

void Simulation::respondToCaller(std::size_t index,
                                 const RespondToCaller &action) {
  HostSlot &slot = hosts_[index];
  const auto found = slot.records.find(action.request);
  if (found == slot.records.end())
    return;
  CallerRecord &record = records_[found->second];
  ++record.responseCount;
  if (record.response)
    return;
  record.response = action;
  record.respondedAt = queue_.now() + options_.callerToHost;
  if (!record.firstTokenAt && action.outcome == Outcome::Complete)
    record.firstTokenAt = record.respondedAt;
}

void Simulation::callKeyValue(std::size_t index, const CallKeyValue &action) {
  const std::uint64_t incarnation = hosts_[index].incarnation;
  keyValue_.submit(
      action.operation, options_.keyValueTimeout,
      [this, index, incarnation, id = action.call](KvReply reply) {
        deliver(index, incarnation, KvReplyReceived{id, std::move(reply)});
      });
}

void Simulation::sendToPeer(std::size_t index, SendToPeer action) {
  ++peerMessages;
  if (options_.onSendToPeer)
    options_.onSendToPeer(index, action);
  const std::size_t to = hostIndex(action.host);
  if (to >= hosts_.size() ||
      downLinks_.count({std::min(index, to), std::max(index, to)}) > 0)
    return;
  queue_.after(options_.hostToHost,
               [this, index, to, message = std::move(action.message)] {
                 deliver(to, hosts_[to].incarnation,
                         PeerMessageReceived{hostName(index), message});
               });
}

void Simulation::snapshotHostList() {
  if (!hostListStuck_ || hostListHistory_.empty()) {
    HostList list;
    list.version = hostListHistory_.size() + 1;
    for (const auto &[name, upstream] : upstreams_)
      if (!upstream->faults.dead && !hostListEmpty_)
        list.upstreams.push_back(upstream->listed());
    hostListHistory_.emplace_back(queue_.now(), std::move(list));
  }
  queue_.after(options_.hostListInterval, [this] { snapshotHostList(); });
}

void Simulation::pollHostList(std::size_t index, std::uint64_t incarnation) {
  if (hosts_[index].incarnation != incarnation)
    return;
  const TimePoint visibleUntil = queue_.now() - options_.hostListLag;
  const HostList *visibleList = &hostListHistory_.front().second;
  for (const auto &[time, list] : hostListHistory_)
    if (time <= visibleUntil)
      visibleList = &list;
  deliver(index, incarnation, HostListRead{*visibleList});
  queue_.after(options_.hostListInterval, [this, index, incarnation] {
    pollHostList(index, incarnation);
  });
}

void Simulation::pollLoadReports(std::size_t index, std::uint64_t incarnation) {
  if (hosts_[index].incarnation != incarnation)
    return;
  for (const auto &[name, upstream] : upstreams_) {
    if (upstream->faults.dead || upstream->faults.frozen)
      continue;
    // The report ages by the network delay.
    queue_.after(options_.hostToUpstream,
                 [this, index, incarnation, report = upstream->report()] {
                   deliver(index, incarnation, LoadReported{report});
                 });
  }
  queue_.after(options_.loadReportInterval, [this, index, incarnation] {
    pollLoadReports(index, incarnation);
  });
}

std::uint64_t
Simulation::publish(const std::map<std::string, std::string> &files) {
  Publisher publisher({}, &keyValue_);
  PublishRequest request;
  request.files = files;
  request.publishId = fmt::format("publish-{}", ++publishCount_);
  request.author = "operator";
  const PublishResult result = publisher.publish(request);
  if (result.status != PublishStatus::Accepted)
    return 0;
  const auto bundle = publisher.readBundle();
  if (bundle.ok())
    routes_ = buildRoutes(*bundle).value();
  return result.generation;
}

std::size_t Simulation::call(std::size_t index, const std::string &route,
                             const std::string &organisation,
                             const std::string &key, const std::string &body,
                             bool stream, bool firstTry) {
  HostSlot &slot = hosts_[index];
  CallerRecord record;
  record.route = route;
  record.organisation = organisation;
  record.key = key;
  record.body = body;
  record.host = index;
  record.incarnation = slot.incarnation;
  record.sentAt = queue_.now();
  const std::size_t recordIndex = records_.size();
  if (slot.host) {
    record.request = slot.nextRequest++;
    slot.records[record.request] = recordIndex;
  }
  RequestArrived arrived;
  arrived.request = record.request;
  arrived.organisation = organisation;
  arrived.route = route;
  arrived.key = key;
  arrived.body = body;
  arrived.stream = stream;
  arrived.firstTry = firstTry;
  records_.push_back(std::move(record));
  queue_.after(options_.callerToHost,
               [this, index, arrived, incarnation = slot.incarnation] {
                 deliver(index, incarnation, arrived);
               });
  return recordIndex;
}

void Simulation::disconnectCaller(std::size_t recordIndex) {
  const CallerRecord &record = records_[recordIndex];
  deliver(record.host, record.incarnation, CallerDisconnected{record.request});
}

std::set<std::string> Simulation::versionsOf(const Stage &stage) const {
  std::set<std::string> versions;
  if (stage.kind != StageKind::Generate)
    return {""};
  for (const auto &[name, upstream] : upstreams_)
    if (upstream->options().pool == stage.pool)
      versions.insert(upstream->options().version);
  return versions;
}

std::vector<std::string>
Simulation::expectedResponses(const std::string &route,
                              const std::string &body) const {
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return {};
  std::vector<std::string> contexts = {""};
  for (const Stage &stage : found->second->stages) {
    std::vector<std::string> results;
    for (const std::string &context : contexts) {
      for (const std::string &version : versionsOf(stage)) {
        std::vector<std::string> parts;
        for (std::uint32_t part = 0; part < stage.parts; ++part)
          parts.push_back(stageResult(stage.kind, body, context, part,
                                      stage.maxTokens, version));
        results.push_back(parts.size() == 1 ? parts.front()
                                            : nlohmann::json(parts).dump());
      }
    }
    contexts = std::move(results);
  }
  return contexts;
}

TimePoint Simulation::sentAt(const AttemptId &id) const {
  for (const CallerRecord &record : records_)
    if (record.request == id.request && record.incarnation == id.incarnation)
      return record.sentAt;
  return TimePoint::max();
}

void Simulation::checkRecord(const CallerRecord &record,
                             std::vector<std::string> *messages) const {
  const std::string label =
      fmt::format("{} {} key {} at entry-{}", record.route, record.body,
                  record.key, record.host + 1);
  if (record.responseCount > 1)
    messages->push_back(label + ": received more than one response");
  const std::vector<std::string> expected =
      expectedResponses(record.route, record.body);
  const auto isExpected = [&expected](const auto &matches) {
    return expected.empty() ||
           std::any_of(expected.begin(), expected.end(), matches);
  };
  if (!isExpected([&record](const std::string &text) {
        return text.compare(0, record.streamed.size(), record.streamed) == 0;
      }))
    messages->push_back(label +
                        ": the streamed text begins no expected response");
  if (!record.response)
    return;
  const RespondToCaller &response = *record.response;
  if (response.outcome == Outcome::Complete) {
    if (!isExpected([&response](const std::string &text) {
          return text == response.body;
        }))
      messages->push_back(label +
                          ": the response differs from the expected one");
    if (!record.streamed.empty() &&
        response.body.compare(0, record.streamed.size(), record.streamed) != 0)
      messages->push_back(
          label + ": the streamed text is not a prefix of the response");
  }
  if (response.outcome != Outcome::NotRun)
    return;
  for (const auto &[name, upstream] : upstreams_) {
    const auto execution = upstream->firstExecutionByKey.find(
        executionKey(record.organisation, record.route, record.key));
    if (record.key.empty() || execution == upstream->firstExecutionByKey.end())
      continue;
    // An execution by a later call does not make this call's outcome false.
    if (execution->second.at < record.respondedAt &&
        sentAt(execution->second.attempt) < record.sentAt)
      messages->push_back(fmt::format(
          "{}: reported not-run, but its key had been executed by {}", label,
          name));
  }
  for (const auto &[name, upstream] : upstreams_)
    for (const AttemptId &id : upstream->executions)
      if (id.request == record.request && id.incarnation == record.incarnation)
        messages->push_back(fmt::format(
            "{}: reported not-run, but was executed by {}", label, name));
}

std::vector<std::string> Simulation::violations() const {
  std::vector<std::string> messages;
  std::map<std::string, int> executionsByPoolKey;
  for (const auto &[name, upstream] : upstreams_)
    for (const auto &[key, count] : upstream->executionsByKey)
      executionsByPoolKey[upstream->options().pool + "/" + key] += count;
  for (const auto &[key, count] : executionsByPoolKey)
    if (count > 1)
      messages.push_back(fmt::format("{} was executed {} times", key, count));
  for (const CallerRecord &record : records_)
    checkRecord(record, &messages);
  return messages;
}

} // namespace auburnspring
