#pragma once

#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"

#include <vector>

namespace carawaypond::backend {

/// @brief The index versions that a server reports for its replica of a shard.
struct ShardStatus {
  ServiceName Service;
  ShardId Shard;
  std::vector<VersionRange> Ranges;
};

/// @brief A backend server's report of the shards and versions it serves.
struct ServerStatus {
  ServerName Server;
  bool Draining = false;
  std::vector<ShardStatus> Shards;
};

} // namespace carawaypond::backend
