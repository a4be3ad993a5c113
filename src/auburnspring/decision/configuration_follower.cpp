#include "auburnspring/decision/configuration_follower.h"

#include "auburnspring/base/digest.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t MaxFileCalls = 4;

} // namespace

ConfigurationFollower::ConfigurationFollower(Options options)
    : options_(std::move(options)), random_(options_.seed) {}

void ConfigurationFollower::onTick(bool watcher, Step *step) {
  const TimePoint now = step->now.steady;
  // A lost reply must not block polling forever.
  if (headCall_ && now - headCallAt_ > options_.callTimeout)
    headCall_.reset();
  if (now >= peerReplyBy_) {
    peerReplyBy_ = TimePoint::max();
    if (announcedGeneration_ > current_.head.generation)
      readHead(step);
  }
  if (now < nextReadAt_)
    return;
  const bool often = watcher || !ready_;
  const Duration interval =
      often ? options_.watcherInterval : options_.fallbackInterval;
  std::uniform_real_distribution<double> jitter(0.8, 1.2);
  nextReadAt_ =
      now + Duration(static_cast<std::int64_t>(
                static_cast<double>(interval.count()) * jitter(random_)));
  readHead(step);
}

TimePoint ConfigurationFollower::nextWake() const {
  return std::min(nextReadAt_, peerReplyBy_);
}

void ConfigurationFollower::readHead(Step *step) {
  if (headCall_)
    return;
  headCall_ = nextCall_++;
  headCallAt_ = step->now.steady;
  step->addAction(
      CallKeyValue{{KvOwner::Configuration, *headCall_},
                   KvPriority::Configuration,
                   {KvVerb::Get, headKey(options_.keyPrefix), "", 0}});
}

void ConfigurationFollower::onReply(KvCallId call, const KvReply &reply,
                                    Step *step) {
  if (headCall_ && *headCall_ == call.number) {
    headCall_.reset();
    return onHead(reply, step);
  }
  const auto found = fileCalls_.find(call.number);
  if (found == fileCalls_.end())
    return;
  const std::string digest = found->second;
  fileCalls_.erase(found);
  onRouteFile(digest, reply, step);
}

void ConfigurationFollower::onHead(const KvReply &reply, Step *step) {
  if (reply.status != KvStatus::Ok)
    return;
  if (reply.revision == 0) {
    ready_ = true;
    return;
  }
  const absl::StatusOr<ConfigurationHead> head = decodeHead(reply.value);
  if (!head.ok()) {
    step->addAction(
        WriteLogEntry{LogEntryLevel::Warning,
                      "head_unreadable",
                      {{"error", std::string(head.status().message())}}});
    return;
  }
  // A stale read may return a lower generation, which is ignored.
  if (head->generation <= current_.head.generation)
    return;
  if (targetHead_ && targetHead_->generation >= head->generation)
    return fetchRouteFiles(step);
  targetHead_ = *head;
  fetchRouteFiles(step);
  tryAccept(step);
}

void ConfigurationFollower::fetchRouteFiles(Step *step) {
  for (const auto &[file, digest] : targetHead_->fileDigests) {
    if (fileCalls_.size() >= MaxFileCalls)
      return;
    if (fileContents_.count(digest) > 0)
      continue;
    const bool requested =
        std::any_of(fileCalls_.begin(), fileCalls_.end(),
                    [&d = digest](const auto &c) { return c.second == d; });
    if (requested)
      continue;
    const std::uint64_t number = nextCall_++;
    fileCalls_[number] = digest;
    step->addAction(CallKeyValue{
        {KvOwner::Configuration, number},
        KvPriority::Configuration,
        {KvVerb::Get, routeFileKey(options_.keyPrefix, digest), "", 0}});
  }
}

void ConfigurationFollower::onRouteFile(const std::string &digest,
                                        const KvReply &reply, Step *step) {
  if (!targetHead_)
    return;
  const bool valid = reply.status == KvStatus::Ok && reply.revision != 0 &&
                     digestHex(reply.value) == digest;
  if (!valid) {
    // The file is requested again after the next read of the head.
    nextReadAt_ = std::min(nextReadAt_, step->now.steady + RetryDelay);
    return;
  }
  fileContents_[digest] = reply.value;
  fetchRouteFiles(step);
  tryAccept(step);
}

void ConfigurationFollower::tryAccept(Step *step) {
  if (!targetHead_)
    return;
  for (const auto &[file, digest] : targetHead_->fileDigests)
    if (fileContents_.count(digest) == 0)
      return;
  ConfigurationBundle bundle;
  bundle.head = *targetHead_;
  for (const auto &[file, digest] : targetHead_->fileDigests)
    bundle.fileContents[digest] = fileContents_[digest];
  accept(std::move(bundle), step);
  targetHead_.reset();
}

bool ConfigurationFollower::accept(ConfigurationBundle bundle, Step *step) {
  if (bundle.head.generation <= current_.head.generation)
    return false;
  absl::StatusOr<RouteTable> routes = buildRoutes(bundle);
  const std::string generation = std::to_string(bundle.head.generation);
  if (!routes.ok()) {
    step->addAction(
        WriteLogEntry{LogEntryLevel::Warning,
                      "configuration_refused",
                      {{"generation", generation},
                       {"error", std::string(routes.status().message())}}});
    return false;
  }
  current_ = std::move(bundle);
  // Keep the files of the generation in force: the next one shares most.
  fileContents_ = current_.fileContents;
  acceptedRoutes_ = *std::move(routes);
  ready_ = true;
  ++acceptedCount_;
  step->addAction(
      WriteLogEntry{LogEntryLevel::Info,
                    "configuration_in_force",
                    {{"generation", generation},
                     {"routes", std::to_string(acceptedRoutes_->size())}}});
  return true;
}

std::optional<RouteTable> ConfigurationFollower::takeAccepted() {
  std::optional<RouteTable> taken = std::move(acceptedRoutes_);
  acceptedRoutes_.reset();
  return taken;
}

void ConfigurationFollower::onGenerationAnnounced(
    const GenerationAnnounced &announced, Step *step) {
  if (announced.generation <= current_.head.generation)
    return;
  const bool requestPending = peerReplyBy_ != TimePoint::max();
  if (requestPending && announced.generation <= announcedGeneration_)
    return;
  announcedGeneration_ = std::max(announcedGeneration_, announced.generation);
  peerReplyBy_ = step->now.steady + options_.peerTimeout;
  step->addAction(SendToPeer{announced.host, announced.endpoint,
                             BundleRequest{announced.generation}});
}

void ConfigurationFollower::onRequest(const std::string &from,
                                      const Endpoint &endpoint,
                                      const BundleRequest &request,
                                      Step *step) const {
  if (current_.head.generation < request.generation)
    return;
  step->addAction(SendToPeer{from, endpoint, BundleReply{current_}});
}

void ConfigurationFollower::onBundle(const ConfigurationBundle &bundle,
                                     Step *step) {
  peerReplyBy_ = TimePoint::max();
  if (!accept(bundle, step))
    return;
  if (targetHead_ && targetHead_->generation <= current_.head.generation)
    targetHead_.reset();
}

nlohmann::json ConfigurationFollower::dump() const {
  nlohmann::json history = nlohmann::json::array();
  for (const PublishRecord &record : current_.head.history)
    history.push_back({{"generation", record.generation},
                       {"publish_id", record.publishId},
                       {"author", record.author},
                       {"time", record.time.count()},
                       {"change", record.change}});
  return {{"generation", current_.head.generation},
          {"ready", ready_},
          {"pieces", current_.head.fileDigests},
          {"drained", current_.head.drained},
          {"accepted_since_start", acceptedCount_},
          {"history", history}};
}

} // namespace auburnspring
