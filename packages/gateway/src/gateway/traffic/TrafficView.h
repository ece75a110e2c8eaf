#pragma once

#include "coordination/budget/VmTurn.h"
#include "coordination/replicas/ReplicaRecord.h"
#include "coordination/routing/RoutingTable.h"

#include <memory>
#include <set>
#include <vector>

namespace carawaypond::gateway {

/// @brief Immutable snapshot of the FleetState that the control thread
/// publishes to the traffic thread.
struct TrafficView {
  std::shared_ptr<const RoutingTable> Table; ///< Null until one is known.
  std::vector<ReplicaRecord> Replicas;
  std::set<DataCentre> Evacuated; ///< Their replicas get no requests.
  double Share = 1; ///< This VM's share of budgets and connections.
  VmTurn Turn;      ///< This VM's position among those with a share.
  /// Whether the replica list, and the evacuations if any are followed, were
  /// ever read.
  bool HasReplicas = false;
};

} // namespace carawaypond::gateway
