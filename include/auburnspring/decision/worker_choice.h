#ifndef AUBURNSPRING_DECISION_WORKER_CHOICE_H
#define AUBURNSPRING_DECISION_WORKER_CHOICE_H

#include "auburnspring/base/time.h"
#include "auburnspring/decision/worker.h"

#include <absl/strings/string_view.h>
#include <absl/types/span.h>

#include <random>
#include <string>

namespace auburnspring {

/// What the choice of a worker depends on.
struct ChoiceRequest {
  /// Model that the worker must serve; empty for any.
  absl::string_view model;
  /// Text whose prefix a model engine may still hold; empty for none.
  absl::string_view prompt;
  absl::string_view dataCentre;
  /// Names of workers that have failed this part already.
  absl::Span<const std::string> avoid;
};

/// Picks the worker that is expected to finish first out of two drawn at
/// random, and out of the one that the prompt's prefix hashes to. Equal scores
/// fall to the generator. Null if no worker takes new work.
WorkerPtr chooseWorker(absl::Span<const WorkerPtr> workers,
                       const ChoiceRequest &request, TimePoint now,
                       std::mt19937_64 *random);

/// Expected time until a new attempt on the worker ends.
Duration expectedFinish(const Worker &worker, TimePoint now);

/// Counts the end of an attempt toward the worker's health.
void noteSuccess(Worker *worker, Duration took);
void noteFailure(Worker *worker, TimePoint now);

} // namespace auburnspring

#endif
