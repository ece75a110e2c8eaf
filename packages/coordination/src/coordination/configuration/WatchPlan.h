#pragma once

#include "coordination/membership/VmRecord.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <set>
#include <vector>

namespace carawaypond {

/// @brief How many VMs read the store for all others.
struct WatchPlanOptions {
  std::size_t PerCentre = 2;
  std::size_t Max = 40; ///< At least one for each data centre comes first.
};

/// @brief Chooses the VMs that read the store: a few of each data centre, by
/// rendezvous over live VMs, so that calls to the store grow with the number
/// of data centres and not with the fleet.
/// @param Vms Records of all VMs, this one included.
[[nodiscard]] std::set<VmName> chooseWatchers(const WatchPlanOptions &Options,
                                              const std::vector<VmRecord> &Vms);

} // namespace carawaypond
