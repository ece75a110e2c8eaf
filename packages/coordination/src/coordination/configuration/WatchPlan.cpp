#include "coordination/configuration/WatchPlan.h"

#include "coordination/ownership/Ownership.h"
#include "core/invariant/Invariant.h"

#include <algorithm>
#include <map>

namespace carawaypond {

namespace {

using CentreVms = std::map<DataCentre, std::vector<VmName>>;

CentreVms liveByCentre(const std::vector<VmRecord> &Vms) {
  CentreVms Live;
  for (const VmRecord &Vm : Vms)
    if (Vm.State == VmState::Live)
      Live[Vm.Centre].push_back(Vm.Name);
  return Live;
}

} // namespace

std::set<VmName> chooseWatchers(const WatchPlanOptions &Options,
                                const std::vector<VmRecord> &Vms) {
  std::map<DataCentre, OwnerOrder> Ranked;
  for (const auto &[Centre, Live] : liveByCentre(Vms)) {
    OwnershipKey Key{.Service = ServiceName("store-watch/" + Centre.value()),
                     .Shard = ShardId(0),
                     .Replica = std::nullopt};
    Ranked[Centre] = ownersOf(Key, Live, Options.PerCentre);
  }
  std::set<VmName> Chosen;
  for (std::size_t Rank = 0; Rank < Options.PerCentre; ++Rank)
    for (const auto &[Centre, Order] : Ranked)
      if (Rank < Order.size() && (Rank == 0 || Chosen.size() < Options.Max))
        Chosen.insert(Order[Rank]);
  CARAWAYPOND_INVARIANT(Chosen.size() <= std::max(Options.Max, Ranked.size()),
                        "more watchers than allowed");
  return Chosen;
}

} // namespace carawaypond
