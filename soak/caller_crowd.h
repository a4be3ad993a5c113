#ifndef AUBURNSPRING_SOAK_CALLER_CROWD_H
#define AUBURNSPRING_SOAK_CALLER_CROWD_H

#include "soak/soak_site.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace auburnspring::soak {

class SoakCaller;

/// Callers that keep their connections, send one request after the other, and
/// go on with an open connection whatever its host says of itself.
class CallerCrowd {
public:
  CallerCrowd(asio::io_context &io, SoakSite *site, PromiseBook *book,
              std::uint64_t seed, std::size_t count);
  ~CallerCrowd();

  /// No further requests; those under way end by themselves.
  void stop() { stopped_ = true; }
  bool isStopped() const { return stopped_; }
  std::size_t busyCount() const;

private:
  friend class SoakCaller;

  SoakHost *pickHost();
  SentCall nextCall(SoakHost *host);

  asio::io_context &io_;
  SoakSite *site_;
  PromiseBook *book_;
  std::mt19937_64 random_;
  std::uint64_t nextId_ = 1;
  bool stopped_ = false;
  std::vector<std::shared_ptr<SoakCaller>> callers_;
};

} // namespace auburnspring::soak

#endif
