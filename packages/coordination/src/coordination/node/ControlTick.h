#pragma once

#include "coordination/configuration/StoreFeed.h"
#include "coordination/drain/VmDrain.h"
#include "coordination/membership/Contact.h"

#include <vector>

namespace carawaypond {

/// @brief What a ControlNode wants done after one tick.
struct ControlTick {
  std::vector<Contact> Exchanges;
  std::vector<StoreFeedAction> ServiceReads; ///< Of kind "service".
  std::vector<VmDrainAction> Stop;
};

} // namespace carawaypond
