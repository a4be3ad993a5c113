#ifndef AUBURNSPRING_DECISION_PIECE_JOB_H
#define AUBURNSPRING_DECISION_PIECE_JOB_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// All pieces of one stage of one request, as its host hands them to the host
/// that gathers for the pool.
struct PieceJob {
  /// Host that serves the request, and the request's id with its caller.
  std::string host;
  std::string requestId;
  std::uint32_t stage = 0;
  /// Tells a repeat of the stage from an earlier try of the same request.
  std::uint32_t round = 0;
  std::string pool;
  std::uint32_t pieces = 0;
  /// What a stage without predecessors works on.
  std::string key;
  /// Results of the predecessors, else.
  std::vector<std::string> inputs;
  /// No other stage needs the inputs: they may be freed once fetched.
  bool ownsInputs = false;
  std::int64_t resultBytes = 0;
  /// Data centre where its inputs lie, or where its results are needed; empty
  /// if they are too small to matter.
  std::string nearDataCentre;
  /// When the stage must have ended for the request to meet its goal, and when
  /// its caller is no longer waiting.
  TimePoint goalAt;
  TimePoint deadline;
  /// What the request is worth beside others, per second of upstream time that
  /// its remaining stages cost.
  double density = 1;
};

/// How the pieces of a job ended.
enum class PieceVerdict : std::uint8_t {
  /// Every piece has a result.
  Done,
  /// A result of a predecessor no longer exists.
  InputsGone,
  /// There is no upstream, or not enough time.
  Hopeless,
  /// The pieces failed more often than may be repeated.
  Failed,
};

struct PieceOutcome {
  std::string host;
  std::string requestId;
  std::uint32_t stage = 0;
  std::uint32_t round = 0;
  PieceVerdict verdict = PieceVerdict::Failed;
  /// Expected wait of a new job in the pool.
  Duration backlog{0};
  /// One result a piece, in order, if done.
  std::vector<std::string> results;
};

} // namespace auburnspring

#endif
