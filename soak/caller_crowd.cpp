#include "soak/caller_crowd.h"

#include "auburnspring/base/clock.h"
#include "soak/soak_caller.h"

#include <fmt/format.h>

#include <algorithm>

namespace auburnspring::soak {

namespace {

/// How long callers wait, within the timeout of every route.
constexpr Duration CallTime = std::chrono::milliseconds(2500);

} // namespace

CallerCrowd::CallerCrowd(asio::io_context &io, SoakSite *site,
                         PromiseBook *book, std::uint64_t seed,
                         std::size_t count)
    : io_(io), site_(site), book_(book), random_(seed) {
  for (std::size_t i = 0; i < count; ++i) {
    callers_.push_back(std::make_shared<SoakCaller>(this, io_));
    callers_.back()->rest();
  }
}

CallerCrowd::~CallerCrowd() {
  for (const auto &caller : callers_)
    caller->close();
}

std::size_t CallerCrowd::busyCount() const {
  return static_cast<std::size_t>(
      std::count_if(callers_.begin(), callers_.end(),
                    [](const auto &caller) { return caller->isBusy(); }));
}

SoakHost *CallerCrowd::pickHost() {
  std::vector<SoakHost *> found;
  for (const auto &host : site_->hosts())
    if (host->isInRotation)
      found.push_back(host.get());
  if (found.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, found.size() - 1);
  return found[any(random_)];
}

SentCall CallerCrowd::nextCall(SoakHost *host) {
  // Of ten requests one is for the newest version's own route, and one for that
  // of the version before, which has been dropped.
  static constexpr CallKind Kinds[] = {
      CallKind::Once,       CallKind::Once,   CallKind::Once,
      CallKind::Repeatable, CallKind::Stream, CallKind::Stream,
      CallKind::OnceStream, CallKind::Stream};
  SentCall call;
  call.id = fmt::format("{:016x}", nextId_++);
  call.host = host->name;
  call.sentAt = steadyNow();
  call.deadline = call.sentAt + CallTime;
  const std::size_t drawn =
      std::uniform_int_distribution<std::size_t>(0, 9)(random_);
  if (drawn < std::size(Kinds)) {
    call.kind = Kinds[drawn];
    return call;
  }
  call.kind = CallKind::Repeatable;
  call.version = drawn == 8 ? site_->version() : site_->previousVersion();
  return call;
}

} // namespace auburnspring::soak
