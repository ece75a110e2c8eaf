#pragma once

#include <cstddef>

namespace carawaypond {

/// @brief Limits of one service's replicas, over all VMs together.
struct ReplicaLimits {
  std::size_t MaxConnections = 1; ///< To each replica.
};

} // namespace carawaypond
