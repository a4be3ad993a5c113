#include "auburnspring/decision/content_delta.h"

#include "auburnspring/base/digest.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>

namespace auburnspring {

namespace {

/// Values whose split is remembered: a few versions of a few large items.
constexpr std::size_t MaxLatest = 8;
/// A part ends where these bits of the hash are zero, once in MeanPartBytes on
/// average. The high bits depend on the most bytes.
constexpr std::uint64_t EndMask =
    static_cast<std::uint64_t>(ContentSplitter::MeanPartBytes - 1) << 52U;
/// Size of a reference to held parts in a message, about.
constexpr std::size_t ReferenceBytes = 8;

/// Pseudo-random numbers by splitmix64 (Steele et al., OOPSLA 2014), the same
/// on every host.
std::array<std::uint64_t, 256> makeGears() {
  std::array<std::uint64_t, 256> gears{};
  std::uint64_t state = 0;
  for (std::uint64_t &gear : gears) {
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t bits = state;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
    gear = bits ^ (bits >> 31U);
  }
  return gears;
}

std::size_t partSize(std::string_view rest) {
  static const std::array<std::uint64_t, 256> gears = makeGears();
  const std::size_t end = std::min(rest.size(), ContentSplitter::MaxPartBytes);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < end; ++i) {
    hash = (hash << 1U) + gears[static_cast<unsigned char>(rest[i])];
    if (i + 1 >= ContentSplitter::MinPartBytes && (hash & EndMask) == 0)
      return i + 1;
  }
  return end;
}

absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

} // namespace

const ContentSplitter::Split &ContentSplitter::split(std::string_view value) {
  const std::uint64_t digest = stableHash(view(value));
  const auto known =
      std::find_if(latest_.begin(), latest_.end(), [&](const Split &entry) {
        return entry.digest == digest && entry.size == value.size();
      });
  if (known != latest_.end()) {
    std::rotate(latest_.begin(), known, std::next(known));
    return latest_.front();
  }
  Split added{digest, value.size(), {}};
  for (std::size_t begin = 0; begin < value.size();) {
    const std::size_t size = partSize(value.substr(begin));
    added.parts.push_back(
        {stableHash(view(value.substr(begin, size))), begin, size});
    begin += size;
  }
  latest_.push_front(std::move(added));
  if (latest_.size() > MaxLatest)
    latest_.pop_back();
  return latest_.front();
}

HeldContent ContentSplitter::describe(const std::string &key,
                                      std::string_view value) {
  const Split &own = split(value);
  HeldContent held{key, own.digest, {}};
  held.parts.reserve(own.parts.size());
  for (const Part &part : own.parts)
    held.parts.push_back(part.digest);
  return held;
}

std::optional<ContentDelta>
ContentSplitter::difference(std::string_view value, const HeldContent &held) {
  absl::flat_hash_map<std::uint64_t, std::uint32_t> heldIndex;
  for (std::size_t i = 0; i < held.parts.size(); ++i)
    heldIndex.emplace(held.parts[i], static_cast<std::uint32_t>(i));
  const Split &own = split(value);
  ContentDelta delta;
  delta.key = held.key;
  delta.base = held.digest;
  delta.digest = own.digest;
  std::size_t bytes = 0;
  for (const Part &part : own.parts) {
    ContentDelta::Piece *last =
        delta.pieces.empty() ? nullptr : &delta.pieces.back();
    const auto found = heldIndex.find(part.digest);
    if (found == heldIndex.end()) {
      if (last == nullptr || last->count > 0)
        last = &delta.pieces.emplace_back();
      last->bytes.append(value.substr(part.begin, part.size));
      bytes += part.size;
      continue;
    }
    const std::size_t next =
        last == nullptr ? 0 : std::size_t{last->first} + last->count;
    if (last != nullptr && last->count > 0 && next < held.parts.size() &&
        held.parts[next] == part.digest) {
      ++last->count;
      continue;
    }
    delta.pieces.push_back({found->second, 1, {}});
    bytes += ReferenceBytes;
  }
  return bytes < value.size() ? std::make_optional(std::move(delta))
                              : std::nullopt;
}

std::optional<std::string> ContentSplitter::apply(const ContentDelta &delta,
                                                  std::string_view held) {
  const Split &own = split(held);
  if (own.digest != delta.base)
    return std::nullopt;
  std::string value;
  for (const ContentDelta::Piece &piece : delta.pieces) {
    value.append(piece.bytes);
    if (piece.count == 0)
      continue;
    const std::size_t end = std::size_t{piece.first} + piece.count;
    if (end > own.parts.size())
      return std::nullopt;
    const Part &last = own.parts[end - 1];
    const std::size_t begin = own.parts[piece.first].begin;
    value.append(held.substr(begin, last.begin + last.size - begin));
  }
  return stableHash(view(value)) == delta.digest
             ? std::make_optional(std::move(value))
             : std::nullopt;
}

} // namespace auburnspring
