#pragma once

#include "core/id/Ids.h"

namespace carawaypond {

/// @brief The begin or end of one evacuation, for the log.
struct EvacuationChange {
  DataCentre Centre;
  bool IsEvacuated = false;
  StoreRevision Revision; ///< That shows the change.

  friend bool operator==(const EvacuationChange &,
                         const EvacuationChange &) = default;
};

} // namespace carawaypond
