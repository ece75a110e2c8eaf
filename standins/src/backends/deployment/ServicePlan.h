#pragma once

#include "backends/deployment/Deployment.h"
#include "coordination/model/IndexObject.h"

#include <cstdint>
#include <vector>

namespace carawaypond::standins {

/// @brief One service with its servers, which have no addresses yet.
struct ServicePlan {
  ServiceShape Shape;
  IndexObject Index; ///< Named like the service.
};

/// @brief Plans every service. A shard's replicas stand in different data
/// centres as far as there are enough.
[[nodiscard]] std::vector<ServicePlan> planServices(const Deployment &Plan);

/// @brief Spreads @p Shards over all of @p Servers, @p Replicas of each.
[[nodiscard]] std::vector<ShardReplicas>
spreadShards(const std::vector<ServerInfo> &Servers, std::uint32_t Shards,
             std::uint32_t Replicas);

} // namespace carawaypond::standins
