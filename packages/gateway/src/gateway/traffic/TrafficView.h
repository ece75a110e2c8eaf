#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "coordination/routing/RoutingTable.h"

#include <memory>
#include <vector>

namespace carawaypond::gateway {

/// @brief Immutable snapshot of the FleetState that the control thread
/// publishes to the traffic thread.
struct TrafficView {
  std::shared_ptr<const RoutingTable> Table; ///< Null until one is known.
  std::vector<ReplicaRecord> Replicas;
  double Share = 1;         ///< This VM's share of budgets and connections.
  bool HasReplicas = false; ///< Whether the replica list was ever read.
};

} // namespace carawaypond::gateway
