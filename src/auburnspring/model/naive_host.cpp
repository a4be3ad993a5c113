#include "auburnspring/model/naive_host.h"

#include <algorithm>
#include <map>

namespace auburnspring {

namespace {

constexpr std::uint32_t MaxAttempts = 3;
constexpr Duration TickInterval = std::chrono::milliseconds(100);

class NaiveHost : public HostUnderTest {
public:
  explicit NaiveHost(EntryHost::Options options)
      : options_(std::move(options)), configuration_(options_.configuration) {}

  Actions handle(Event event, Instant now) override {
    Step step;
    step.now = now;
    if (auto *arrived = std::get_if<RequestArrived>(&event))
      start(std::move(*arrived), &step);
    else if (auto *succeeded = std::get_if<AttemptSucceeded>(&event))
      succeed(*succeeded, &step);
    else if (auto *failed = std::get_if<AttemptFailed>(&event))
      fail(*failed, &step);
    else if (auto *list = std::get_if<HostListRead>(&event))
      updatePools(list->list);
    else if (auto *reply = std::get_if<KvReplyReceived>(&event))
      configuration_.onReply(reply->call, reply->reply, &step);
    else if (std::holds_alternative<Tick>(event))
      tick(&step);
    if (std::optional<RouteTable> accepted = configuration_.takeAccepted())
      routes_ = std::move(*accepted);
    return std::move(step.actions);
  }

  TimePoint nextWake() const override { return nextTick_; }
  bool isReady() const override { return configuration_.isReady(); }
  nlohmann::json dump(Instant /*now*/) const override {
    return {{"configuration", configuration_.dump()},
            {"members", nlohmann::json::array()}};
  }

private:
  struct PendingRequest {
    RequestArrived arrived;
    std::shared_ptr<const Route> route;
    TimePoint deadline;
    std::uint32_t stage = 0;
    std::string context;
    std::vector<std::string> results;
    std::vector<bool> done;
    std::vector<std::uint32_t> attempts;
  };

  void start(RequestArrived arrived, Step *step) {
    const auto found = routes_.find(arrived.route);
    PendingRequest pending;
    pending.arrived = std::move(arrived);
    const RequestId id = pending.arrived.request;
    if (found == routes_.end())
      return respond(id, Outcome::Rejected, "", step);
    pending.route = found->second;
    pending.deadline = step->now.steady + pending.route->deadline;
    pending_[id] = std::move(pending);
    beginStage(id, step);
  }

  void beginStage(RequestId id, Step *step) {
    PendingRequest &pending = pending_[id];
    const auto parts =
        static_cast<std::size_t>(pending.route->stages[pending.stage].parts);
    pending.results.assign(parts, "");
    pending.done.assign(parts, false);
    pending.attempts.assign(parts, 0);
    for (std::uint32_t part = 0; part < parts; ++part)
      dispatch(id, part, step);
  }

  void dispatch(RequestId id, std::uint32_t part, Step *step) {
    PendingRequest &pending = pending_[id];
    const Stage &stage = pending.route->stages[pending.stage];
    const std::vector<ListedUpstream> &pool = pools_[stage.pool];
    if (pool.empty())
      return;
    const ListedUpstream &upstream =
        pool[nextIndex_[stage.pool]++ % pool.size()];
    StartAttempt attempt;
    attempt.attempt = {options_.incarnation, id, pending.stage, part,
                       ++pending.attempts[part]};
    attempt.upstream = upstream.name;
    attempt.endpoint = upstream.endpoint;
    attempt.kind = stage.kind;
    attempt.route = pending.route->name;
    attempt.organisation = pending.arrived.organisation;
    attempt.model = stage.model;
    attempt.input = pending.arrived.body;
    attempt.context = pending.context;
    attempt.part = part;
    attempt.parts = static_cast<std::uint32_t>(pending.results.size());
    attempt.maxTokens = stage.maxTokens;
    attempt.deadline = pending.deadline;
    attempt.atMostOnce = pending.route->runsAtMostOnce(stage);
    attempt.key = pending.arrived.key;
    step->addAction(std::move(attempt));
  }

  void succeed(const AttemptSucceeded &event, Step *step) {
    const auto found = pending_.find(event.attempt.request);
    if (found == pending_.end() || found->second.stage != event.attempt.stage)
      return;
    PendingRequest &pending = found->second;
    pending.results[event.attempt.part] = event.text;
    pending.done[event.attempt.part] = true;
    if (!std::all_of(pending.done.begin(), pending.done.end(),
                     [](bool done) { return done; }))
      return;
    pending.context = pending.results.size() == 1
                          ? pending.results.front()
                          : nlohmann::json(pending.results).dump();
    if (++pending.stage < pending.route->stages.size())
      return beginStage(event.attempt.request, step);
    respond(event.attempt.request, Outcome::Complete,
            std::string(pending.context), step);
  }

  void fail(const AttemptFailed &event, Step *step) {
    const auto found = pending_.find(event.attempt.request);
    if (found == pending_.end() || found->second.stage != event.attempt.stage)
      return;
    if (found->second.attempts[event.attempt.part] >= MaxAttempts)
      return respond(event.attempt.request, Outcome::NotRun, "", step);
    dispatch(event.attempt.request, event.attempt.part, step);
  }

  void respond(RequestId id, Outcome outcome, std::string body, Step *step) {
    pending_.erase(id);
    RespondToCaller action;
    action.request = id;
    action.outcome = outcome;
    action.body = std::move(body);
    step->addAction(std::move(action));
  }

  void updatePools(const HostList &list) {
    pools_.clear();
    for (const ListedUpstream &upstream : list.upstreams)
      if (!upstream.leaving)
        pools_[upstream.pool].push_back(upstream);
  }

  void tick(Step *step) {
    configuration_.onTick(true, step);
    nextTick_ = step->now.steady + TickInterval;
    std::vector<RequestId> expired;
    for (const auto &[id, pending] : pending_)
      if (step->now.steady >= pending.deadline)
        expired.push_back(id);
    for (const RequestId id : expired)
      respond(id, Outcome::NotRun, "", step);
  }

  EntryHost::Options options_;
  ConfigurationFollower configuration_;
  RouteTable routes_;
  std::map<std::string, std::vector<ListedUpstream>> pools_;
  std::map<std::string, std::size_t> nextIndex_;
  std::map<RequestId, PendingRequest> pending_;
  TimePoint nextTick_{};
};

} // namespace

std::unique_ptr<HostUnderTest> makeNaiveHost(EntryHost::Options options) {
  return std::make_unique<NaiveHost>(std::move(options));
}

} // namespace auburnspring
