#pragma once

#include "coordination/overload/LoadSample.h"
#include "coordination/overload/OverloadControl.h"
#include "core/id/Ids.h"

namespace carawaypond::gateway {

/// @brief A request that was admitted to a target, until AdmissionGate counts
/// its end.
struct AdmittedRequest {
  OverloadControl::Targets::value_type *Target = nullptr;
  WorkspaceName Workspace;
};

} // namespace carawaypond::gateway
