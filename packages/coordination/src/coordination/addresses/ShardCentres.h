#pragma once

#include "coordination/replicas/ReplicaRegistry.h"
#include "coordination/routing/RoutingTable.h"
#include "core/id/Ids.h"

#include <set>
#include <string_view>

namespace carawaypond {

/// @brief Finds the data centres from which queries of @p Host cost least:
/// those that hold a large share of the replicas of its shards.
///
/// In a query over many shards, the partial results have far more bytes than
/// the merged answer. If the VM is in the replicas' data centre, the partial
/// results stay within it.
/// @return The data centres; empty if the host has no query over shards.
[[nodiscard]] std::set<DataCentre>
shardCentres(std::string_view Host, const RoutingTable &Table,
             const ReplicaRegistry::Entries &Replicas);

} // namespace carawaypond
