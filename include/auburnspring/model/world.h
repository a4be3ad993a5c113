#ifndef AUBURNSPRING_MODEL_WORLD_H
#define AUBURNSPRING_MODEL_WORLD_H

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

/// One caller's request and what it was told.
struct CallerRecord {
  std::string route;
  std::string organisation;
  std::string key;
  std::string body;
  std::size_t host = 0;
  RequestId request = 0;
  std::uint64_t incarnation = 0;
  TimePoint sentAt;
  /// Empty while open, and for ever if the host died.
  std::optional<AnswerCaller> answer;
  TimePoint answeredAt;
  int answers = 0;
  std::string streamed;
  std::optional<TimePoint> firstToken;
};

/// A few entry hosts with small fakes at every interface, on one virtual
/// clock. Everything random comes from the seed.
class World {
public:
  using HostFactory =
      std::function<std::unique_ptr<HostUnderTest>(EntryHost::Options)>;

  struct Options {
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    std::size_t dataCentres = 4;
    Duration hostToUpstream = std::chrono::microseconds(1000);
    Duration hostToHost = std::chrono::microseconds(1000);
    Duration callerToHost = std::chrono::microseconds(1000);
    Duration hostListInterval = std::chrono::milliseconds(500);
    Duration hostListLag = std::chrono::seconds(1);
    Duration loadReportInterval = std::chrono::milliseconds(500);
    Duration keyValueTimeout = std::chrono::milliseconds(800);
    Duration streamStall = std::chrono::milliseconds(1500);
    HostFactory makeHost = makeEntryHost;
    /// Changes each host's options before it starts.
    std::function<void(EntryHost::Options *options)> adjust;
    /// Sees every message that a host sends to a peer.
    std::function<void(std::size_t from, const SendToPeer &send)> observePeer;
  };

  explicit World(Options options);

  EventQueue &queue() { return queue_; }
  FakeKeyValue &keyValue() { return keyValue_; }
  void addUpstream(FakeUpstream::Options options);
  FakeUpstream &upstream(const std::string &name);
  std::vector<FakeUpstream *> pool(const std::string &name);
  std::vector<FakeUpstream *> upstreams();
  HostUnderTest *host(std::size_t index) { return hosts_[index].host.get(); }
  std::size_t hostCount() const { return hosts_.size(); }

  /// Starts every host and the reading of lists and reports.
  void start();

  /// Puts route texts in force as an operator does; the generation, or 0.
  std::uint64_t publish(const std::map<std::string, std::string> &files);

  /// Sends a request to a host; the index of its record.
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
  void hangUp(std::size_t record);
  /// Cuts or heals the way between two hosts.
  void cut(std::size_t a, std::size_t b, bool broken);
  /// The list shows nothing new, or nothing at all, while set.
  void setHostList(bool stuck, bool empty);

  void runFor(Duration span) { queue_.runUntil(queue_.now() + span); }
  TimePoint now() const { return queue_.now(); }

  /// What is wrong with the answers so far: a request told twice, an answer
  /// that is not its own or not whole, a false not-run, a key executed twice.
  /// Empty if nothing is.
  std::vector<std::string> violations() const;

  /// The answer that a route must give to a body; empty if it is not known.
  std::optional<std::string> expectedAnswer(const std::string &route,
                                            const std::string &body) const;

  std::uint64_t peerMessages = 0;
  std::uint64_t attemptsStarted = 0;

private:
  struct OpenAttempt {
    std::string upstream;
    TimePoint heardAt;
  };

  struct HostSlot {
    std::unique_ptr<HostUnderTest> host;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    RequestId nextRequest = 1;
    std::vector<Event> held;
    TimePoint wakeAt = TimePoint::max();
    std::map<RequestId, std::size_t> records;
    std::map<AttemptId, OpenAttempt> attempts;
  };

  Instant instant() const;
  EntryHost::Options hostOptions(std::size_t index,
                                 std::uint64_t incarnation) const;
  void deliver(std::size_t host, std::uint64_t incarnation, Event event);
  void handle(std::size_t host, Event event);
  void arm(std::size_t host);
  void perform(std::size_t host, Action &action);
  void startAttempt(std::size_t host, const StartAttempt &action);
  void watchStream(std::size_t host, std::uint64_t incarnation,
                   const AttemptId &id);
  void endAttempt(std::size_t host, std::uint64_t incarnation,
                  const AttemptId &id, const char *detail);
  void hear(std::size_t host, std::uint64_t incarnation, const Event &event);
  void cancelAttempt(std::size_t host, const CancelAttempt &action);
  void answerCaller(std::size_t host, const AnswerCaller &action);
  void callKeyValue(std::size_t host, const CallKeyValue &action);
  void sendToPeer(std::size_t host, SendToPeer action);
  void readHostList(std::size_t host, std::uint64_t incarnation);
  void readLoads(std::size_t host, std::uint64_t incarnation);
  void snapshotList();
  TimePoint sentAt(const AttemptId &id) const;
  void checkRecord(const CallerRecord &record,
                   std::vector<std::string> *wrong) const;

  Options options_;
  EventQueue queue_;
  FakeKeyValue keyValue_;
  std::mt19937_64 random_;
  std::vector<HostSlot> hosts_;
  std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams_;
  RouteTable routes_;
  std::vector<CallerRecord> records_;
  std::set<std::pair<std::size_t, std::size_t>> broken_;
  std::vector<std::pair<TimePoint, HostList>> lists_;
  bool listStuck_ = false;
  bool listEmpty_ = false;
  std::uint64_t publishes_ = 0;
};

} // namespace auburnspring

#endif
