#ifndef AUBURNSPRING_SOAK_LOAD_GENERATOR_H
#define AUBURNSPRING_SOAK_LOAD_GENERATOR_H

#include "soak/soak_cluster.h"
#include "soak/stream_resumption.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace auburnspring::soak {

class SoakCaller;

/// Closed-loop load: each caller keeps its connection, sends one request at a
/// time, and uses an open connection even after its host reports not ready.
class LoadGenerator {
public:
  LoadGenerator(asio::io_context &io, SoakCluster *cluster,
                GuaranteeChecker *checker, std::uint64_t seed,
                std::size_t count);
  ~LoadGenerator();

  /// Sends no further requests; those in flight run to their end.
  void stop() { stopped_ = true; }
  bool isStopped() const { return stopped_; }
  std::size_t busyCount() const;

private:
  /// Gives the stream a prompt, in runs with a part that crashes upstreams.
  void drawPrompt(SentCall *call);

  friend class SoakCaller;

  SoakHost *pickHost();
  SentCall nextCall(SoakHost *host);
  SentCall resumingCall(SoakHost *host, const StreamResumption &stream);

  asio::io_context &io_;
  SoakCluster *cluster_;
  GuaranteeChecker *checker_;
  std::mt19937_64 random_;
  std::uint64_t nextId_ = 1;
  bool stopped_ = false;
  std::vector<std::shared_ptr<SoakCaller>> callers_;
};

} // namespace auburnspring::soak

#endif
