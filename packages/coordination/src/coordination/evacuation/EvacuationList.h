#pragma once

#include "core/id/Ids.h"

#include <vector>

namespace carawaypond {

/// @brief A data centre whose evacuation the store holds.
struct EvacuatedCentre {
  DataCentre Centre;
  StoreRevision Revision; ///< Of the last change of the store's object.

  friend bool operator==(const EvacuatedCentre &,
                         const EvacuatedCentre &) = default;
};

/// @brief All evacuations, as this or another VM knows them.
struct EvacuationList {
  StoreRevision AsOf; ///< The list is complete as of this revision.
  std::vector<EvacuatedCentre> Centres;

  friend bool operator==(const EvacuationList &,
                         const EvacuationList &) = default;
};

} // namespace carawaypond
