#ifndef AUBURNSPRING_SERVING_STREAM_ORIGIN_STORE_H
#define AUBURNSPRING_SERVING_STREAM_ORIGIN_STORE_H

#include "auburnspring/base/handler_scope.h"
#include "auburnspring/decision/pool_version_history.h"
#include "auburnspring/decision/stream_origin_pages.h"
#include "auburnspring/decision/stream_origin_reads.h"
#include "auburnspring/serving/metadata_store.h"
#include "auburnspring/serving/stream_origin_exchange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace auburnspring {

/// Keeps origins of streams in the platform's store, where they outlast all
/// hosts, and reads them back for streams whose origin no host knows.
class StreamOriginStore {
public:
  struct Options {
    /// Keys of the pages of all hosts.
    std::string prefix;
    std::string host;
    /// Differs each time that the host starts.
    std::uint64_t incarnation = 0;
  };
  struct Counters {
    std::uint64_t pagesWritten = 0;
    std::uint64_t writesFailed = 0;
    std::uint64_t originsWritten = 0;
    std::uint64_t reads = 0;
    std::uint64_t readsFailed = 0;
    std::uint64_t originsRead = 0;
    /// Resumed streams whose origin a read has brought.
    std::uint64_t recovered = 0;
  };
  using Outcome = StreamOriginReads::Outcome;
  /// Receives the origin if it is known now.
  using Handler =
      std::function<void(Outcome, const std::optional<StreamOrigin> &)>;

  StreamOriginStore(MetadataStore *store, StreamOriginExchange *exchange,
                    PoolVersionHistory *history, Options options);

  /// Reads the origin of a stream that no peer knows. The handler is called
  /// later.
  void find(const std::string &id, Handler handler);
  /// Makes the calls that are due.
  void tick(std::size_t hosts);
  /// The store is back from a copy, which may lack pages and leases.
  void onStoreRestored();

  const Counters &counters() const { return counters_; }

private:
  void startRead();
  void onRead(const absl::StatusOr<StoreRead> &result);
  void learnPage(const StoreChange &page);
  void createLease();
  void writePage();
  void onWritten(const absl::Status &status);

  MetadataStore *store_;
  StreamOriginExchange *exchange_;
  PoolVersionHistory *history_;
  Options options_;
  StreamOriginPages pages_;
  StreamOriginReads reads_;
  std::map<std::uint64_t, Handler> handlers_;
  std::size_t hosts_ = 1;
  Counters counters_;
  /// Of the calls of the store, which may outlive this object.
  HandlerScope storeCalls_;
};

} // namespace auburnspring

#endif
