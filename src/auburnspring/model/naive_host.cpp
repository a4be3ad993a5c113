#include "auburnspring/model/naive_host.h"

#include <algorithm>
#include <map>

namespace auburnspring {

namespace {

constexpr std::uint32_t MaxAttempts = 3;
constexpr Duration Poll = std::chrono::milliseconds(100);

class NaiveHost : public HostUnderTest {
public:
  explicit NaiveHost(EntryHost::Options options)
      : options_(std::move(options)), configuration_(options_.configuration) {}

  Actions handle(Event event, Instant now) override {
    Step step;
    step.now = now;
    if (auto *arrived = std::get_if<RequestArrived>(&event))
      start(std::move(*arrived), &step);
    else if (auto *done = std::get_if<AttemptSucceeded>(&event))
      succeed(*done, &step);
    else if (auto *failed = std::get_if<AttemptFailed>(&event))
      fail(*failed, &step);
    else if (auto *list = std::get_if<HostListRead>(&event))
      readList(list->list);
    else if (auto *reply = std::get_if<KvReplied>(&event))
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
  struct Run {
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
    Run run;
    run.arrived = std::move(arrived);
    const RequestId id = run.arrived.request;
    if (found == routes_.end())
      return answer(id, Outcome::Rejected, "", step);
    run.route = found->second;
    run.deadline = step->now.steady + run.route->deadline;
    runs_[id] = std::move(run);
    beginStage(id, step);
  }

  void beginStage(RequestId id, Step *step) {
    Run &run = runs_[id];
    const auto parts =
        static_cast<std::size_t>(run.route->stages[run.stage].parts);
    run.results.assign(parts, "");
    run.done.assign(parts, false);
    run.attempts.assign(parts, 0);
    for (std::uint32_t part = 0; part < parts; ++part)
      dispatch(id, part, step);
  }

  void dispatch(RequestId id, std::uint32_t part, Step *step) {
    Run &run = runs_[id];
    const Stage &stage = run.route->stages[run.stage];
    const std::vector<ListedUpstream> &pool = pools_[stage.pool];
    if (pool.empty())
      return;
    const ListedUpstream &worker = pool[turns_[stage.pool]++ % pool.size()];
    StartAttempt attempt;
    attempt.attempt = {options_.incarnation, id, run.stage, part,
                       ++run.attempts[part]};
    attempt.upstream = worker.name;
    attempt.endpoint = worker.endpoint;
    attempt.kind = stage.kind;
    attempt.route = run.route->name;
    attempt.organisation = run.arrived.organisation;
    attempt.model = stage.model;
    attempt.input = run.arrived.body;
    attempt.context = run.context;
    attempt.part = part;
    attempt.parts = static_cast<std::uint32_t>(run.results.size());
    attempt.maxTokens = stage.maxTokens;
    attempt.deadline = run.deadline;
    attempt.once = run.route->runsOnce(stage);
    attempt.key = run.arrived.key;
    step->act(std::move(attempt));
  }

  void succeed(const AttemptSucceeded &event, Step *step) {
    const auto found = runs_.find(event.attempt.request);
    if (found == runs_.end() || found->second.stage != event.attempt.stage)
      return;
    Run &run = found->second;
    run.results[event.attempt.part] = event.text;
    run.done[event.attempt.part] = true;
    if (!std::all_of(run.done.begin(), run.done.end(),
                     [](bool done) { return done; }))
      return;
    run.context = run.results.size() == 1 ? run.results.front()
                                          : nlohmann::json(run.results).dump();
    if (++run.stage < run.route->stages.size())
      return beginStage(event.attempt.request, step);
    answer(event.attempt.request, Outcome::Complete, std::string(run.context),
           step);
  }

  void fail(const AttemptFailed &event, Step *step) {
    const auto found = runs_.find(event.attempt.request);
    if (found == runs_.end() || found->second.stage != event.attempt.stage)
      return;
    if (found->second.attempts[event.attempt.part] >= MaxAttempts)
      return answer(event.attempt.request, Outcome::NotRun, "", step);
    dispatch(event.attempt.request, event.attempt.part, step);
  }

  void answer(RequestId id, Outcome outcome, std::string body, Step *step) {
    runs_.erase(id);
    AnswerCaller action;
    action.request = id;
    action.outcome = outcome;
    action.body = std::move(body);
    step->act(std::move(action));
  }

  void readList(const HostList &list) {
    pools_.clear();
    for (const ListedUpstream &upstream : list.upstreams)
      if (!upstream.leaving)
        pools_[upstream.pool].push_back(upstream);
  }

  void tick(Step *step) {
    configuration_.onTick(true, step);
    nextTick_ = step->now.steady + Poll;
    std::vector<RequestId> late;
    for (const auto &[id, run] : runs_)
      if (step->now.steady >= run.deadline)
        late.push_back(id);
    for (const RequestId id : late)
      answer(id, Outcome::NotRun, "", step);
  }

  EntryHost::Options options_;
  ConfigurationFollower configuration_;
  RouteTable routes_;
  std::map<std::string, std::vector<ListedUpstream>> pools_;
  std::map<std::string, std::size_t> turns_;
  std::map<RequestId, Run> runs_;
  TimePoint nextTick_{};
};

} // namespace

std::unique_ptr<HostUnderTest> makeNaiveHost(EntryHost::Options options) {
  return std::make_unique<NaiveHost>(std::move(options));
}

} // namespace auburnspring
