#pragma once

#include "coordination/membership/VmRecord.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <set>
#include <vector>

namespace carawaypond {

/// @brief Number of VMs that read the store on behalf of all others.
struct WatchPlanOptions {
  std::size_t PerCentre = 2;
  std::size_t Max = 40; ///< Exceeded if there are more data centres: each
                        ///< has at least one watcher.
};

/// @brief Chooses the VMs that read the store: a few of each data centre, by
/// rendezvous hashing over the live VMs, so that the calls to the store grow
/// with the number of data centres and not with the number of VMs.
/// @param Vms Records of all VMs, including this one.
[[nodiscard]] std::set<VmName> chooseWatchers(const WatchPlanOptions &Options,
                                              const std::vector<VmRecord> &Vms);

} // namespace carawaypond
