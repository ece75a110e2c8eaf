#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/snapshot/ReplicaVersionTracker.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <cstdint>
#include <vector>

namespace carawaypond {

/// @brief One shard of a pinned snapshot.
struct PinnedShard {
  ShardReplicas Replicas;
  bool Reachable =
      true; ///< False: no usable replica; its results will be missing.
};

/// @brief The index version that a query reads, with the shards of its layout.
struct PinnedSnapshot {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::vector<PinnedShard> Shards;

  [[nodiscard]] bool isSameAs(const PinnedSnapshot &Other) const {
    return Version == Other.Version && Layout == Other.Layout;
  }
};

/// @brief Finds the newest version that every shard of its layout is known to
/// serve on at least one usable replica. Shards without a usable replica don't
/// restrict the version and are marked unreachable in the snapshot. A layout
/// with fewer unreachable shards takes precedence over a newer layout.
/// @return The snapshot, or Unavailable with the reason why there is none.
[[nodiscard]] Result<PinnedSnapshot>
pinSnapshot(const IndexObject &Index, const ReplicaVersionTracker &Board);

} // namespace carawaypond
