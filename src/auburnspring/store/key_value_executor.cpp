#include "auburnspring/store/key_value_executor.h"

#include <algorithm>

namespace auburnspring {

namespace {

constexpr auto IdlePollInterval = std::chrono::milliseconds(100);

} // namespace

KeyValueExecutor::KeyValueExecutor(Options options, KeyValueStore *store,
                                   Callback callback)
    : options_(options), store_(store), callback_(std::move(callback)),
      tokens_(static_cast<double>(options.burst)), refilledAt_(Clock::now()) {
  for (std::size_t i = 0; i < options_.threads; ++i)
    threads_.emplace_back([this] { executeLoop(); });
}

KeyValueExecutor::~KeyValueExecutor() { stop(); }

void KeyValueExecutor::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread &thread : threads_)
    thread.join();
  threads_.clear();
}

void KeyValueExecutor::submit(CallKeyValue call) {
  const KvCallId id = call.call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto &queue = queues_[static_cast<std::size_t>(call.priority)];
    if (queue.size() < options_.maxQueued && !stopping_) {
      queue.push_back({std::move(call), Clock::now()});
      wake_.notify_one();
      return;
    }
    ++counters_.refused;
  }
  callback_(id, KvReply());
}

void KeyValueExecutor::refill(Clock::time_point now) {
  const std::chrono::duration<double> elapsed = now - refilledAt_;
  refilledAt_ = now;
  const double added =
      elapsed.count() * static_cast<double>(options_.callsPerSecond);
  tokens_ = std::min(tokens_ + added, static_cast<double>(options_.burst));
}

void KeyValueExecutor::dropOverdue(Clock::time_point now,
                                   std::vector<KvCallId> *overdue) {
  for (auto &queue : queues_) {
    while (!queue.empty() &&
           now - queue.front().queuedAt > options_.maxQueueTime) {
      overdue->push_back(queue.front().call.call);
      queue.pop_front();
      ++counters_.refused;
    }
  }
}

bool KeyValueExecutor::takeNext(CallKeyValue *call,
                                std::vector<KvCallId> *overdue) {
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
    ++counters_.issued;
    return true;
  }
  return false;
}

void KeyValueExecutor::executeLoop() {
  while (true) {
    CallKeyValue call;
    std::vector<KvCallId> overdue;
    bool found = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (stopping_)
        return;
      found = takeNext(&call, &overdue);
      if (!found && overdue.empty()) {
        const bool hasQueued =
            std::any_of(queues_.begin(), queues_.end(),
                        [](const auto &queue) { return !queue.empty(); });
        wake_.wait_for(lock, hasQueued ? std::chrono::milliseconds(5)
                                       : IdlePollInterval);
        continue;
      }
    }
    for (const KvCallId id : overdue)
      callback_(id, KvReply());
    if (!found)
      continue;
    KvReply reply = store_->call(call.operation);
    if (reply.status == KvStatus::Unavailable ||
        reply.status == KvStatus::Unknown) {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++counters_.failed;
    }
    callback_(call.call, std::move(reply));
  }
}

KeyValueExecutor::Counters KeyValueExecutor::counters() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counters_;
}

} // namespace auburnspring
