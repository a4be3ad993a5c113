#include "auburnspring/store/key_value_caller.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr auto IdleWait = std::chrono::milliseconds(100);

} // namespace

KeyValueCaller::KeyValueCaller(Options options, KeyValueStore *store,
                               Answer answer)
    : options_(options), store_(store), answer_(std::move(answer)),
      tokens_(static_cast<double>(options.burst)), refilledAt_(Clock::now()) {
  for (std::size_t i = 0; i < options_.threads; ++i)
    threads_.emplace_back([this] { work(); });
}

KeyValueCaller::~KeyValueCaller() { stop(); }

void KeyValueCaller::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread &thread : threads_)
    thread.join();
  threads_.clear();
}

void KeyValueCaller::submit(CallKeyValue call) {
  const KvCallId id = call.call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto &queue = queues_[static_cast<std::size_t>(call.priority)];
    if (queue.size() < options_.maxWaiting && !stopping_) {
      queue.push_back({std::move(call), Clock::now()});
      wake_.notify_one();
      return;
    }
    ++counters_.refused;
  }
  answer_(id, KvReply());
}

void KeyValueCaller::refill(Clock::time_point now) {
  const std::chrono::duration<double> passed = now - refilledAt_;
  refilledAt_ = now;
  const double earned =
      passed.count() * static_cast<double>(options_.callsPerSecond);
  tokens_ = std::min(tokens_ + earned, static_cast<double>(options_.burst));
}

void KeyValueCaller::dropOverdue(Clock::time_point now,
                                 std::vector<KvCallId> *overdue) {
  for (auto &queue : queues_) {
    while (!queue.empty() && now - queue.front().since > options_.maxWait) {
      overdue->push_back(queue.front().call.call);
      queue.pop_front();
      ++counters_.refused;
    }
  }
}

bool KeyValueCaller::next(CallKeyValue *call, std::vector<KvCallId> *overdue) {
  const Clock::time_point now = Clock::now();
  refill(now);
  dropOverdue(now, overdue);
  if (tokens_ < 1)
    return false;
  for (auto &queue : queues_) {
    if (queue.empty())
      continue;
    *call = std::move(queue.front().call);
    queue.pop_front();
    tokens_ -= 1;
    ++counters_.made;
    return true;
  }
  return false;
}

void KeyValueCaller::work() {
  while (true) {
    CallKeyValue call;
    std::vector<KvCallId> overdue;
    bool found = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (stopping_)
        return;
      found = next(&call, &overdue);
      if (!found && overdue.empty()) {
        const bool waiting =
            std::any_of(queues_.begin(), queues_.end(),
                        [](const auto &queue) { return !queue.empty(); });
        wake_.wait_for(lock, waiting ? std::chrono::milliseconds(5) : IdleWait);
        continue;
      }
    }
    for (const KvCallId id : overdue)
      answer_(id, KvReply());
    if (!found)
      continue;
    KvReply reply = store_->call(call.operation);
    if (reply.status == KvStatus::Unavailable ||
        reply.status == KvStatus::Unknown) {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++counters_.failed;
    }
    answer_(call.call, std::move(reply));
  }
}

KeyValueCaller::Counters KeyValueCaller::counters() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counters_;
}

} // namespace auburnspring
