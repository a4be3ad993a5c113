#include "auburnspring/model/fake_key_value.h"

namespace auburnspring {

namespace {

// Longer than the key-value timeout of the simulated hosts (800 ms).
constexpr Duration LateWriteDelay = std::chrono::milliseconds(1500);

KvReply failedReply(KvStatus status) {
  KvReply reply;
  reply.status = status;
  return reply;
}

} // namespace

FakeKeyValue::FakeKeyValue(EventQueue *queue, std::uint64_t seed)
    : queue_(queue), random_(seed) {}

bool FakeKeyValue::withProbability(double probability) {
  if (probability <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

KvReply FakeKeyValue::call(const KvOperation &operation) {
  return apply(operation);
}

KvReply FakeKeyValue::apply(const KvOperation &operation) {
  if (operation.verb == KvVerb::Delete) {
    values_.erase(operation.key);
    return {KvStatus::Ok, "", ++revision_};
  }
  const auto found = values_.find(operation.key);
  const std::int64_t currentRevision =
      found == values_.end() ? 0 : found->second.revision;
  KvReply reply;
  if (operation.verb == KvVerb::Get ||
      currentRevision != operation.expectedRevision) {
    reply.status =
        operation.verb == KvVerb::Get ? KvStatus::Ok : KvStatus::Conflict;
    reply.revision = currentRevision;
    if (found != values_.end())
      reply.value = found->second.text;
    return reply;
  }
  Value &value = values_[operation.key];
  value.previousText = std::move(value.text);
  value.previousRevision = value.revision;
  value.text = operation.value;
  value.revision = ++revision_;
  bytesWritten += operation.value.size();
  reply.status = KvStatus::Ok;
  reply.revision = value.revision;
  return reply;
}

KvReply FakeKeyValue::readStale(const KvOperation &operation) const {
  KvReply reply;
  reply.status = KvStatus::Ok;
  const auto found = values_.find(operation.key);
  if (found == values_.end())
    return reply;
  reply.value = found->second.previousText;
  reply.revision = found->second.previousRevision;
  return reply;
}

void FakeKeyValue::submit(const KvOperation &operation, Duration timeout,
                          const ReplyCallback &onReply) {
  const bool write = operation.verb != KvVerb::Get;
  ++(write ? writes : reads);
  const KvStatus lostStatus = write ? KvStatus::Unknown : KvStatus::Unavailable;
  const auto onTimeout = [onReply, lostStatus] {
    onReply(failedReply(lostStatus));
  };
  if (faults.down)
    return queue_->after(timeout, onTimeout);
  if (faults.frozen) {
    deferredCalls_.push_back([this, operation] { apply(operation); });
    return queue_->after(timeout, onTimeout);
  }
  if (write && withProbability(faults.loseWrite))
    return queue_->after(timeout, onTimeout);
  if (write && withProbability(faults.applyLate)) {
    queue_->after(LateWriteDelay, [this, operation] { apply(operation); });
    return queue_->after(timeout, onTimeout);
  }
  if (write && withProbability(faults.loseResponse)) {
    queue_->after(faults.delay / 2, [this, operation] { apply(operation); });
    return queue_->after(timeout, onTimeout);
  }
  if (!write && withProbability(faults.staleRead))
    return queue_->after(faults.delay, [this, operation, onReply] {
      onReply(readStale(operation));
    });
  queue_->after(faults.delay / 2, [this, operation, onReply] {
    const KvReply reply = apply(operation);
    queue_->after(faults.delay / 2, [onReply, reply] { onReply(reply); });
  });
}

void FakeKeyValue::thaw() {
  faults.frozen = false;
  const std::vector<std::function<void()>> calls = std::move(deferredCalls_);
  deferredCalls_.clear();
  for (const auto &call : calls)
    call();
}

} // namespace auburnspring
