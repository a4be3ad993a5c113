#ifndef AUBURNSPRING_PEER_REPLAY_WINDOW_H
#define AUBURNSPRING_PEER_REPLAY_WINDOW_H

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace auburnspring {

/// Tells replays of one sender's messages from new ones by their sequence
/// numbers, as IPsec does (RFC 4303, 3.4.3). A message that others have
/// overtaken, on a connection that replaced its own, is new only if its kind
/// may arrive late.
class ReplayWindow {
public:
  /// Sequence numbers that are remembered: some seconds of a host that sends
  /// a thousand messages a second to all its peers.
  static constexpr std::size_t Size = 8192;

  explicit ReplayWindow(std::uint64_t incarnation = 0)
      : incarnation_(incarnation) {}

  std::uint64_t incarnation() const { return incarnation_; }

  /// True if the message is new; remembers its number.
  bool accept(std::uint64_t sequence, bool mayArriveLate) {
    if (sequence > highest_) {
      advance(sequence);
      seen_.set(sequence % Size);
      return true;
    }
    if (!mayArriveLate || highest_ - sequence >= Size ||
        seen_.test(sequence % Size))
      return false;
    seen_.set(sequence % Size);
    return true;
  }

private:
  void advance(std::uint64_t sequence) {
    if (sequence - highest_ >= Size)
      seen_.reset();
    else
      for (std::uint64_t i = highest_ + 1; i < sequence; ++i)
        seen_.reset(i % Size);
    highest_ = sequence;
  }

  std::uint64_t incarnation_;
  std::uint64_t highest_ = 0;
  std::bitset<Size> seen_;
};

} // namespace auburnspring

#endif
