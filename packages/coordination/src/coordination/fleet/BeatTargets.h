#pragma once

#include "coordination/membership/VmRecord.h"
#include "core/id/Ids.h"

#include <vector>

namespace carawaypond {

/// @brief Decides whom a VM sends its heartbeats: every VM of its own data
/// centre and the first two by name of each other one, which pass them on.
///
/// Answers fleets of many VMs: the heartbeats between data centres grow with
/// the VMs and not with their square.
[[nodiscard]] std::vector<VmRecord> beatTargets(const DataCentre &Own,
                                                std::vector<VmRecord> Known);

} // namespace carawaypond
