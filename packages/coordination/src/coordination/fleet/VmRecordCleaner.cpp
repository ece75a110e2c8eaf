#include "coordination/fleet/VmRecordCleaner.h"

#include <algorithm>
#include <set>

namespace carawaypond {

bool VmRecordCleaner::isFirst(const std::vector<LoadedVm> &Heard) const {
  return std::all_of(Heard.begin(), Heard.end(), [this](const LoadedVm &Each) {
    return m_Self < Each.Record.Name;
  });
}

void VmRecordCleaner::record(const std::vector<StoredVmRecord> &Records,
                             const std::vector<LoadedVm> &Heard,
                             TimePoint Now) {
  std::set<VmName> Present{m_Self};
  for (const LoadedVm &Each : Heard)
    Present.insert(Each.Record.Name);
  std::map<VmName, Silence> Silent;
  for (const StoredVmRecord &Each : Records) {
    if (Present.contains(Each.Name))
      continue;
    auto Before = m_Silent.find(Each.Name);
    bool IsSame =
        Before != m_Silent.end() && Before->second.Revision == Each.Revision;
    Silent[Each.Name] = {.Revision = Each.Revision,
                         .Since = IsSame ? Before->second.Since : Now};
  }
  m_Silent = std::move(Silent);
}

std::vector<StoredVmRecord>
VmRecordCleaner::onListed(const std::vector<StoredVmRecord> &Records,
                          const std::vector<LoadedVm> &Heard, TimePoint Now) {
  record(Records, Heard, Now);
  if (!isFirst(Heard))
    return {};
  std::vector<std::pair<TimePoint, StoredVmRecord>> Due;
  for (const auto &[Name, Each] : m_Silent)
    if (Now - Each.Since >= m_Options.Retention)
      Due.push_back({Each.Since, {.Name = Name, .Revision = Each.Revision}});
  std::stable_sort(Due.begin(), Due.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  Due.resize(std::min(Due.size(), m_Options.MaxRemovals));
  std::vector<StoredVmRecord> Removable;
  Removable.reserve(Due.size());
  for (auto &[Since, Each] : Due)
    Removable.push_back(std::move(Each));
  return Removable;
}

} // namespace carawaypond
