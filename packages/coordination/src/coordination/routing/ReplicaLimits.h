#pragma once

#include <cstddef>

namespace carawaypond {

/// @brief What the replicas of one service take from all VMs together.
struct ReplicaLimits {
  std::size_t MaxConnections = 1; ///< To each replica.
};

} // namespace carawaypond
