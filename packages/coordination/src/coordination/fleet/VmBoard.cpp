#include "coordination/fleet/VmBoard.h"

#include <algorithm>

namespace carawaypond {

bool VmBoard::isSilent(const Entry &Of, TimePoint Now) const {
  return Now - Of.HeardAt > m_Options.SilenceLimit;
}

std::vector<VmRecord> VmBoard::usable(TimePoint Now) const {
  std::vector<VmRecord> Heard;
  std::vector<VmRecord> Silent;
  for (const auto &[Name, Each] : m_Entries) {
    if (Each.Record.State != VmState::Live)
      continue;
    (isSilent(Each, Now) ? Silent : Heard).push_back(Each.Record);
  }
  bool IsCutOff = Silent.size() > Heard.size() && Silent.size() > 1;
  if (IsCutOff)
    Heard.insert(Heard.end(), Silent.begin(), Silent.end());
  return Heard;
}

std::size_t VmBoard::sharing(TimePoint Now) const {
  auto Lately =
      std::count_if(m_Entries.begin(), m_Entries.end(), [&](const auto &Each) {
        return Now - Each.second.HeardAt < m_Options.ForgetAfter;
      });
  return static_cast<std::size_t>(Lately) + 1;
}

std::vector<VmRecord> VmBoard::known() const {
  std::vector<VmRecord> Known;
  for (const auto &[Name, Each] : m_Entries)
    if (Each.Record.State != VmState::Gone)
      Known.push_back(Each.Record);
  return Known;
}

bool VmBoard::onBeat(const VmRecord &Record, TimePoint Now) {
  if (Record.Name == m_Self)
    return false;
  auto [Found, IsNew] = m_Entries.try_emplace(
      Record.Name, Entry{.Record = Record, .HeardAt = Now});
  if (IsNew)
    return true;
  Entry &Known = Found->second;
  if (Record.Life < Known.Record.Life)
    return false;
  bool IsRestarted = Record.Life > Known.Record.Life;
  bool IsLeaving = Known.Record.State == VmState::Leaving && !IsRestarted;
  Known.Record = Record;
  if (IsLeaving)
    Known.Record.State = VmState::Leaving;
  Known.HeardAt = Now;
  return IsRestarted;
}

void VmBoard::onRecord(const VmRecord &Record, TimePoint Now) {
  if (Record.Name == m_Self)
    return;
  auto Found = m_Entries.find(Record.Name);
  if (Found != m_Entries.end() && Found->second.Record.Life >= Record.Life)
    return;
  TimePoint Unheard = Now - m_Options.SilenceLimit - Milliseconds(1);
  m_Entries[Record.Name] = {.Record = Record, .HeardAt = Unheard};
}

void VmBoard::expire(TimePoint Now) {
  std::erase_if(m_Entries, [&](const auto &Each) {
    return Now - Each.second.HeardAt > m_Options.ForgetAfter;
  });
}

} // namespace carawaypond
