#pragma once

#include "coordination/fleet/VmLoad.h"
#include "coordination/membership/VmRecord.h"
#include "core/id/Ids.h"

#include <vector>

namespace carawaypond {

/// @brief Selects the VMs to which a VM sends its heartbeats: every VM of its
/// own data centre, and the first two by name of each other data centre, which
/// relay them. VMs that were heard lately come first, as records of VMs that
/// are gone remain for some time.
///
/// This keeps the number of heartbeats between data centres linear in the
/// number of VMs instead of quadratic.
[[nodiscard]] std::vector<VmRecord>
heartbeatTargets(const DataCentre &Own, std::vector<VmRecord> Known,
                 const std::vector<LoadedVm> &Heard);

} // namespace carawaypond
