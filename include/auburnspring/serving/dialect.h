#ifndef AUBURNSPRING_SERVING_DIALECT_H
#define AUBURNSPRING_SERVING_DIALECT_H

#include "auburnspring/decision/piece_batcher.h"
#include "auburnspring/decision/placement.h"
#include "auburnspring/decision/reported_load.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/http/message.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// Parameters that a caller sets in its request headers.
struct CallerRequest {
  /// Identifies one attempt of the caller; empty if not set.
  std::string id;
  /// Host and path that select the route; the path has no query.
  std::string host;
  std::string path;
  /// API key.
  std::optional<std::string> key;
  /// Time until the caller's deadline.
  std::optional<Duration> timeLeft;
  std::int64_t promptTokens = 0;
  std::int64_t outputTokens = 0;
  std::vector<PromptPart> prompt;
  /// Number of pieces of each stage of the route.
  std::vector<std::uint32_t> stagePieces;
  /// Input of the stages without predecessors.
  std::string pieceKey;
  /// Id of the last event that the caller has received.
  std::optional<std::int64_t> lastEventId;
  /// Id of the request that brought the first event of the stream that this
  /// request resumes; empty if not set.
  std::string resumedId;
  /// A field that goes into messages is no UTF-8. Such fields are empty here.
  bool isMalformed = false;

  /// The caller has received events of the stream before.
  bool isResumption() const { return lastEventId || !resumedId.empty(); }
};

/// What is added to a request that is forwarded to an upstream.
struct ForwardingParams {
  Duration timeLeft{0};
  /// Instance that must serve the request; any other one refuses it.
  std::string expectedUpstream;
  /// Owner of the caller's API key; empty on a public route.
  std::string organisation;
  /// Handles of the stage results that the request needs.
  std::vector<std::string> inputs;
  std::optional<std::int64_t> lastEventId;
  /// From 0 (most urgent) to 9.
  std::optional<int> urgency;
};

/// What the head of an upstream's response states.
struct ResponseInfo {
  /// Id of the request; empty if the response has none.
  std::string id;
  /// The upstream states that it did not run the request.
  bool isNotRun = false;
  /// An instance other than the expected one listens at the address.
  bool isMisdirected = false;
  /// Status 2xx.
  bool isSuccess = false;
  /// The response carries the upstream's signature.
  bool isSigned = false;
  /// The body has a content encoding, so it is not the one the upstream sent.
  bool isEncoded = false;
  /// A stage result that the request needs no longer exists.
  bool areInputsGone = false;
  /// The upstream states that it is leaving.
  bool isLeaving = false;
  /// Requests a second that the upstream takes of all hosts together; not set
  /// if it names no limit.
  std::optional<double> requestLimit;
  /// Requests a second that it may turn away for want of room before it
  /// crashes; not set if it does not say so.
  std::optional<double> rejectionLimit;
  /// Time for which it stays cold; not set if it does not say so.
  std::optional<Duration> coldRemaining;
  std::optional<ReportedLoad> load;
  /// The upstream wants no further request of this host for this time; 0 if it
  /// does not say so.
  Duration refusesFor{0};

  /// The upstream turned the request away, as for want of room.
  bool isRejection() const {
    return isNotRun && !isMisdirected && !areInputsGone;
  }
};

/// Translates between internal types and the protocols of callers, upstreams
/// and the operator. It holds no state and makes no decision.
class Dialect {
public:
  virtual ~Dialect() = default;

  virtual CallerRequest
  parseCallerRequest(const http::RequestHead &head) const = 0;
  virtual http::RequestHead
  upstreamRequestHead(const http::RequestHead &caller,
                      const ForwardingParams &params,
                      std::size_t bodyBytes) const = 0;
  /// Head of a caller's request that a peer serves for this host. It keeps what
  /// the caller sent, except for the time left and the last event received.
  virtual http::RequestHead handOverHead(const http::RequestHead &caller,
                                         const ForwardingParams &params,
                                         const std::string &requestId,
                                         std::size_t bodyBytes) const = 0;
  virtual ResponseInfo
  parseResponseHead(const http::ResponseHead &head) const = 0;
  /// Head that is sent to the caller for an upstream's response.
  virtual http::ResponseHead
  callerResponseHead(const http::ResponseHead &upstream) const = 0;
  /// Head of a response that this host generates itself.
  virtual http::ResponseHead
  localReply(int status, const std::string &id,
             std::optional<Duration> retryAfter) const = 0;

  virtual http::RequestHead batchHead(const UpstreamState &upstream,
                                      std::size_t bodyBytes) const = 0;
  virtual std::string batchBody(absl::Span<const BatchItem> items) const = 0;
  /// One result for each item of the batch, in order.
  virtual absl::StatusOr<std::vector<PieceResult>>
  parseBatchResponse(std::string_view body) const = 0;
  virtual http::RequestHead releaseHead(const Endpoint &upstream,
                                        std::size_t bodyBytes) const = 0;
  virtual std::string
  releaseBody(absl::Span<const std::string> results) const = 0;
  /// Upstream that holds the result; empty if the handle is malformed.
  virtual std::optional<Endpoint>
  resultEndpoint(std::string_view result) const = 0;

  virtual std::string configurationKey() const = 0;
  virtual std::string upstreamPrefix() const = 0;
  virtual std::string hostPrefix() const = 0;
  /// Followed by a data centre that is to take no requests.
  virtual std::string evacuationPrefix() const = 0;
  /// Keys of the prompt parts that are quarantined.
  virtual std::string quarantinePrefix() const = 0;
  /// Keys of the pages of streams' origins.
  virtual std::string originPagePrefix() const = 0;
  virtual absl::StatusOr<RoutingTable>
  parseConfiguration(std::string_view value) const = 0;
  virtual absl::StatusOr<UpstreamEntry>
  parseUpstream(std::string_view key, std::string_view value) const = 0;
};

} // namespace auburnspring

#endif
