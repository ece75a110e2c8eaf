#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

namespace carawaypond {

/// @brief A request that asks to start.
struct AdmissionRequest {
  unsigned Priority = 0;   ///< 0 is the most urgent.
  WorkspaceName Workspace; ///< Empty if there is none.
  TimePoint WaitsUntil;    ///< Latest time to start or be refused.
};

} // namespace carawaypond
