#ifndef AUBURNSPRING_MODEL_SIMULATION_H
#define AUBURNSPRING_MODEL_SIMULATION_H

#include "auburnspring/model/event_queue.h"
#include "auburnspring/model/fake_key_value.h"
#include "auburnspring/model/fake_upstream.h"
#include "auburnspring/model/host_under_test.h"

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnspring {

/// One caller's request and the response to it.
struct CallerRecord {
  std::string route;
  std::string organisation;
  std::string key;
  std::string body;
  std::size_t host = 0;
  RequestId request = 0;
  std::uint64_t incarnation = 0;
  TimePoint sentAt;
  /// Empty while the request is open; stays empty if the host is killed.
  std::optional<RespondToCaller> response;
  TimePoint respondedAt;
  int responseCount = 0;
  std::string streamed;
  std::optional<TimePoint> firstTokenAt;
};

/// Simulates a few entry hosts on one virtual clock, with a fake at every
/// interface. All randomness derives from the seed.
class Simulation {
public:
  using HostFactory =
      std::function<std::unique_ptr<HostUnderTest>(EntryHost::Options)>;

  struct Options {
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    std::size_t dataCentres = 4;
    /// One-way network delays.
    Duration hostToUpstream = std::chrono::microseconds(1000);
    Duration hostToHost = std::chrono::microseconds(1000);
    Duration callerToHost = std::chrono::microseconds(1000);
    Duration hostListInterval = std::chrono::milliseconds(500);
    /// Age of the list that a host reads.
    Duration hostListLag = std::chrono::seconds(1);
    Duration loadReportInterval = std::chrono::milliseconds(500);
    Duration keyValueTimeout = std::chrono::milliseconds(800);
    HostFactory makeHost = makeEntryHost;
    /// Adjusts each host's options before it starts.
    std::function<void(EntryHost::Options *options)> adjustOptions;
    /// Called for every message that a host sends to a peer.
    std::function<void(std::size_t from, const SendToPeer &send)> onSendToPeer;
  };

  explicit Simulation(Options options);

  EventQueue &queue() { return queue_; }
  FakeKeyValue &keyValue() { return keyValue_; }
  void addUpstream(FakeUpstream::Options options);
  FakeUpstream &upstream(const std::string &name);
  std::vector<FakeUpstream *> pool(const std::string &name);
  std::vector<FakeUpstream *> upstreams();
  HostUnderTest *host(std::size_t index) { return hosts_[index].host.get(); }
  std::size_t hostCount() const { return hosts_.size(); }

  /// Starts every host and the polling of host lists and load reports.
  void start();

  /// Publishes route files, by name, as an operator does. Returns the
  /// generation, or 0 on failure.
  std::uint64_t publish(const std::map<std::string, std::string> &files);

  /// Sends a request to a host. Returns the index of its record.
  std::size_t call(std::size_t host, const std::string &route,
                   const std::string &organisation, const std::string &key,
                   const std::string &body, bool stream = false,
                   bool firstTry = false);
  const std::vector<CallerRecord> &records() const { return records_; }

  void kill(std::size_t host);
  void restart(std::size_t host);
  void freeze(std::size_t host);
  void thaw(std::size_t host);
  void stop(std::size_t host);
  void disconnectCaller(std::size_t record);
  /// Takes the link between two hosts down, or up again.
  void setLinkDown(std::size_t a, std::size_t b, bool down);
  /// While set, the host list is no longer updated (`stuck`), or lists no
  /// upstreams (`empty`).
  void setHostListFaults(bool stuck, bool empty);

  void runFor(Duration span) { queue_.runUntil(queue_.now() + span); }
  TimePoint now() const { return queue_.now(); }

  /// Violations so far, one message each: a second response to a request, a
  /// wrong or incomplete response, a stream that begins no correct response, a
  /// false not-run outcome, or a key executed more than once.
  std::vector<std::string> violations() const;

  /// The correct responses of a route to a body, one for each choice of a
  /// software version for each generation; empty for an unknown route.
  std::vector<std::string> expectedResponses(const std::string &route,
                                             const std::string &body) const;

  std::uint64_t peerMessages = 0;
  std::uint64_t attemptsStarted = 0;

private:
  struct HostSlot {
    std::unique_ptr<HostUnderTest> host;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    RequestId nextRequest = 1;
    std::vector<Event> deferredEvents;
    TimePoint tickAt = TimePoint::max();
    std::map<RequestId, std::size_t> records;
    /// Upstream of each open attempt.
    std::map<AttemptId, std::string> attempts;
  };

  Instant instant() const;
  EntryHost::Options hostOptions(std::size_t index,
                                 std::uint64_t incarnation) const;
  void deliver(std::size_t host, std::uint64_t incarnation, Event event);
  void handle(std::size_t host, Event event);
  void scheduleTick(std::size_t host);
  void perform(std::size_t host, Action &action);
  void startAttempt(std::size_t host, const StartAttempt &action);
  void endAttempt(std::size_t host, std::uint64_t incarnation,
                  const AttemptId &id, FailureKind kind, const char *detail);
  void receiveAttemptEvent(std::size_t host, std::uint64_t incarnation,
                           const Event &event);
  void cancelAtUpstream(const std::string &upstream, const AttemptId &id);
  void cancelAttempt(std::size_t host, const CancelAttempt &action);
  void respondToCaller(std::size_t host, const RespondToCaller &action);
  void callKeyValue(std::size_t host, const CallKeyValue &action);
  void sendToPeer(std::size_t host, SendToPeer action);
  void pollHostList(std::size_t host, std::uint64_t incarnation);
  void pollLoadReports(std::size_t host, std::uint64_t incarnation);
  void snapshotHostList();
  TimePoint sentAt(const AttemptId &id) const;
  std::set<std::string> versionsOf(const Stage &stage) const;
  void checkRecord(const CallerRecord &record,
                   std::vector<std::string> *messages) const;

  Options options_;
  EventQueue queue_;
  FakeKeyValue keyValue_;
  std::mt19937_64 random_;
  std::vector<HostSlot> hosts_;
  std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams_;
  RouteTable routes_;
  std::vector<CallerRecord> records_;
  std::set<std::pair<std::size_t, std::size_t>> downLinks_;
  std::vector<std::pair<TimePoint, HostList>> hostListHistory_;
  bool hostListStuck_ = false;
  bool hostListEmpty_ = false;
  std::uint64_t publishCount_ = 0;
};

} // namespace auburnspring

#endif
