#pragma once

#include "coordination/replicas/ReplicaBook.h"
#include "coordination/routing/RoutingTable.h"
#include "core/id/Ids.h"

#include <set>
#include <string_view>

namespace carawaypond {

/// @brief Finds the data centres from which queries of @p Host cost least:
/// those that hold a good part of the replicas of its shards.
///
/// Answers queries over many shards: their parts are far more bytes than the
/// merged answer, so a VM beside the replicas keeps the parts within the
/// centre.
/// @return Nothing if the host has no query over shards.
[[nodiscard]] std::set<DataCentre>
shardCentres(std::string_view Host, const RoutingTable &Table,
             const ReplicaBook::Entries &Replicas);

} // namespace carawaypond
