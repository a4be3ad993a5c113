#include "auburnspring/publishing/publisher.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/str_cat.h>
#include <fmt/format.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr const char *StatusNames[] = {"accepted",     "unchanged", "conflict",
                                       "not-accepted", "unsettled", "faulty"};

const PublishRecord *findRecord(const ConfigurationHead &head,
                                const std::string &publishId) {
  for (const PublishRecord &record : head.history)
    if (record.publishId == publishId)
      return &record;
  return nullptr;
}

std::string describeChange(const std::map<std::string, std::string> &before,
                           const std::map<std::string, std::string> &after) {
  int changed = 0;
  int removed = 0;
  for (const auto &[file, digest] : after) {
    const auto old = before.find(file);
    if (old == before.end() || old->second != digest)
      ++changed;
  }
  for (const auto &[file, digest] : before)
    if (after.count(file) == 0)
      ++removed;
  return fmt::format("{} files changed, {} removed", changed, removed);
}

PublishResult notAccepted(std::string detail) {
  PublishResult result;
  result.status = PublishStatus::NotAccepted;
  result.detail = std::move(detail);
  return result;
}

} // namespace

const char *toString(PublishStatus status) {
  return StatusNames[static_cast<std::size_t>(status)];
}

Publisher::Publisher(Options options, KeyValueStore *store)
    : options_(std::move(options)), store_(store) {}

KvReply Publisher::getWithRetries(const std::string &key) {
  KvReply reply;
  for (int attempt = 0; attempt < options_.maxAttempts; ++attempt) {
    reply = store_->call({KvVerb::Get, key, "", 0});
    if (reply.status == KvStatus::Ok)
      return reply;
    options_.waitBeforeRetry(attempt);
  }
  return reply;
}

Publisher::HeadReadResult Publisher::readHead() {
  HeadReadResult result;
  const KvReply reply = getWithRetries(headKey(options_.keyPrefix));
  if (reply.status != KvStatus::Ok) {
    result.detail = "the key-value service can't be read";
    return result;
  }
  result.revision = reply.revision;
  if (reply.revision == 0) {
    result.ok = true;
    return result;
  }
  absl::StatusOr<ConfigurationHead> head = decodeHead(reply.value);
  if (!head.ok()) {
    result.detail = std::string(head.status().message());
    return result;
  }
  result.head = *std::move(head);
  result.ok = true;
  return result;
}

absl::StatusOr<ConfigurationBundle> Publisher::readBundle() {
  HeadReadResult current = readHead();
  if (!current.ok)
    return absl::UnavailableError(current.detail);
  ConfigurationBundle bundle;
  bundle.head = std::move(current.head);
  for (const auto &[file, digest] : bundle.head.fileDigests) {
    const KvReply contents =
        getWithRetries(routeFileKey(options_.keyPrefix, digest));
    if (contents.status != KvStatus::Ok)
      return absl::UnavailableError(
          absl::StrCat("the key-value service can't be read for ", file));
    bundle.fileContents[digest] = contents.value;
  }
  return bundle;
}

// Route files are content-addressed, so a repeated write is idempotent and a
// conflict means that the file is already stored.
absl::Status Publisher::writeFile(const std::string &text) {
  const std::string key = routeFileKey(options_.keyPrefix, digestHex(text));
  for (int attempt = 0; attempt < options_.maxAttempts; ++attempt) {
    const KvReply reply = store_->call({KvVerb::PutIf, key, text, 0});
    if (reply.status == KvStatus::Ok)
      return absl::OkStatus();
    if (reply.status == KvStatus::Conflict)
      return reply.value == text
                 ? absl::OkStatus()
                 : absl::DataLossError("two files have the same digest");
    options_.waitBeforeRetry(attempt);
  }
  return absl::UnavailableError("the key-value service can't be written");
}

absl::Status
Publisher::writeFiles(const std::map<std::string, std::string> &files) {
  for (const auto &[file, text] : files)
    if (absl::Status status = writeFile(text); !status.ok())
      return status;
  return absl::OkStatus();
}

void Publisher::addHistory(ConfigurationHead *head, PublishRecord record) {
  head->history.insert(head->history.begin(), std::move(record));
  if (head->history.size() > MaxHistory)
    head->history.resize(MaxHistory);
}

// Retries the write until an attempt has a definite result. After a lost
// response the same write is sent again: at the same revision at most one of
// the two takes effect, and on a conflict the history in force shows whether
// the first one did.
Publisher::SwapResult Publisher::swapHead(const ConfigurationHead &next,
                                          std::int64_t revision,
                                          const std::string &publishId) {
  SwapResult swap;
  const std::string value = encodeHead(next);
  bool mayTakeEffect = false;
  for (int attempt = 0; attempt < options_.maxAttempts; ++attempt) {
    const KvReply reply = store_->call(
        {KvVerb::PutIf, headKey(options_.keyPrefix), value, revision});
    if (reply.status == KvStatus::Ok) {
      swap.status = PublishStatus::Accepted;
      return swap;
    }
    if (reply.status == KvStatus::Conflict) {
      swap.current = readHead();
      if (!swap.current.ok)
        return swap;
      const bool isApplied =
          findRecord(swap.current.head, publishId) != nullptr;
      swap.status =
          isApplied ? PublishStatus::Accepted : PublishStatus::Conflict;
      return swap;
    }
    mayTakeEffect = mayTakeEffect || reply.status == KvStatus::Unknown;
    options_.waitBeforeRetry(attempt);
  }
  swap.status =
      mayTakeEffect ? PublishStatus::Unsettled : PublishStatus::NotAccepted;
  return swap;
}

PublishResult Publisher::makeResult(const SwapResult &swap,
                                    const ConfigurationHead &base,
                                    const ConfigurationHead &next) const {
  PublishResult result;
  result.status = swap.status;
  result.generation = next.generation;
  if (swap.status != PublishStatus::Conflict)
    return result;
  result.generation = swap.current.head.generation;
  for (const PublishRecord &record : swap.current.head.history)
    if (record.generation > base.generation)
      result.conflicts.push_back(record);
  return result;
}

PublishResult Publisher::publish(const PublishRequest &request) {
  PublishResult result;
  const HeadReadResult current = readHead();
  if (!current.ok)
    return notAccepted(current.detail);
  const ConfigurationHead &base = current.head;
  // An earlier attempt with this id may have taken effect.
  if (const PublishRecord *applied = findRecord(base, request.publishId)) {
    result.status = PublishStatus::Accepted;
    result.generation = applied->generation;
    return result;
  }
  if (request.base && *request.base != base.generation) {
    SwapResult swap;
    swap.status = PublishStatus::Conflict;
    swap.current = current;
    ConfigurationHead requested;
    requested.generation = *request.base;
    return makeResult(swap, requested, requested);
  }
  std::map<std::string, std::string> files = request.files;
  if (!request.replaceAll) {
    const absl::StatusOr<ConfigurationBundle> bundle = readBundle();
    if (!bundle.ok())
      return notAccepted(std::string(bundle.status().message()));
    for (const auto &[file, digest] : bundle->head.fileDigests)
      files.emplace(file, bundle->fileContents.at(digest));
  }
  checkRouteFiles(files, &result.faults);
  if (!result.faults.empty()) {
    result.status = PublishStatus::Faulty;
    return result;
  }
  ConfigurationHead next = base;
  next.fileDigests.clear();
  for (const auto &[file, text] : files)
    next.fileDigests[file] = digestHex(text);
  if (next.fileDigests == base.fileDigests) {
    result.status = PublishStatus::Unchanged;
    result.generation = base.generation;
    return result;
  }
  if (absl::Status status = writeFiles(files); !status.ok())
    return notAccepted(std::string(status.message()));
  next.generation = base.generation + 1;
  addHistory(&next,
             {next.generation, request.publishId, request.author, request.time,
              describeChange(base.fileDigests, next.fileDigests)});
  return makeResult(swapHead(next, current.revision, request.publishId), base,
                    next);
}

PublishResult Publisher::setDrained(const std::string &upstream, bool drained,
                                    const std::string &publishId,
                                    const std::string &author, WallTime time) {
  PublishResult result;
  for (int attempt = 0; attempt < options_.maxAttempts; ++attempt) {
    const HeadReadResult current = readHead();
    if (!current.ok)
      return notAccepted(current.detail);
    ConfigurationHead next = current.head;
    auto &list = next.drained;
    const auto found = std::find(list.begin(), list.end(), upstream);
    if ((found != list.end()) == drained) {
      result.status = findRecord(next, publishId) != nullptr
                          ? PublishStatus::Accepted
                          : PublishStatus::Unchanged;
      result.generation = next.generation;
      return result;
    }
    if (drained)
      list.push_back(upstream);
    else
      list.erase(found);
    next.generation = current.head.generation + 1;
    addHistory(&next,
               {next.generation, publishId, author, time,
                absl::StrCat(drained ? "drain " : "undrain ", upstream)});
    const SwapResult swap = swapHead(next, current.revision, publishId);
    result = makeResult(swap, current.head, next);
    if (swap.status != PublishStatus::Conflict)
      return result;
  }
  return result;
}

} // namespace auburnspring
