#ifndef AUBURNSPRING_DECISION_PART_GUARD_FLEET_H
#define AUBURNSPRING_DECISION_PART_GUARD_FLEET_H

#include "auburnspring/decision/part_guard.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace auburnspring {

/// Guards of a whole fleet on a virtual clock. Messages take some milliseconds
/// and may get lost; heartbeats go to the next hosts in a ring.
struct PartGuardFleet {
  using Parts = std::vector<std::string>;

  static constexpr std::size_t HeartbeatFanout = 12;
  static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(200);

  struct Delivery {
    TimePoint at;
    std::size_t from;
    std::size_t to;
    PeerMessage message;
  };

  std::vector<std::unique_ptr<PartGuard>> guards;
  std::vector<std::string> names;
  std::vector<std::size_t> received;
  std::vector<Delivery> inFlight;
  std::vector<PartGuard::Decision> decisions;
  std::mt19937_64 random{7};
  double lossShare = 0;
  /// How long the requests have run that crash() breaks off.
  Duration runTime = std::chrono::hours(1);
  TimePoint now = TimePoint() + std::chrono::seconds(10000);
  TimePoint nextHeartbeat = now;
  int nextUpstream = 0;

  explicit PartGuardFleet(std::size_t hosts) : received(hosts) {
    for (std::size_t i = 0; i < hosts; ++i)
      names.push_back(fmt::format("host-{:03}", i));
    for (const std::string &name : names) {
      guards.push_back(std::make_unique<PartGuard>(name));
      guards.back()->setHosts(candidates());
    }
  }

  std::vector<BatchingCandidate> candidates() const {
    std::vector<BatchingCandidate> all;
    for (const std::string &name : names)
      all.push_back({name, 1});
    return all;
  }

  /// Trials that were granted so far.
  std::size_t trials() const {
    return static_cast<std::size_t>(std::count_if(
        decisions.begin(), decisions.end(), [](const auto &decision) {
          return decision.change == PartQuarantines::Change::Trial &&
                 decision.source.empty();
        }));
  }

  std::size_t indexOf(const std::string &name) const {
    return static_cast<std::size_t>(
        std::find(names.begin(), names.end(), name) - names.begin());
  }

  void post(std::size_t from, std::size_t to, const PeerMessage &message) {
    if (from == to || std::bernoulli_distribution(lossShare)(random))
      return;
    const std::chrono::milliseconds delay(
        std::uniform_int_distribution<int>(1, 5)(random));
    inFlight.push_back({now + delay, from, to, message});
  }

  void collect(std::size_t from) {
    PartGuard &guard = *guards[from];
    for (const PartGuard::Message &message : guard.takeMessages()) {
      if (!message.host.empty()) {
        post(from, indexOf(message.host), message.message);
        continue;
      }
      for (std::size_t to = 0; to < guards.size(); ++to)
        post(from, to, message.message);
    }
    for (PartGuard::Decision &decision : guard.takeDecisions())
      decisions.push_back(std::move(decision));
  }

  void deliver(const Delivery &delivery) {
    PartGuard &guard = *guards[delivery.to];
    const std::string &from = names[delivery.from];
    ++received[delivery.to];
    if (const auto *report = std::get_if<PartCrashReport>(&delivery.message))
      guard.onReport(from, *report, now);
    else if (const auto *update =
                 std::get_if<PartQuarantineUpdate>(&delivery.message))
      guard.onUpdate(from, *update, now);
    else if (const auto *request =
                 std::get_if<PartTrialRequest>(&delivery.message))
      guard.onTrialRequest(from, *request, now);
    else if (const auto *reply = std::get_if<PartTrialReply>(&delivery.message))
      guard.onTrialReply(*reply);
    else if (const auto *heartbeat =
                 std::get_if<HostHeartbeat>(&delivery.message))
      guard.onHeartbeat(from, heartbeat->quarantines, now);
    collect(delivery.to);
  }

  void sendHeartbeats() {
    for (std::size_t from = 0; from < guards.size(); ++from) {
      HostHeartbeat heartbeat;
      heartbeat.quarantines = guards[from]->statesForHeartbeat(now);
      if (heartbeat.quarantines.empty())
        continue;
      for (std::size_t i = 1; i <= std::min(HeartbeatFanout, guards.size() - 1);
           ++i)
        post(from, (from + i) % guards.size(), heartbeat);
    }
  }

  void runFor(Duration span) {
    const TimePoint end = now + span;
    while (now < end) {
      now += std::chrono::milliseconds(1);
      if (now >= nextHeartbeat) {
        nextHeartbeat = now + HeartbeatInterval;
        sendHeartbeats();
      }
      std::vector<Delivery> due;
      const auto later = std::partition(
          inFlight.begin(), inFlight.end(),
          [&](const Delivery &delivery) { return delivery.at > now; });
      std::move(later, inFlight.end(), std::back_inserter(due));
      inFlight.erase(later, inFlight.end());
      for (const Delivery &delivery : due)
        deliver(delivery);
      for (std::size_t i = 0; i < guards.size(); ++i) {
        guards[i]->tick(now);
        collect(i);
      }
    }
  }

  /// An upstream crashes under the requests, each at one host.
  void crash(const std::vector<std::pair<std::size_t, Parts>> &requests) {
    const std::string upstream = fmt::format("u{}", nextUpstream++);
    for (const auto &[host, parts] : requests)
      guards[host]->onBroken(parts, upstream, 1, runTime, now);
  }

  std::size_t holdingBack(const Parts &parts) {
    return static_cast<std::size_t>(
        std::count_if(guards.begin(), guards.end(), [&](const auto &guard) {
          return guard->check(parts, now).verdict != PartVerdict::Free;
        }));
  }
};

} // namespace auburnspring

#endif
