#pragma once

#include "coordination/routing/ReplicaLimits.h"
#include "core/id/Ids.h"

namespace carawaypond {

/// @brief A service that the configuration names, and its limits.
struct ConfiguredService {
  ServiceName Name;
  ReplicaLimits Limits;
};

} // namespace carawaypond
