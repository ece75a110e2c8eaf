#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "coordination/routing/RoutingTable.h"

#include <memory>
#include <vector>

namespace carawaypond::gateway {

/// @brief What control knows, as traffic uses it; immutable.
struct TrafficView {
  std::shared_ptr<const RoutingTable> Table; ///< Null until one is known.
  std::vector<ReplicaRecord> Replicas;
  double Share = 1;         ///< This VM's part of budgets and connections.
  bool HasReplicas = false; ///< Whether the list of replicas was ever read.
};

} // namespace carawaypond::gateway
