#include "auburnspring/publishing/publisher.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/str_cat.h>
#include <fmt/format.h>

#include <algorithm>

namespace auburnspring {

namespace {

constexpr const char *StatusNames[] = {"accepted",     "unchanged", "conflict",
                                       "not-accepted", "unsettled", "faulty"};

const PublishRecord *findPublish(const ConfigurationHead &head,
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

PublishResult failedBy(std::string detail) {
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

KvReply Publisher::get(const std::string &key) {
  KvReply reply;
  for (int attempt = 0; attempt < options_.maxTries; ++attempt) {
    reply = store_->call({KvVerb::Get, key, "", 0});
    if (reply.status == KvStatus::Ok)
      return reply;
    options_.pause(attempt);
  }
  return reply;
}

Publisher::HeadReading Publisher::readHead() {
  HeadReading reading;
  const KvReply reply = get(headKey(options_.keyPrefix));
  if (reply.status != KvStatus::Ok) {
    reading.detail = "the key-value service can't be read";
    return reading;
  }
  reading.revision = reply.revision;
  if (reply.revision == 0) {
    reading.ok = true;
    return reading;
  }
  absl::StatusOr<ConfigurationHead> head = decodeHead(reply.value);
  if (!head.ok()) {
    reading.detail = std::string(head.status().message());
    return reading;
  }
  reading.head = *std::move(head);
  reading.ok = true;
  return reading;
}

absl::StatusOr<ConfigurationBundle> Publisher::readBundle() {
  HeadReading reading = readHead();
  if (!reading.ok)
    return absl::UnavailableError(reading.detail);
  ConfigurationBundle bundle;
  bundle.head = std::move(reading.head);
  for (const auto &[file, digest] : bundle.head.pieces) {
    const KvReply piece = get(pieceKey(options_.keyPrefix, digest));
    if (piece.status != KvStatus::Ok)
      return absl::UnavailableError(absl::StrCat("can't read ", file));
    bundle.texts[digest] = piece.value;
  }
  return bundle;
}

// A piece is named by its content, so writing it twice does no harm and a
// conflict means that it is there.
absl::Status Publisher::writePiece(const std::string &text) {
  const std::string key = pieceKey(options_.keyPrefix, digestHex(text));
  for (int attempt = 0; attempt < options_.maxTries; ++attempt) {
    const KvReply reply = store_->call({KvVerb::PutIf, key, text, 0});
    if (reply.status == KvStatus::Ok)
      return absl::OkStatus();
    if (reply.status == KvStatus::Conflict)
      return reply.value == text
                 ? absl::OkStatus()
                 : absl::DataLossError("two files have the same digest");
    options_.pause(attempt);
  }
  return absl::UnavailableError("the key-value service can't be written");
}

absl::Status
Publisher::writePieces(const std::map<std::string, std::string> &files) {
  for (const auto &[file, text] : files)
    if (absl::Status status = writePiece(text); !status.ok())
      return status;
  return absl::OkStatus();
}

void Publisher::addHistory(ConfigurationHead *head, PublishRecord record) {
  head->history.insert(head->history.begin(), std::move(record));
  if (head->history.size() > MaxHistory)
    head->history.resize(MaxHistory);
}

// Writes until one try has a definite answer. After a lost answer the same
// write is made again: at the same revision only one of the two can land, and
// the conflict that the other meets shows which history is in force.
Publisher::Swap Publisher::swapHead(const ConfigurationHead &next,
                                    std::int64_t revision,
                                    const std::string &publishId) {
  Swap swap;
  const std::string value = encodeHead(next);
  bool mayLand = false;
  for (int attempt = 0; attempt < options_.maxTries; ++attempt) {
    const KvReply reply = store_->call(
        {KvVerb::PutIf, headKey(options_.keyPrefix), value, revision});
    if (reply.status == KvStatus::Ok) {
      swap.status = PublishStatus::Accepted;
      return swap;
    }
    if (reply.status == KvStatus::Conflict) {
      swap.present = readHead();
      if (!swap.present.ok)
        return swap;
      const bool ours = findPublish(swap.present.head, publishId) != nullptr;
      swap.status = ours ? PublishStatus::Accepted : PublishStatus::Conflict;
      return swap;
    }
    mayLand = mayLand || reply.status == KvStatus::Unknown;
    options_.pause(attempt);
  }
  swap.status = mayLand ? PublishStatus::Unsettled : PublishStatus::NotAccepted;
  return swap;
}

PublishResult Publisher::resultOf(const Swap &swap,
                                  const ConfigurationHead &base,
                                  const ConfigurationHead &next) const {
  PublishResult result;
  result.status = swap.status;
  result.generation = next.generation;
  if (swap.status != PublishStatus::Conflict)
    return result;
  result.generation = swap.present.head.generation;
  for (const PublishRecord &record : swap.present.head.history)
    if (record.generation > base.generation)
      result.rivals.push_back(record);
  return result;
}

PublishResult Publisher::publish(const PublishRequest &request) {
  PublishResult result;
  const HeadReading reading = readHead();
  if (!reading.ok)
    return failedBy(reading.detail);
  const ConfigurationHead &base = reading.head;
  // An earlier try with this id may have landed.
  if (const PublishRecord *landed = findPublish(base, request.publishId)) {
    result.status = PublishStatus::Accepted;
    result.generation = landed->generation;
    return result;
  }
  if (request.base && *request.base != base.generation) {
    Swap swap;
    swap.status = PublishStatus::Conflict;
    swap.present = reading;
    ConfigurationHead asked;
    asked.generation = *request.base;
    return resultOf(swap, asked, asked);
  }
  std::map<std::string, std::string> files = request.files;
  if (!request.replaceAll) {
    const absl::StatusOr<ConfigurationBundle> bundle = readBundle();
    if (!bundle.ok())
      return failedBy(std::string(bundle.status().message()));
    for (const auto &[file, digest] : bundle->head.pieces)
      files.emplace(file, bundle->texts.at(digest));
  }
  checkRouteFiles(files, &result.faults);
  if (!result.faults.empty()) {
    result.status = PublishStatus::Faulty;
    return result;
  }
  ConfigurationHead next = base;
  next.pieces.clear();
  for (const auto &[file, text] : files)
    next.pieces[file] = digestHex(text);
  if (next.pieces == base.pieces) {
    result.status = PublishStatus::Unchanged;
    result.generation = base.generation;
    return result;
  }
  if (absl::Status status = writePieces(files); !status.ok())
    return failedBy(std::string(status.message()));
  next.generation = base.generation + 1;
  addHistory(&next, {next.generation, request.publishId, request.author,
                     request.time, describeChange(base.pieces, next.pieces)});
  return resultOf(swapHead(next, reading.revision, request.publishId), base,
                  next);
}

PublishResult Publisher::setDrained(const std::string &upstream, bool drained,
                                    const std::string &publishId,
                                    const std::string &author, WallTime time) {
  PublishResult result;
  for (int attempt = 0; attempt < options_.maxTries; ++attempt) {
    const HeadReading reading = readHead();
    if (!reading.ok)
      return failedBy(reading.detail);
    ConfigurationHead next = reading.head;
    auto &list = next.drained;
    const auto found = std::find(list.begin(), list.end(), upstream);
    if ((found != list.end()) == drained) {
      result.status = findPublish(next, publishId) != nullptr
                          ? PublishStatus::Accepted
                          : PublishStatus::Unchanged;
      result.generation = next.generation;
      return result;
    }
    if (drained)
      list.push_back(upstream);
    else
      list.erase(found);
    next.generation = reading.head.generation + 1;
    addHistory(&next,
               {next.generation, publishId, author, time,
                absl::StrCat(drained ? "drain " : "undrain ", upstream)});
    const Swap swap = swapHead(next, reading.revision, publishId);
    result = resultOf(swap, reading.head, next);
    if (swap.status != PublishStatus::Conflict)
      return result;
  }
  return result;
}

} // namespace auburnspring
