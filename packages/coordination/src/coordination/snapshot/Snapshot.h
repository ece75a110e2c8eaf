#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/snapshot/VersionBoard.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <cstdint>
#include <vector>

namespace carawaypond {

/// @brief A shard of a pinned snapshot.
struct PinnedShard {
  ShardReplicas Replicas;
  bool Reachable = true; ///< False: no usable replica, so it will be missing.
};

/// @brief The version that a query reads, with that version's own shards.
struct PinnedSnapshot {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::vector<PinnedShard> Shards;

  [[nodiscard]] bool isSameAs(const PinnedSnapshot &Other) const {
    return Version == Other.Version && Layout == Other.Layout;
  }
};

/// @brief Finds the newest version that every shard of its layout is known to
/// serve on at least one usable replica. Shards without any usable replica are
/// left out of the search, and are not reachable in the snapshot; a layout
/// with fewer of them goes before a newer one.
/// @return The snapshot, or Unavailable saying why there is none.
[[nodiscard]] Result<PinnedSnapshot> pinSnapshot(const IndexObject &Index,
                                                 const VersionBoard &Board);

} // namespace carawaypond
