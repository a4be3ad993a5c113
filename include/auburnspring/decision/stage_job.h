#ifndef AUBURNSPRING_DECISION_STAGE_JOB_H
#define AUBURNSPRING_DECISION_STAGE_JOB_H

#include "auburnspring/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspring {

/// All pieces of one stage of one request, as sent by the host that serves the
/// request to the batching host of the pool.
struct StageJob {
  /// Host that serves the request, and the caller's id of the request.
  std::string host;
  std::string requestId;
  /// Name by which the pieces are known when the caller sends the request
  /// again; empty if it is not known.
  std::string name;
  /// Its pieces may crash upstreams, as far as the batching host knows: they
  /// share no batch with others.
  bool isSuspected = false;
  std::uint32_t stage = 0;
  /// Attempt number of the stage, from 0. Distinguishes a retry from an
  /// earlier run.
  std::uint32_t attempt = 0;
  std::string pool;
  std::uint32_t pieces = 0;
  /// Input of a stage without predecessors.
  std::string key;
  /// Results of the predecessors, otherwise.
  std::vector<std::string> inputs;
  /// No other stage uses the inputs: they may be freed once fetched.
  bool hasExclusiveInputs = false;
  /// Approximate size of one result.
  std::int64_t resultBytes = 0;
  /// Data centre that holds the inputs or will use the results; empty if both
  /// are too small for their transfer to matter.
  std::string preferredDataCentre;
  /// When the stage must end for the request to meet its latency target, and
  /// when it must end for the request to meet its deadline.
  TimePoint targetTime;
  TimePoint deadline;
  /// Value of the request per second of upstream time that its remaining stages
  /// cost.
  double valueDensity = 1;
};

/// How a job ended.
enum class JobStatus : std::uint8_t {
  /// Every piece has a result.
  Done,
  /// A result of a predecessor no longer exists.
  InputsGone,
  /// No upstream is available, or too little time is left.
  Unattainable,
  /// More pieces failed than may be retried.
  Failed,
};

struct JobOutcome {
  std::string host;
  std::string requestId;
  std::uint32_t stage = 0;
  std::uint32_t attempt = 0;
  JobStatus status = JobStatus::Failed;
  /// Expected time that a new job of the pool is queued.
  Duration backlog{0};
  /// One result per piece, in order, if the job is done.
  std::vector<std::string> results;
};

} // namespace auburnspring

#endif
