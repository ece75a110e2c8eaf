#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "core/id/Ids.h"

namespace carawaypond {

/// @brief What shows that a replica is there.
enum class ReplicaEvidence {
  Stored,   ///< The store holds its entry.
  Presumed, ///< Its entry went missing around an outage of the store and may
            ///< have expired although the replica lives.
};

/// @brief A replica to use, with the evidence for it.
struct KnownReplica {
  ReplicaRecord Record;
  StoreRevision Revision; ///< Of the last change of its entry.
  ReplicaEvidence Evidence = ReplicaEvidence::Stored;
  /// Whether the record is leaving only because it was, or was gone, before the
  /// store came back from a copy that holds it as serving.
  bool IsHeldLeaving = false;

  friend bool operator==(const KnownReplica &, const KnownReplica &) = default;
};

} // namespace carawaypond
