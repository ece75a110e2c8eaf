#include "coordination/fleet/VmTracker.h"

#include <algorithm>
#include <chrono>

namespace carawaypond {

namespace {

/// Base load that each VM is credited with besides its own load, as a fraction
/// of the mean load: a VM that is not advertised to callers still gets some
/// requests.
constexpr double IdleShare = 0.25;
constexpr std::size_t RelayedPerCentre = 8;
constexpr double MinIdleRate = 1; ///< Attempts per second.
/// Replaced incarnations that are kept of each VM. Their heartbeats may be late
/// by seconds, in which a VM starts a few times at most.
constexpr std::size_t MaxReplaced = 4;

} // namespace

bool VmTracker::Entry::hasReplaced(Incarnation Which) const {
  return std::find(Replaced.begin(), Replaced.end(), Which) != Replaced.end();
}

bool VmTracker::isSilent(const Entry &Of, TimePoint Now) const {
  return Now - Of.HeardAt > m_Options.SilenceLimit;
}

bool VmTracker::isListable(const Entry &Of, TimePoint Now) const {
  return Of.WasHeard && Now - Of.HeardAt <= m_Options.ListLimit;
}

std::vector<LoadedVm> VmTracker::usable(TimePoint Now) const {
  std::vector<LoadedVm> Heard;
  std::vector<LoadedVm> Silent;
  std::vector<LoadedVm> Listable;
  for (const auto &[Name, Each] : m_Entries) {
    if (Each.Vm.Record.State != VmState::Live)
      continue;
    if (!isSilent(Each, Now))
      Heard.push_back(Each.Vm);
    else if (Each.WasHeard)
      Silent.push_back(Each.Vm);
    if (isSilent(Each, Now) && isListable(Each, Now))
      Listable.push_back(Each.Vm);
  }
  bool IsCutOff = Silent.size() > Heard.size() && Silent.size() > 1;
  if (IsCutOff)
    Heard.insert(Heard.end(), Listable.begin(), Listable.end());
  return Heard;
}

std::vector<LoadedVm> VmTracker::heard(TimePoint Now) const {
  std::vector<LoadedVm> Heard;
  for (const auto &[Name, Each] : m_Entries)
    if (!isSilent(Each, Now))
      Heard.push_back(Each.Vm);
  return Heard;
}

std::vector<LoadedVm> VmTracker::far(const DataCentre &Own,
                                     TimePoint Now) const {
  std::vector<LoadedVm> Far;
  for (LoadedVm &Each : heard(Now))
    if (Each.Record.Centre != Own)
      Far.push_back(std::move(Each));
  for (LoadedVm &Each : Far)
    Each.Silence = std::chrono::ceil<Milliseconds>(
        Now - m_Entries.at(Each.Record.Name).HeardAt);
  std::stable_sort(Far.begin(), Far.end(),
                   [](const LoadedVm &Left, const LoadedVm &Right) {
                     return Left.Load.Capacity > Right.Load.Capacity;
                   });
  std::map<DataCentre, std::size_t> Taken;
  std::erase_if(Far, [&](const LoadedVm &Each) {
    return ++Taken[Each.Record.Centre] > RelayedPerCentre;
  });
  return Far;
}

double VmTracker::share(const VmLoad &Own, TimePoint Now) const {
  double Total = Own.AttemptRate;
  double Count = 1;
  for (const auto &[Name, Each] : m_Entries) {
    if (Now - Each.HeardAt >= m_Options.ForgetAfter)
      continue;
    Total += Each.Vm.Load.AttemptRate;
    ++Count;
  }
  double Idle = MinIdleRate + IdleShare * Total / Count;
  return (Own.AttemptRate + Idle) / (Total + Count * Idle);
}

VmTurn VmTracker::turn(TimePoint Now) const {
  VmTurn Own;
  for (const auto &[Name, Each] : m_Entries) {
    if (Now - Each.HeardAt >= m_Options.ForgetAfter)
      continue;
    ++Own.Count;
    if (Name < m_Self)
      ++Own.Rank;
  }
  return Own;
}

std::vector<VmRecord> VmTracker::known() const {
  std::vector<VmRecord> Known;
  for (const auto &[Name, Each] : m_Entries)
    if (Each.Vm.Record.State != VmState::Gone)
      Known.push_back(Each.Vm.Record);
  return Known;
}

bool VmTracker::onHeartbeat(const LoadedVm &Vm, TimePoint Now) {
  const VmRecord &Record = Vm.Record;
  if (Record.Name == m_Self)
    return false;
  TimePoint HeardAt = Now - Vm.Silence;
  auto [Found, IsNew] =
      m_Entries.try_emplace(Record.Name, Entry{.Vm = Vm, .HeardAt = HeardAt});
  if (IsNew)
    return true;
  Entry &Known = Found->second;
  VmRecord Before = Known.Vm.Record;
  bool IsRestarted = Record.IncarnationNumber != Before.IncarnationNumber;
  // VMs that relay each other's reports must not make a heartbeat look later.
  bool IsOld = Known.WasHeard && HeardAt < Known.HeardAt;
  if (IsOld && !IsRestarted)
    return false;
  if (IsRestarted) {
    if (!isLaterStart(Known, Record.IncarnationNumber, Now))
      return false;
    replace(Known, Vm, Now);
  }
  Known.Vm = Vm;
  if (Before.State == VmState::Leaving && !IsRestarted)
    Known.Vm.Record.State = VmState::Leaving;
  Known.HeardAt = HeardAt;
  Known.WasHeard = true;
  return IsRestarted;
}

bool VmTracker::isLaterStart(const Entry &Known, Incarnation Other,
                             TimePoint Now) const {
  bool IsDatedLater = Other > Known.Vm.Record.IncarnationNumber;
  if (IsDatedLater && !Known.hasReplaced(Other))
    return true;
  return isSilent(Known, Now) &&
         Now - Known.KnownSince > m_Options.SilenceLimit;
}

bool VmTracker::isLaterRecord(const Entry &Known, Incarnation Other,
                              StoreRevision Revision, TimePoint Now) const {
  // A store that came back from a copy holds records of earlier incarnations.
  bool IsStored = Revision.number() > 0;
  bool WasStored = Known.Revision.number() > 0;
  bool IsSameEra = Revision.era() == Known.Revision.era();
  if (IsStored && WasStored && IsSameEra)
    return Revision > Known.Revision;
  // A VM that is heard may not have written its record yet.
  if (!isSilent(Known, Now))
    return false;
  bool IsDatedLater = Other > Known.Vm.Record.IncarnationNumber;
  return (IsDatedLater && !Known.hasReplaced(Other)) ||
         (IsStored && !WasStored);
}

void VmTracker::replace(Entry &Known, LoadedVm Later, TimePoint Now) {
  std::vector<Incarnation> &Replaced = Known.Replaced;
  std::erase(Replaced, Later.Record.IncarnationNumber);
  Replaced.push_back(Known.Vm.Record.IncarnationNumber);
  if (Replaced.size() > MaxReplaced)
    Replaced.erase(Replaced.begin());
  Known.Vm = std::move(Later);
  Known.KnownSince = Now;
  Known.Revision = StoreRevision(0);
}

void VmTracker::onRecord(const VmRecord &Record, StoreRevision Revision,
                         TimePoint Now) {
  if (Record.Name == m_Self)
    return;
  TimePoint Unheard = Now - m_Options.SilenceLimit - Milliseconds(1);
  auto [Found, IsNew] = m_Entries.try_emplace(
      Record.Name,
      Entry{.Vm = {.Record = Record}, .HeardAt = Unheard, .WasHeard = false});
  Entry &Known = Found->second;
  bool IsSame = Known.Vm.Record.IncarnationNumber == Record.IncarnationNumber;
  if (!IsSame) {
    if (!isLaterRecord(Known, Record.IncarnationNumber, Revision, Now))
      return;
    replace(Known, {.Record = Record}, Now);
    Known.HeardAt = Unheard;
    Known.WasHeard = false;
  }
  Known.Revision = std::max(Known.Revision, Revision);
}

void VmTracker::expire(TimePoint Now) {
  std::erase_if(m_Entries, [&](const auto &Each) {
    return Now - Each.second.HeardAt > m_Options.ForgetAfter;
  });
}

} // namespace carawaypond
