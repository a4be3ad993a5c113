#ifndef AUBURNSPRING_DECISION_ENGINE_POOL_MODEL_H
#define AUBURNSPRING_DECISION_ENGINE_POOL_MODEL_H

#include "auburnspring/decision/placement.h"
#include "auburnspring/decision/pool_pace.h"
#include "auburnspring/decision/stream_pace.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// A kind of request: lognormal lengths in tokens, and requests a second.
struct ModelKind {
  double perSecond = 0;
  double shared = 0;
  double sharedSpread = 0;
  double own = 0;
  double ownSpread = 0;
  double maxOwn = 0;
  double output = 0;
  double outputSpread = 0;
  int sessions = 1;
};

/// What the hosts of a model go by.
struct ModelOptions {
  std::size_t hosts = 72;
  std::size_t engines = 90;
  bool sharesSpeed = true;
  bool spacesPrompts = true;
  double noiseShare = 0.15;
  double seconds = 20;
};

/// Times of the streams of one kind, in ms.
struct ModelTimes {
  std::vector<double> firstEvent;
  std::vector<double> longestPause;

  static double percentile(std::vector<double> values, double share) {
    if (values.empty())
      return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1))];
  }
  /// Share of the streams that pause for longer.
  double pausing(double millis) const {
    return static_cast<double>(std::count_if(
               longestPause.begin(), longestPause.end(),
               [millis](double pause) { return pause > millis; })) /
           std::max(1.0, static_cast<double>(longestPause.size()));
  }
};

/// A pool of engines that prefill in chunks between the tokens of the streams
/// that run, and hosts that each see their own requests and the loads of twelve
/// peers.
class EnginePoolModel {
public:
  EnginePoolModel(ModelOptions options, std::vector<ModelKind> kinds,
                  unsigned seed)
      : options_(options), kinds_(std::move(kinds)), random_(seed),
        times_(kinds_.size()), engines_(options.engines),
        hosts_(options.hosts) {
    std::bernoulli_distribution noisy(options.noiseShare);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].slow = i % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
      for (int period = 0; period < 200; ++period)
        engines_[i].noise.push_back(noisy(random_) ? 2.5 : 1);
    }
    for (Host &host : hosts_)
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        host.view.push_back(std::make_shared<UpstreamState>());
        host.view.back()->entry.id = "engine-" + std::to_string(i);
      }
  }

  const std::vector<ModelTimes> &run() {
    double total = 0;
    for (const ModelKind &kind : kinds_)
      total += kind.perSecond;
    std::exponential_distribution<double> pause(total / 1000);
    double nextHeartbeat = 0;
    for (double now = 0; now < options_.seconds * 1000; now += pause(random_)) {
      for (; nextHeartbeat <= now; nextHeartbeat += 200) {
        advance(nextHeartbeat);
        heartbeats(nextHeartbeat);
      }
      advance(now);
      arrive(pickKind(total), now);
    }
    advance(options_.seconds * 1000 + 10000);
    return times_;
  }

private:
  struct Stream {
    std::size_t kind = 0;
    std::size_t host = 0;
    double startedAt = 0;
    double lastEventAt = -1;
    double longestPause = 0;
    std::int64_t tokensLeft = 0;
    std::int64_t prefillLeft = 0;
    std::int64_t prefilled = 0;
    std::int64_t told = 0;
    std::int64_t held = 0;
    int tokens = 0;
    StreamPace pace;
  };
  struct Engine {
    double slow = 1;
    std::vector<double> noise;
    double now = 0;
    std::deque<Stream> prefills;
    std::vector<Stream> running;
    std::set<std::string> kept;
  };
  struct Host {
    std::vector<UpstreamStatePtr> view;
    EngineSpeedEstimator prefill;
    PoolPace pace;
    PromptBands bands;
  };

  static constexpr std::int64_t Chunk = 4096;
  static constexpr int TokensPerEvent = 9;
  static constexpr double FirstMillis = 31;

  static TimePoint at(double millis) {
    return TimePoint(std::chrono::seconds(1000)) +
           Duration(static_cast<std::int64_t>(millis * 1000));
  }

  static double noiseAt(const Engine &engine, double now) {
    const auto period = static_cast<std::size_t>(now / 600);
    return engine.noise[period % engine.noise.size()];
  }

  double draw(double mean, double spread, double max) {
    if (spread <= 0)
      return mean;
    std::lognormal_distribution<double> lengths(
        std::log(mean) - spread * spread / 2, spread);
    return std::min(lengths(random_), max);
  }

  std::size_t pickKind(double total) {
    double left = std::uniform_real_distribution<double>(0, total)(random_);
    std::size_t kind = 0;
    while (kind + 1 < kinds_.size() && left >= kinds_[kind].perSecond)
      left -= kinds_[kind++].perSecond;
    return kind;
  }

  void arrive(std::size_t number, double now) {
    const ModelKind &kind = kinds_[number];
    std::uniform_int_distribution<std::size_t> anyHost(0, hosts_.size() - 1);
    std::uniform_int_distribution<int> session(0, kind.sessions - 1);
    const std::size_t hostNumber = anyHost(random_);
    Host &host = hosts_[hostNumber];
    const int name = session(random_);
    std::mt19937_64 own(static_cast<unsigned>(name) * 31U + number);
    std::swap(own, random_);
    const double sharedTokens = draw(kind.shared, kind.sharedSpread, 14600);
    std::swap(own, random_);
    const auto ownTokens =
        static_cast<std::int64_t>(draw(kind.own, kind.ownSpread, kind.maxOwn));
    const auto output = static_cast<std::int64_t>(
        1 + draw(kind.output, kind.outputSpread, 3 * kind.output));
    const std::vector<PromptPart> prompt = {
        {std::to_string(number) + "/" + std::to_string(name),
         static_cast<std::int64_t>(sharedTokens)},
        {"own", ownTokens}};
    PlacementRequest request;
    request.prompt = prompt;
    request.promptTokens = prompt[0].tokens + ownTokens;
    request.outputTokens = output;
    request.prefillMillisPerToken = host.prefill.millisPerToken();
    if (options_.spacesPrompts) {
      request.eventGap = std::chrono::milliseconds(400);
      request.bands = &host.bands;
      host.bands.observe(
          request.promptTokens,
          static_cast<std::int64_t>(400 / request.prefillMillisPerToken));
    }
    const EngineChoice choice =
        chooseEngine(host.view, {24, 580914}, request, at(now), &random_);
    const auto index = static_cast<std::size_t>(
        std::find(host.view.begin(), host.view.end(), choice.engine) -
        host.view.begin());
    Engine &engine = engines_[index];
    Stream stream;
    stream.kind = number;
    stream.host = hostNumber;
    stream.startedAt = now;
    stream.tokensLeft = output;
    stream.told = ownTokens;
    stream.held = request.promptTokens + output;
    stream.prefillLeft = request.promptTokens;
    if (!engine.kept.insert(prompt[0].id).second)
      stream.prefillLeft = ownTokens;
    ++choice.engine->inFlight;
    choice.engine->prefillTokens += stream.told;
    choice.engine->reservedTokens += stream.held;
    engine.prefills.push_back(std::move(stream));
  }

  void advance(double until) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      Engine &engine = engines_[i];
      while (engine.now < until &&
             !(engine.prefills.empty() && engine.running.empty()))
        step(i, &engine);
      engine.now = std::max(engine.now, until);
    }
  }

  /// One token of each stream that runs, and a chunk of a prompt.
  void step(std::size_t index, Engine *engine) {
    double work = 3.41 + 0.097 * static_cast<double>(engine->running.size());
    std::int64_t room = Chunk;
    std::size_t done = 0;
    for (Stream &stream : engine->prefills) {
      const std::int64_t taken = std::min(room, stream.prefillLeft);
      work += static_cast<double>(taken) / 112 +
              static_cast<double>(taken) *
                  static_cast<double>(stream.prefilled) * 0.218e-6;
      stream.prefillLeft -= taken;
      stream.prefilled += taken;
      room -= taken;
      if (stream.prefillLeft > 0)
        break;
      ++done;
    }
    engine->now += work * engine->slow * noiseAt(*engine, engine->now);
    for (Stream &stream : engine->running)
      produce(index, &stream, engine->now);
    engine->running.erase(
        std::remove_if(engine->running.begin(), engine->running.end(),
                       [](const Stream &s) { return s.tokensLeft <= 0; }),
        engine->running.end());
    for (; done > 0; --done) {
      begin(index, &engine->prefills.front(), engine->now + FirstMillis);
      engine->running.push_back(std::move(engine->prefills.front()));
      engine->prefills.pop_front();
    }
  }

  void begin(std::size_t index, Stream *stream, double now) {
    const double elapsed = now - stream->startedAt;
    times_[stream->kind].firstEvent.push_back(elapsed);
    stream->lastEventAt = now;
    stream->pace.onEvent(at(now));
    Host &host = hosts_[stream->host];
    host.view[index]->prefillTokens -= stream->told;
    const Engine &engine = engines_[index];
    if (options_.sharesSpeed)
      host.view[index]->speed.onReport(
          {static_cast<std::int64_t>(engine.running.size()) + 1,
           static_cast<std::int64_t>(engine.prefills.size()) - 1, 24,
           noiseAt(engine, now)},
          0, at(now));
    host.prefill.observe(stream->prefilled,
                         Duration(static_cast<std::int64_t>(elapsed * 1000)));
  }

  void produce(std::size_t index, Stream *stream, double now) {
    --stream->tokensLeft;
    if (++stream->tokens % TokensPerEvent == 0 || stream->tokensLeft <= 0) {
      stream->longestPause =
          std::max(stream->longestPause, now - stream->lastEventAt);
      stream->lastEventAt = now;
      if (stream->tokensLeft > 0)
        stream->pace.onEvent(at(now));
    }
    if (stream->tokensLeft > 0)
      return;
    times_[stream->kind].longestPause.push_back(stream->longestPause);
    Host &host = hosts_[stream->host];
    UpstreamState &view = *host.view[index];
    if (const auto pace = stream->pace.pace(); pace && options_.sharesSpeed)
      view.speed.observe(host.pace.observe(*pace, view.inFlight), at(now));
    --view.inFlight;
    view.reservedTokens -= stream->held;
  }

  void heartbeats(double now) {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      const std::string name = std::to_string(from);
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        UpstreamState &own = *hosts_[from].view[i];
        const bool tells = own.speed.isNews() && own.speed.observedAt();
        for (std::size_t n = 1;
             n <= std::min<std::size_t>(12, hosts_.size() - 1); ++n) {
          UpstreamState &peer = *hosts_[(from + n) % hosts_.size()].view[i];
          if (own.inFlight > 0)
            peer.peers[name] = {own.inFlight, own.prefillTokens,
                                own.reservedTokens, at(now)};
          else
            peer.peers.erase(name);
          if (tells)
            peer.speed.onStatement(own.speed.lasting(), *own.speed.observedAt(),
                                   at(now));
        }
        if (tells)
          own.speed.noteTold();
      }
    }
  }

  ModelOptions options_;
  std::vector<ModelKind> kinds_;
  std::mt19937_64 random_;
  std::vector<ModelTimes> times_;
  std::vector<Engine> engines_;
  std::vector<Host> hosts_;
};

/// Long drafts, short questions and shorter tags on one pool.
inline std::vector<ModelKind> modelMix(double drafts, double questions,
                                       double tags) {
  return {{drafts, 5382, 0.7, 6610, 1.4, 54600, 378, 0.86, 1275},
          {questions, 198, 0.4, 628, 1.0, 3310, 290, 1.2, 885},
          {tags, 568, 0.4, 1800, 0.7, 9000, 27, 0.3, 885}};
}

/// The mix of the rental desks, in requests a second.
inline std::vector<ModelKind> rentalMix() { return modelMix(72.8, 75.7, 151); }

} // namespace auburnspring

#endif
