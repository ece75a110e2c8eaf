#pragma once

#include "coordination/configuration/StoreReadScheduler.h"
#include "coordination/drain/VmDrain.h"
#include "coordination/membership/Contact.h"

#include <vector>

namespace carawaypond {

/// @brief Actions for the daemon after one tick of a ControlNode.
struct ControlTick {
  std::vector<Contact> Exchanges;
  std::vector<StoreReadAction> ServiceReads; ///< For the kind "service".
  std::vector<VmDrainAction> Stop;
};

} // namespace carawaypond
