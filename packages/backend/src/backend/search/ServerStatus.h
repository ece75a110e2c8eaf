#pragma once

#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"

#include <vector>

namespace carawaypond::backend {

/// @brief What one shard's replica on a server says that it serves.
struct ShardStatus {
  ServiceName Service;
  ShardId Shard;
  std::vector<VersionRange> Ranges;
};

/// @brief A server's own report of what it serves.
struct ServerStatus {
  ServerName Server;
  bool Draining = false;
  std::vector<ShardStatus> Shards;
};

} // namespace carawaypond::backend
