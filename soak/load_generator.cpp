#include "soak/load_generator.h"

#include "auburnspring/base/clock.h"
#include "soak/soak_caller.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring::soak {

namespace {

/// Deadline of a request, below the timeout of every route.
constexpr Duration CallTimeout = std::chrono::milliseconds(2500);
/// Share of the requests with a prompt that have the crashing part.
constexpr double CrashingPartShare = 0.06;
constexpr int SharedParts = 6;

} // namespace

LoadGenerator::LoadGenerator(asio::io_context &io, SoakCluster *cluster,
                             GuaranteeChecker *checker, std::uint64_t seed,
                             std::size_t count)
    : io_(io), cluster_(cluster), checker_(checker), random_(seed) {
  for (std::size_t i = 0; i < count; ++i) {
    callers_.push_back(std::make_shared<SoakCaller>(this, io_));
    callers_.back()->scheduleNext();
  }
}

LoadGenerator::~LoadGenerator() {
  for (const auto &caller : callers_)
    caller->close();
}

std::size_t LoadGenerator::busyCount() const {
  return static_cast<std::size_t>(
      std::count_if(callers_.begin(), callers_.end(),
                    [](const auto &caller) { return caller->isBusy(); }));
}

SoakHost *LoadGenerator::pickHost() {
  std::vector<SoakHost *> found;
  for (const auto &host : cluster_->hosts())
    if (host->isInRotation)
      found.push_back(host.get());
  if (found.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, found.size() - 1);
  return found[any(random_)];
}

void LoadGenerator::drawPrompt(SentCall *call) {
  const std::string &part = cluster_->options().crashingPart;
  if (part.empty())
    return;
  std::uniform_int_distribution<int> any(1, SharedParts);
  call->hasCrashingPart =
      std::bernoulli_distribution(CrashingPartShare)(random_);
  call->prompt =
      fmt::format("first:200,shared{}:100,{}own-{}:50", any(random_),
                  call->hasCrashingPart ? part + ":50," : "", call->id);
}

SentCall LoadGenerator::nextCall(SoakHost *host) {
  // Of ten requests one is for the route of the newest configuration version,
  // and one for that of the previous version, which has been removed.
  static constexpr CallKind Kinds[] = {
      CallKind::AtMostOnce,       CallKind::AtMostOnce, CallKind::AtMostOnce,
      CallKind::Retryable,        CallKind::Stream,     CallKind::Stream,
      CallKind::AtMostOnceStream, CallKind::Stream};
  SentCall call;
  call.id = fmt::format("{:016x}", nextId_++);
  call.host = host->name;
  call.sentAt = steadyNow();
  call.deadline = call.sentAt + CallTimeout;
  const std::size_t drawn =
      std::uniform_int_distribution<std::size_t>(0, 9)(random_);
  if (drawn < std::size(Kinds)) {
    call.kind = Kinds[drawn];
    const double singleShare = cluster_->options().singleAttemptShare;
    if (call.kind == CallKind::Stream && singleShare > 0)
      call.isSingleAttempt = std::bernoulli_distribution(singleShare)(random_);
    if (call.kind == CallKind::Stream ||
        call.kind == CallKind::AtMostOnceStream)
      drawPrompt(&call);
    return call;
  }
  call.kind = CallKind::Retryable;
  call.version = drawn == 8 ? cluster_->version() : cluster_->previousVersion();
  return call;
}

SentCall LoadGenerator::resumingCall(SoakHost *host,
                                     const StreamResumption &stream) {
  SentCall call;
  call.id = fmt::format("{:016x}", nextId_++);
  call.kind = CallKind::Stream;
  call.host = host->name;
  call.sentAt = steadyNow();
  // A request states its time in whole milliseconds.
  call.deadline = call.sentAt + std::chrono::floor<std::chrono::milliseconds>(
                                    stream.deadline - call.sentAt);
  call.isSingleAttempt = stream.isSingleAttempt;
  call.resumedId = stream.streamId;
  call.lastEventId = stream.lastEventId;
  call.upstreamsOfVersion = cluster_->servingUpstreams(stream.version);
  return call;
}

} // namespace auburnspring::soak
