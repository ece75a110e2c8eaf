#pragma once

#include "coordination/configuration/StoreReadScheduler.h"
#include "coordination/configuration/WatchPlan.h"
#include "coordination/drain/ServerDrains.h"
#include "coordination/drain/VmDrain.h"
#include "coordination/freshness/Freshness.h"
#include "coordination/membership/MembershipOptions.h"

namespace carawaypond {

/// @brief Options of a ControlNode's components. The name and life in Drains
/// are replaced by those in Members.
struct ControlNodeOptions {
  MembershipOptions Members;
  WatchPlanOptions Watchers;
  StoreReadSchedulerOptions Feed;
  FreshnessOptions Recency;
  ServerDrainsOptions Drains;
  VmDrainOptions Stop;
};

} // namespace carawaypond
