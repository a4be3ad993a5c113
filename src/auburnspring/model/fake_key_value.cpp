#include "auburnspring/model/fake_key_value.h"

namespace auburnspring {

namespace {

constexpr Duration LateBy = std::chrono::milliseconds(1500);

KvReply failed(KvStatus status) {
  KvReply reply;
  reply.status = status;
  return reply;
}

} // namespace

FakeKeyValue::FakeKeyValue(EventQueue *queue, std::uint64_t seed)
    : queue_(queue), random_(seed) {}

bool FakeKeyValue::happens(double share) {
  if (share <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
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
  const std::int64_t present =
      found == values_.end() ? 0 : found->second.revision;
  KvReply reply;
  if (operation.verb == KvVerb::Get || present != operation.expectedRevision) {
    reply.status =
        operation.verb == KvVerb::Get ? KvStatus::Ok : KvStatus::Conflict;
    reply.revision = present;
    if (found != values_.end())
      reply.value = found->second.text;
    return reply;
  }
  Value &value = values_[operation.key];
  value.before = std::move(value.text);
  value.revisionBefore = value.revision;
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
  reply.value = found->second.before;
  reply.revision = found->second.revisionBefore;
  return reply;
}

void FakeKeyValue::submit(const KvOperation &operation, Duration timeout,
                          const Answer &answer) {
  const bool write = operation.verb != KvVerb::Get;
  ++(write ? writes : reads);
  const KvStatus lost = write ? KvStatus::Unknown : KvStatus::Unavailable;
  const auto giveUp = [answer, lost] { answer(failed(lost)); };
  if (faults.down)
    return queue_->after(timeout, giveUp);
  if (faults.frozen) {
    frozenCalls_.push_back([this, operation] { apply(operation); });
    return queue_->after(timeout, giveUp);
  }
  if (write && happens(faults.loseBefore))
    return queue_->after(timeout, giveUp);
  if (write && happens(faults.landLate)) {
    queue_->after(LateBy, [this, operation] { apply(operation); });
    return queue_->after(timeout, giveUp);
  }
  if (write && happens(faults.loseAfter)) {
    queue_->after(faults.delay / 2, [this, operation] { apply(operation); });
    return queue_->after(timeout, giveUp);
  }
  if (!write && happens(faults.stale))
    return queue_->after(faults.delay, [this, operation, answer] {
      answer(readStale(operation));
    });
  queue_->after(faults.delay / 2, [this, operation, answer] {
    const KvReply reply = apply(operation);
    queue_->after(faults.delay / 2, [answer, reply] { answer(reply); });
  });
}

void FakeKeyValue::thaw() {
  faults.frozen = false;
  const std::vector<std::function<void()>> calls = std::move(frozenCalls_);
  frozenCalls_.clear();
  for (const auto &call : calls)
    call();
}

} // namespace auburnspring
