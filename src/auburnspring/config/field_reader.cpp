#include "auburnspring/config/field_reader.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace auburnspring {

namespace {

std::size_t editDistance(absl::string_view a, absl::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j)
    row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t change = a[i - 1] == b[j - 1] ? 0 : 1;
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + change});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string toTruncatedJson(const nlohmann::json &value) {
  constexpr std::size_t MaxBytes = 40;
  const std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return text.size() <= MaxBytes ? text : text.substr(0, MaxBytes) + "...";
}

} // namespace

std::string nearestWord(absl::string_view text,
                        absl::Span<const std::string> words) {
  std::string best;
  std::size_t bestDistance = text.size() / 3 + 1;
  for (const std::string &word : words) {
    const std::size_t distance = editDistance(text, word);
    if (distance > bestDistance || (distance == bestDistance && !best.empty()))
      continue;
    bestDistance = distance;
    best = word;
  }
  return best;
}

FieldReader::FieldReader(const LocatedJson &document,
                         const nlohmann::json &object, std::string path,
                         Faults *faults)
    : document_(&document), object_(&object), path_(std::move(path)),
      faults_(faults) {
  if (!object.is_object())
    addFault("", fmt::format("found {}, wanted an object", object.type_name()));
}

std::string FieldReader::fieldPath(const std::string &name) const {
  if (name.empty())
    return path_;
  return path_.empty() ? name : path_ + "." + name;
}

void FieldReader::addFault(const std::string &name, std::string text) {
  const std::string path = fieldPath(name);
  int line = document_->lineOf(path);
  if (line == 0)
    line = document_->lineOf(path_);
  faults_->push_back({document_->file, line, path, std::move(text)});
}

void FieldReader::addTypeFault(const char *name, const char *expected,
                               const nlohmann::json &found) {
  addFault(name, fmt::format("found {}, wanted {}", toTruncatedJson(found),
                             expected));
}

const nlohmann::json *FieldReader::find(const char *name, Presence presence) {
  knownFields_.emplace_back(name);
  if (!object_->is_object())
    return nullptr;
  const auto found = object_->find(name);
  if (found != object_->end())
    return &*found;
  if (presence == Presence::Required)
    addFault(name, "the field is required");
  return nullptr;
}

void FieldReader::text(const char *name, std::string *out, Presence presence,
                       std::size_t maxBytes) {
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return;
  if (!value->is_string())
    return addTypeFault(name, "a string", *value);
  const std::string &found = value->get_ref<const std::string &>();
  if (found.empty() || found.size() > maxBytes) {
    addFault(name, fmt::format("found {} bytes, allowed are 1 to {}",
                               found.size(), maxBytes));
    return;
  }
  *out = found;
}

void FieldReader::integer(const char *name, std::int64_t *out, std::int64_t low,
                          std::int64_t high, Presence presence) {
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return;
  if (!value->is_number_integer())
    return addTypeFault(name, "a whole number", *value);
  const auto found = value->get<std::int64_t>();
  if (found < low || found > high) {
    addFault(name,
             fmt::format("found {}, allowed are {} to {}", found, low, high));
    return;
  }
  *out = found;
}

void FieldReader::number(const char *name, double *out, double low, double high,
                         Presence presence) {
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return;
  if (!value->is_number())
    return addTypeFault(name, "a number", *value);
  const double found = value->get<double>();
  if (!std::isfinite(found) || found < low || found > high) {
    addFault(name,
             fmt::format("found {}, allowed are {} to {}", found, low, high));
    return;
  }
  *out = found;
}

void FieldReader::boolean(const char *name, bool *out, Presence presence) {
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return;
  if (!value->is_boolean())
    return addTypeFault(name, "true or false", *value);
  *out = value->get<bool>();
}

void FieldReader::millis(const char *name, Duration *out, std::int64_t low,
                         std::int64_t high, Presence presence) {
  std::int64_t count = 0;
  const std::size_t before = faults_->size();
  integer(name, &count, low, high, presence);
  const bool given = object_->is_object() && object_->contains(name);
  if (given && faults_->size() == before)
    *out = std::chrono::milliseconds(count);
}

void FieldReader::choice(const char *name, absl::Span<const char *const> words,
                         std::size_t *out, Presence presence) {
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return;
  const std::string allowed = absl::StrJoin(words, ", ");
  if (!value->is_string())
    return addTypeFault(name, ("one of " + allowed).c_str(), *value);
  const std::string &found = value->get_ref<const std::string &>();
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (found != words[i])
      continue;
    *out = i;
    return;
  }
  addFault(name, fmt::format("found {}, allowed are {}",
                             toTruncatedJson(*value), allowed));
}

void FieldReader::texts(const char *name, std::vector<std::string> *out,
                        Presence presence) {
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return;
  if (!value->is_array())
    return addTypeFault(name, "an array of strings", *value);
  for (const nlohmann::json &item : *value) {
    if (!item.is_string())
      return addTypeFault(name, "an array of strings", item);
    out->push_back(item.get<std::string>());
  }
}

std::vector<FieldReader> FieldReader::objects(const char *name,
                                              Presence presence,
                                              std::size_t maxCount) {
  std::vector<FieldReader> readers;
  const nlohmann::json *value = find(name, presence);
  if (value == nullptr)
    return readers;
  if (!value->is_array()) {
    addTypeFault(name, "an array of objects", *value);
    return readers;
  }
  if (value->size() > maxCount) {
    addFault(name, fmt::format("found {} entries, allowed are {}",
                               value->size(), maxCount));
    return readers;
  }
  for (std::size_t i = 0; i < value->size(); ++i)
    readers.emplace_back(*document_, (*value)[i],
                         fmt::format("{}[{}]", fieldPath(name), i), faults_);
  return readers;
}

void FieldReader::rejectUnknownFields() {
  if (!object_->is_object())
    return;
  for (const auto &item : object_->items()) {
    const std::string &name = item.key();
    if (std::find(knownFields_.begin(), knownFields_.end(), name) !=
        knownFields_.end())
      continue;
    const std::string nearest = nearestWord(name, knownFields_);
    if (nearest.empty())
      addFault(name, "unknown field; known fields are " +
                         absl::StrJoin(knownFields_, ", "));
    else
      addFault(name,
               fmt::format("unknown field; did you mean \"{}\"?", nearest));
  }
}

} // namespace auburnspring
