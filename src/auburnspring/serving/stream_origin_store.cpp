#include "auburnspring/serving/stream_origin_store.h"

#include "auburnspring/base/clock.h"
#include "auburnspring/base/log.h"
#include "auburnspring/wire/stream_origin_page_codec.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace auburnspring {

StreamOriginStore::StreamOriginStore(MetadataStore *store,
                                     StreamOriginExchange *exchange,
                                     PoolVersionHistory *history,
                                     Options options)
    : store_(store), exchange_(exchange), history_(history),
      options_(std::move(options)) {}

// Reading.

void StreamOriginStore::find(const std::string &id, Handler handler) {
  handlers_[reads_.hold(id, steadyNow())] = std::move(handler);
  if (reads_.mustStart(hosts_, steadyNow()))
    startRead();
}

void StreamOriginStore::startRead() {
  ++counters_.reads;
  store_->readAll(
      options_.prefix, MetadataStore::ReadMode::Current,
      storeCalls_.bind(
          [this](const absl::StatusOr<StoreRead> &result) { onRead(result); }));
}

void StreamOriginStore::onRead(const absl::StatusOr<StoreRead> &result) {
  const std::uint64_t before = counters_.originsRead;
  if (result.ok())
    for (const StoreChange &page : result->changes)
      learnPage(page);
  else
    ++counters_.readsFailed;
  const std::vector<StreamOriginReads::Decision> decisions =
      reads_.onEnd(result.ok(), exchange_->origins(), steadyNow());
  logEvent(
      LogLevel::Info, "stream_origins_read",
      {{"ok", result.ok()},
       {"error", std::string(result.status().message())},
       {"pages",
        static_cast<unsigned long>(result.ok() ? result->changes.size() : 0)},
       {"origins", static_cast<unsigned long>(counters_.originsRead - before)},
       {"decided", static_cast<unsigned long>(decisions.size())},
       {"held", static_cast<unsigned long>(reads_.heldCount())}});
  for (const StreamOriginReads::Decision &decision : decisions) {
    const auto held = handlers_.find(decision.number);
    if (held == handlers_.end())
      continue;
    const Handler handler = std::move(held->second);
    handlers_.erase(held);
    const auto found = exchange_->find(decision.id);
    if (decision.outcome != StreamOriginReads::Outcome::Known || !found) {
      handler(decision.outcome, std::nullopt);
      continue;
    }
    ++counters_.recovered;
    handler(decision.outcome, found->origin);
  }
}

void StreamOriginStore::learnPage(const StoreChange &page) {
  const absl::StatusOr<std::vector<StreamOrigin>> origins =
      decodeOriginPage(page.value);
  if (!origins.ok()) {
    logEvent(LogLevel::Warning, "stream_origin_page_ignored",
             {{"key", page.key},
              {"error", std::string(origins.status().message())}});
    return;
  }
  counters_.originsRead += origins->size();
  // The pool has shown these versions, whether or not it still does.
  for (const StreamOrigin &origin : *origins)
    history_->onSeen(origin.pool, origin.softwareVersion, steadyNow());
  exchange_->onOrigins("", *origins);
  exchange_->onStored(*origins);
}

// Writing.

void StreamOriginStore::tick(std::size_t hosts) {
  hosts_ = hosts;
  const TimePoint now = steadyNow();
  if (reads_.mustStart(hosts_, now))
    startRead();
  pages_.add(exchange_->takeForStore(), now);
  const Duration interval = exchange_->heartbeatsReachAll()
                                ? StreamOriginPages::SmallFleetInterval
                                : StreamOriginPages::LargeFleetInterval;
  switch (pages_.nextStep(interval, now)) {
  case StreamOriginPages::Step::None:
    return;
  case StreamOriginPages::Step::CreateLease:
    return createLease();
  case StreamOriginPages::Step::Write:
    return writePage();
  }
}

void StreamOriginStore::createLease() {
  store_->createLease(
      pages_.startLease(steadyNow()),
      storeCalls_.bind([this](const absl::StatusOr<std::int64_t> &lease) {
        pages_.onLease(lease.ok() ? std::make_optional(*lease) : std::nullopt,
                       steadyNow());
        if (lease.ok())
          return tick(hosts_);
        ++counters_.writesFailed;
      }));
}

void StreamOriginStore::writePage() {
  const StreamOriginPages::Page &page = pages_.startPage(steadyNow());
  store_->put(
      absl::StrCat(options_.prefix, options_.host, "/", options_.incarnation,
                   "-", page.number),
      encodeOriginPage(page.origins), page.lease,
      storeCalls_.bind([this, origins = page.origins](
                           const absl::StatusOr<std::int64_t> &written) {
        if (written.ok()) {
          ++counters_.pagesWritten;
          counters_.originsWritten += origins.size();
          exchange_->onStored(origins);
        }
        onWritten(written.status());
      }));
}

void StreamOriginStore::onWritten(const absl::Status &status) {
  using PageOutcome = StreamOriginPages::Outcome;
  const bool isLeaseGone = absl::IsNotFound(status);
  pages_.onPageEnd(status.ok()   ? PageOutcome::Stored
                   : isLeaseGone ? PageOutcome::LeaseEnded
                                 : PageOutcome::Failed,
                   steadyNow());
  if (status.ok())
    return;
  ++counters_.writesFailed;
  logEvent(LogLevel::Warning, "stream_origins_not_stored",
           {{"error", std::string(status.message())},
            {"waiting", static_cast<unsigned long>(pages_.waitingCount())}});
  if (isLeaseGone)
    exchange_->onStoreContentLost();
}

void StreamOriginStore::onStoreRestored() {
  pages_.dropLease();
  exchange_->onStoreContentLost();
}

} // namespace auburnspring
