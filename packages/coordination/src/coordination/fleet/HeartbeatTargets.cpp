#include "coordination/fleet/HeartbeatTargets.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace carawaypond {

namespace {

constexpr std::size_t ContactsPerCentre = 2;

} // namespace

std::vector<VmRecord> heartbeatTargets(const DataCentre &Own,
                                       std::vector<VmRecord> Known,
                                       const std::vector<LoadedVm> &Heard) {
  std::set<VmName> Answering;
  for (const LoadedVm &Each : Heard)
    Answering.insert(Each.Record.Name);
  auto Order = [&](const VmRecord &Of) {
    return std::pair(!Answering.contains(Of.Name), Of.Name);
  };
  std::sort(Known.begin(), Known.end(),
            [&](const VmRecord &Left, const VmRecord &Right) {
              return Order(Left) < Order(Right);
            });
  std::map<DataCentre, std::size_t> Taken;
  std::vector<VmRecord> Targets;
  for (VmRecord &Each : Known) {
    bool IsLocal = Each.Centre == Own;
    if (IsLocal || Taken[Each.Centre]++ < ContactsPerCentre)
      Targets.push_back(std::move(Each));
  }
  return Targets;
}

} // namespace carawaypond
