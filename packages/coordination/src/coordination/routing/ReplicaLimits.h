#pragma once

#include "core/time/Time.h"

#include <cstddef>

namespace carawaypond {

/// @brief Limits of one service's replicas, over all VMs together.
struct ReplicaLimits {
  std::size_t MaxConnections = 1; ///< To each replica.
  Milliseconds WarmupTime{0}; ///< For which a replica is cold after its start.
  /// Requests per second that a cold replica sustains; 0 if there is no bound.
  double WarmupRate = 0;
};

} // namespace carawaypond
