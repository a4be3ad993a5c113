#ifndef AUBURNSPRING_SOAK_STREAM_CHECKER_H
#define AUBURNSPRING_SOAK_STREAM_CHECKER_H

#include "soak/call_outcome.h"
#include "soak/sent_call.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring::soak {

/// Checks the events of streams, each over all the requests by which its caller
/// took it up: their order, that one software version wrote them, and the share
/// of resumed streams that go on.
class StreamChecker {
public:
  void onEvent(const SentCall &call, int number, std::string_view version);
  /// An upstream of the version has run the request.
  void onRun(const SentCall &call, std::string_view version);
  /// `isConnected` tells whether the host was connected all the while.
  void onOutcome(const SentCall &call, const CallOutcome &outcome,
                 bool isConnected, TimePoint at);

  std::vector<std::string> violations() const;
  /// One line for each stream that holds events of two versions.
  std::vector<std::string> mixedStreams() const;
  /// Counts of the run.
  std::string summary() const;

private:
  /// Events of one software version that one request brought.
  struct Segment {
    std::string id;
    std::string host;
    std::string version;
    int first = 0;
    int last = 0;
  };
  /// Requests for streams at connected hosts, and how many brought an event.
  struct Share {
    std::size_t sent = 0;
    std::size_t begun = 0;
    double value() const;
  };

  std::map<std::string, std::vector<Segment>> streams_;
  Share newStreams_;
  Share resumedStreams_;
  std::vector<std::string> misordered_;
  /// Resumed streams that ran at another version than the one that began them.
  std::vector<std::string> misplacedRuns_;
};

} // namespace auburnspring::soak

#endif
