#pragma once

#include "coordination/replicas/KnownReplica.h"
#include "core/id/Ids.h"

#include <vector>

namespace carawaypond {

/// @brief An entry that the store no longer holds.
struct RemovedReplica {
  ServerName Id;
  StoreRevision Revision; ///< As of which the store holds no such entry.

  friend bool operator==(const RemovedReplica &,
                         const RemovedReplica &) = default;
};

/// @brief All entries of the store as of one revision, and what the sender
/// presumes besides.
struct ReplicaList {
  StoreRevision AsOf;
  std::vector<KnownReplica> Replicas;
};

/// @brief What changed in another VM's knowledge.
struct ReplicaDelta {
  StoreRevision Base; ///< Its list was complete as of this revision before.
  StoreRevision AsOf; ///< Its list is complete as of this revision now.
  std::vector<KnownReplica> Put;
  std::vector<RemovedReplica> Removed;
};

} // namespace carawaypond
