#pragma once

#include "core/id/Ids.h"

#include <cstdint>

namespace carawaypond {

/// @brief One change of what a ReplicaRegistry holds of a replica.
struct ReplicaTransition {
  enum class Kind {
    Added,    ///< The store holds its entry.
    Updated,  ///< The store holds a newer entry.
    Missing,  ///< The store no longer holds it; presumed to live.
    Presumed, ///< Presumed to live because another VM does so.
    Revived,  ///< The store holds the entry of a presumed replica again.
    Removed,  ///< The store no longer holds it, and no outage explains that.
    GaveUp,   ///< It was presumed to live, and that period has ended.
    Refused,  ///< Another VM presumes it to live; the store has removed it.
  };

  Kind What = Kind::Added;
  ServerName Id;
  StoreRevision Revision; ///< Of the evidence.
};

} // namespace carawaypond
