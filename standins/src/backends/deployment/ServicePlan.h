#pragma once

#include "backends/deployment/Deployment.h"
#include "coordination/model/IndexObject.h"

#include <cstdint>
#include <vector>

namespace carawaypond::standins {

/// @brief A service and its servers, whose addresses are not assigned yet.
struct ServicePlan {
  ServiceShape Shape;
  IndexObject Index; ///< Named like the service.
};

/// @brief Plans every service. The replicas of a shard are in different data
/// centres if there are enough of them.
[[nodiscard]] std::vector<ServicePlan> planServices(const Deployment &Plan);

/// @brief Distributes @p Shards with @p Replicas each over @p Servers.
[[nodiscard]] std::vector<ShardReplicas>
spreadShards(const std::vector<ServerInfo> &Servers, std::uint32_t Shards,
             std::uint32_t Replicas);

} // namespace carawaypond::standins
