#ifndef AUBURNSPRING_DECISION_CONTENT_DELTA_H
#define AUBURNSPRING_DECISION_CONTENT_DELTA_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// A value that a host holds, described by the digests of its parts.
struct HeldContent {
  std::string key;
  /// Digest of the whole value.
  std::uint64_t digest = 0;
  /// Digests of the parts, in order.
  std::vector<std::uint64_t> parts;
};

/// A value as the difference to one that its receiver holds.
struct ContentDelta {
  /// Consecutive parts of the held value, or, if `count` is 0, bytes that it
  /// lacks.
  struct Piece {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
    std::string bytes;
  };

  std::string key;
  std::int64_t revision = 0;
  /// Digests of the held value and of the result.
  std::uint64_t base = 0;
  std::uint64_t digest = 0;
  std::vector<Piece> pieces;
};

/// Splits values into parts where their content says so, so that an insertion
/// changes the parts around it alone. The method is content-defined chunking
/// with a gear hash (Xia et al., FastCDC, USENIX ATC 2016).
///
/// Remembers how the latest values were split.
class ContentSplitter {
public:
  /// Sizes of parts in bytes; the last one may be smaller.
  static constexpr std::size_t MinPartBytes = 1 << 10;
  static constexpr std::size_t MeanPartBytes = 4 << 10;
  static constexpr std::size_t MaxPartBytes = 16 << 10;

  HeldContent describe(const std::string &key, std::string_view value);

  /// The difference of `value` to what the receiver holds; empty if it is no
  /// smaller than the value.
  std::optional<ContentDelta> difference(std::string_view value,
                                         const HeldContent &held);

  /// Applies a difference to the held value; empty if it belongs to another
  /// value or the result doesn't have the digest that it should have.
  std::optional<std::string> apply(const ContentDelta &delta,
                                   std::string_view held);

private:
  struct Part {
    std::uint64_t digest = 0;
    std::size_t begin = 0;
    std::size_t size = 0;
  };
  struct Split {
    std::uint64_t digest = 0;
    std::size_t size = 0;
    std::vector<Part> parts;
  };

  const Split &split(std::string_view value);

  /// The latest first.
  std::deque<Split> latest_;
};

} // namespace auburnspring

#endif
