#include "auburnspring/decision/ledger_page.h"

#include "auburnspring/base/digest.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace auburnspring {

namespace {

nlohmann::json toJson(const LedgerRecord &record) {
  nlohmann::json json = {{"nonce", record.nonce},
                         {"body", record.bodyDigest},
                         {"host", record.claimant},
                         {"time", record.time.count()}};
  if (record.outcome)
    json["outcome"] = toString(*record.outcome);
  if (record.responseStored)
    json["answer"] = record.response;
  return json;
}

LedgerRecord readRecord(const nlohmann::json &json) {
  LedgerRecord record;
  record.nonce = json.at("nonce").get<std::string>();
  record.bodyDigest = json.at("body").get<std::string>();
  record.claimant = json.at("host").get<std::string>();
  record.time = WallTime(json.at("time").get<std::int64_t>());
  if (json.contains("outcome")) {
    Outcome outcome = Outcome::Unknown;
    if (parseOutcome(json.at("outcome").get<std::string>(), &outcome))
      record.outcome = outcome;
    else
      record.outcome = Outcome::Unknown;
  }
  record.responseStored = json.contains("answer");
  if (record.responseStored)
    record.response = json.at("answer").get<std::string>();
  return record;
}

} // namespace

void LedgerPage::prune(WallTime oldest, std::vector<SealedPageRef> *dropped) {
  for (auto it = records.begin(); it != records.end();)
    it = it->second.time < oldest ? records.erase(it) : std::next(it);
  for (auto it = tombstones.begin(); it != tombstones.end();)
    it = it->second < oldest ? tombstones.erase(it) : std::next(it);
  for (auto it = sealed.begin(); it != sealed.end();) {
    if (it->newest >= oldest) {
      ++it;
      continue;
    }
    dropped->push_back(*it);
    it = sealed.erase(it);
  }
}

std::string encodePage(const LedgerPage &page) {
  nlohmann::json json = {{"format", 1}, {"records", nlohmann::json::object()}};
  for (const auto &[key, record] : page.records)
    json["records"][key] = toJson(record);
  for (const SealedPageRef &sealed : page.sealed)
    json["sealed"].push_back({sealed.digest, sealed.newest.count()});
  for (const auto &[nonce, time] : page.tombstones)
    json["withdrawn"][nonce] = time.count();
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<LedgerPage> decodePage(absl::string_view text) {
  LedgerPage page;
  if (text.empty())
    return page;
  const nlohmann::json json =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded())
    return absl::DataLossError("the ledger page is not valid JSON");
  try {
    if (json.at("format").get<int>() != 1)
      return absl::UnimplementedError(
          "the ledger page has an unsupported format");
    for (const auto &item : json.at("records").items())
      page.records[item.key()] = readRecord(item.value());
    const nlohmann::json tombstones =
        json.value("withdrawn", nlohmann::json::object());
    for (const auto &item : tombstones.items())
      page.tombstones[item.key()] = WallTime(item.value().get<std::int64_t>());
    for (const nlohmann::json &sealed :
         json.value("sealed", nlohmann::json::array()))
      page.sealed.push_back({sealed.at(0).get<std::string>(),
                             WallTime(sealed.at(1).get<std::int64_t>())});
  } catch (const nlohmann::json::exception &error) {
    return absl::DataLossError(
        absl::StrCat("the ledger page is damaged: ", error.what()));
  }
  return page;
}

std::string encodeRecord(const LedgerRecord &record) {
  return toJson(record).dump(-1, ' ', false,
                             nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<LedgerRecord> decodeRecord(absl::string_view text) {
  const nlohmann::json json =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded())
    return absl::DataLossError("a ledger record is not valid JSON");
  try {
    return readRecord(json);
  } catch (const nlohmann::json::exception &error) {
    return absl::DataLossError(
        absl::StrCat("a ledger record is damaged: ", error.what()));
  }
}

std::string scopedKey(absl::string_view organisation, absl::string_view route,
                      absl::string_view key) {
  std::string joined;
  for (const absl::string_view part : {organisation, route, key})
    absl::StrAppend(&joined, part.size(), ":", part, ";");
  return digestHex(joined);
}

std::size_t ledgerShard(absl::string_view scopedKey, std::size_t shards) {
  return stableHash(scopedKey) % shards;
}

std::string ledgerPageKey(absl::string_view prefix, std::size_t shard) {
  return absl::StrCat(prefix, "ledger/", shard);
}

std::string ledgerSealedKey(absl::string_view prefix, std::size_t shard,
                            absl::string_view digest) {
  return absl::StrCat(prefix, "ledger/", shard, "/", digest);
}

} // namespace auburnspring
