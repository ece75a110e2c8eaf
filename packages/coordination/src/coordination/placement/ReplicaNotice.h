#pragma once

#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief What a replica says about itself in one answer.
struct ReplicaNotice {
  bool IsLeaving = false;
  /// How long it wants no requests from this VM.
  std::optional<Milliseconds> RetryAfter;
  /// The requests per second that it takes from all VMs together.
  std::optional<double> Limit;
  /// The replica signed the answer and named no limit in it.
  bool EndsLimit = false;
};

} // namespace carawaypond
