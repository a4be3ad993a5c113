#ifndef AUBURNSPRING_SERVING_DIALECT_H
#define AUBURNSPRING_SERVING_DIALECT_H

#include "auburnspring/decision/piece_gatherer.h"
#include "auburnspring/decision/placement.h"
#include "auburnspring/decision/routing_table.h"
#include "auburnspring/http/message.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspring {

/// What a caller's request says of itself.
struct CallerRequest {
  /// Names one attempt of the caller; empty if it names none.
  std::string id;
  /// Host and path that select the route; the path has no query.
  std::string host;
  std::string path;
  std::optional<std::string> key;
  /// How long the caller will wait.
  std::optional<Duration> timeLeft;
  std::int64_t promptTokens = 0;
  std::int64_t outputTokens = 0;
  std::vector<PromptPart> prompt;
  /// Pieces of each stage of the route.
  std::vector<std::uint32_t> stagePieces;
  std::string pieceKey;
  /// Last event of the stream that the caller has already.
  std::optional<std::int64_t> lastEvent;
};

/// What this system adds to a request that it passes on.
struct UpstreamTerms {
  Duration timeLeft{0};
  /// Life that must serve it; another one refuses.
  std::string expectedUpstream;
  /// Holder of the caller's key; empty on a public route.
  std::string organisation;
  std::vector<std::string> inputs;
  std::optional<std::int64_t> lastEvent;
  /// 0 is first, 9 last.
  std::optional<int> urgency;
};

/// What the head of an upstream's answer says.
struct AnswerFacts {
  /// Request that is answered; empty if the answer does not say.
  std::string id;
  /// The upstream states that it did not run the request.
  bool isNotRun = false;
  /// Another upstream has the address.
  bool isOtherUpstream = false;
  /// It carries the upstream's signature.
  bool isSigned = false;
  /// The body is not as the upstream made it.
  bool isEncoded = false;
  /// A result that the request needs is gone.
  bool areInputsGone = false;
};

/// Translates between the product's types and what callers, upstreams and the
/// operator speak. It holds no state and makes no decision.
class Dialect {
public:
  virtual ~Dialect() = default;

  virtual CallerRequest readCaller(const http::RequestHead &head) const = 0;
  virtual http::RequestHead upstreamHead(const http::RequestHead &caller,
                                         const UpstreamTerms &terms,
                                         std::size_t bodyBytes) const = 0;
  virtual AnswerFacts readAnswer(const http::ResponseHead &head) const = 0;
  /// The upstream's head as its caller gets it.
  virtual http::ResponseHead
  callerHead(const http::ResponseHead &upstream) const = 0;
  /// An answer of this system's own.
  virtual http::ResponseHead
  ownAnswer(int status, const std::string &id,
            std::optional<Duration> retryAfter) const = 0;

  virtual http::RequestHead batchHead(const ServedUpstream &upstream,
                                      std::size_t bodyBytes) const = 0;
  virtual std::string batchBody(absl::Span<const BatchItem> items) const = 0;
  virtual absl::StatusOr<std::vector<PieceResult>>
  readBatch(std::string_view body) const = 0;
  virtual http::RequestHead releaseHead(const Endpoint &upstream,
                                        std::size_t bodyBytes) const = 0;
  virtual std::string
  releaseBody(absl::Span<const std::string> results) const = 0;
  /// Where a result lies.
  virtual std::optional<Endpoint>
  resultEndpoint(std::string_view result) const = 0;

  virtual std::string configurationKey() const = 0;
  virtual std::string upstreamPrefix() const = 0;
  virtual std::string hostPrefix() const = 0;
  virtual absl::StatusOr<RoutingTable>
  readConfiguration(std::string_view value) const = 0;
  virtual absl::StatusOr<UpstreamEntry>
  readUpstream(std::string_view key, std::string_view value) const = 0;
};

} // namespace auburnspring

#endif
